import { logEvents } from '../types/log-event.js'
import { formatMarkdownTable } from './markdown-table.js'

/** @returns the text of docs/events.md */
export function renderEventPage (): string {
  const rows = Object.values(logEvents).map(({ event, name, level, meaning }) => [event, name, level, meaning])
  return `# Log events

Generated from \`src/types/log-event.ts\` by \`npm run docs:tables\`; a test compares the page with it.
Each log line is one JSON object with \`time\`, \`level\`, \`event\`, \`name\`, \`instance\` and details of the event. Log lines contain no key, digest or caller data.
1xx: process; 2xx: control log; 3xx: instances and freshness; 4xx: databases and failover; 5xx: requests; 6xx: configuration.

${formatMarkdownTable(['event', 'name', 'level', 'meaning'], rows)}`
}
