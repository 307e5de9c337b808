// Pages and schemas are generated from the code and committed. A change of the code without `npm run docs:tables` would leave
// them out of date.
import { readFileSync } from 'node:fs'
import t from 'tap'
import { renderEventPage } from '../../src/reports/render-event-page.js'
import { buildFieldRows } from '../../src/reports/field-table.js'
import { renderManifestPage } from '../../src/reports/render-manifest-page.js'
import { publishedSchemas, formatSchema } from '../../src/reports/published-schemas.js'
import { renderResultCodePage } from '../../src/reports/render-result-code-page.js'
import { renderSettingsPage } from '../../src/reports/render-settings-page.js'
import { logEvents } from '../../src/types/log-event.js'
import { resultCodes } from '../../src/types/result-code.js'

t.test('docs/result-codes.md equals the page generated from the code', async (t) => {
  t.equal(readFileSync('docs/result-codes.md', 'utf8'), renderResultCodePage())
})

t.test('docs/events.md equals the page generated from the code', async (t) => {
  t.equal(readFileSync('docs/events.md', 'utf8'), renderEventPage())
})

t.test('result codes and event numbers are unique', async (t) => {
  const codes = Object.values(resultCodes).map((entry) => entry.code)
  const events = Object.values(logEvents).map((entry) => entry.event)
  t.equal(new Set(codes).size, codes.length)
  t.equal(new Set(events).size, events.length)
})

t.test('docs/manifest.md and docs/settings.md equal the pages generated from the code', async (t) => {
  t.equal(readFileSync('docs/manifest.md', 'utf8'), renderManifestPage())
  t.equal(readFileSync('docs/settings.md', 'utf8'), renderSettingsPage())
})

for (const published of Object.values(publishedSchemas)) {
  t.test(`${published.file} equals the generated schema, and each of its fields has a description`, async (t) => {
    t.equal(readFileSync(published.file, 'utf8'), formatSchema(published))
    t.same(buildFieldRows(published.schema).filter((row) => row.description === ''), [])
  })
}
