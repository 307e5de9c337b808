import { fieldTable } from './field-table.js'
import { publishedSchemas } from './published-schemas.js'

/** @returns the text of docs/manifest.md */
export function manifestPage (): string {
  const { manifest } = publishedSchemas
  return `# Manifest

Generated from \`src/settings/manifest-schema.ts\` by \`npm run docs:tables\`; a test holds the page to it.
The JSON Schema is \`${manifest.file}\`. \`catkinrelay manifest check FILE\` also checks what a JSON Schema can't express: ids, route names and key digests are unique, and every group and workspace that is referred to exists. Fields that are not listed are refused.

${fieldTable(manifest.schema)}`
}
