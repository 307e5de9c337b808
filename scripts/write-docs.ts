import { mkdirSync, writeFileSync } from 'node:fs'
import { eventPage } from '../src/reports/event-page.js'
import { manifestPage } from '../src/reports/manifest-page.js'
import { publishedSchemas, schemaText } from '../src/reports/published-schemas.js'
import { resultCodePage } from '../src/reports/result-code-page.js'
import { settingsPage } from '../src/reports/settings-page.js'

writeFileSync('docs/result-codes.md', resultCodePage())
writeFileSync('docs/events.md', eventPage())
writeFileSync('docs/manifest.md', manifestPage())
writeFileSync('docs/settings.md', settingsPage())
mkdirSync('schemas', { recursive: true })
for (const schema of Object.values(publishedSchemas)) writeFileSync(schema.file, schemaText(schema))
