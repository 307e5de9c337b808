import { resultCodes } from '../types/result-code.js'
import { formatMarkdownTable } from './markdown-table.js'

/** @returns the text of docs/result-codes.md */
export function renderResultCodePage (): string {
  const rows = Object.values(resultCodes).map(({ code, name, status, meaning, remedy }) => [code, name, status === 0 ? '-' : status, meaning, remedy])
  return `# Result codes

Generated from \`src/types/result-code.ts\` by \`npm run docs:tables\`; a test compares the page with it.
A number is never reused for another meaning. 1xxx: the request itself; 2xxx: limits and capacity; 3xxx: databases; 4xxx: instances and control; 5xxx: settings and storage.

Each refusal also states whether the statement ran: \`not-run\` (it has not run and can't run later), \`ran\` or \`unknown\`.

${formatMarkdownTable(['code', 'name', 'HTTP status', 'meaning', 'what to do'], rows)}`
}
