import { formatFieldTable } from './field-table.js'
import { publishedSchemas } from './published-schemas.js'

/** @returns the text of docs/manifest.md */
export function renderManifestPage (): string {
  const { manifest } = publishedSchemas
  return `# Manifest

Generated from \`src/settings/manifest-schema.ts\` by \`npm run docs:tables\`; a test compares the page with it.
The JSON Schema is \`${manifest.file}\`. \`catkinrelay manifest check FILE\` also checks what a JSON Schema can't express: ids, route names and key digests are unique, and every referenced group and workspace exists. Fields that are not listed are refused.

${formatFieldTable(manifest.schema)}`
}
