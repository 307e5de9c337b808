import { mkdirSync, writeFileSync } from 'node:fs'
import { renderEventPage } from '../src/reports/render-event-page.js'
import { renderManifestPage } from '../src/reports/render-manifest-page.js'
import { publishedSchemas, formatSchema } from '../src/reports/published-schemas.js'
import { renderResultCodePage } from '../src/reports/render-result-code-page.js'
import { renderSettingsPage } from '../src/reports/render-settings-page.js'

writeFileSync('docs/result-codes.md', renderResultCodePage())
writeFileSync('docs/events.md', renderEventPage())
writeFileSync('docs/manifest.md', renderManifestPage())
writeFileSync('docs/settings.md', renderSettingsPage())
mkdirSync('schemas', { recursive: true })
for (const schema of Object.values(publishedSchemas)) writeFileSync(schema.file, formatSchema(schema))
