import { formatFieldTable } from './field-table.js'
import type { PublishedSchema } from './published-schemas.js'
import { publishedSchemas } from './published-schemas.js'

function renderSection ({ title, file, schema }: PublishedSchema): string {
  return `## ${title}

JSON Schema: \`${file}\`.

${formatFieldTable(schema)}`
}

/** @returns the text of docs/settings.md */
export function renderSettingsPage (): string {
  const { entry, control, platform, operator } = publishedSchemas
  return `# Settings

Generated from the schemas in \`src/settings\` by \`npm run docs:tables\`; a test compares the page with them.
Settings are JSON files. \`catkinrelay settings check FILE --kind entry\` or \`--kind control\` checks one without starting an instance. Fields that are not listed are refused, except in the settings on the users' platform, which the platform fills in from \`deploy/settings.template.json\`.

${[entry, control, platform, operator].map(renderSection).join('\n')}`
}
