// Pages and schemas are generated from the code and committed. A change of the code without `npm run docs:tables` would leave
// them out of date.
import { readFileSync } from 'node:fs'
import t from 'tap'
import { eventPage } from '../../src/reports/event-page.js'
import { buildFieldRows } from '../../src/reports/field-table.js'
import { manifestPage } from '../../src/reports/manifest-page.js'
import { publishedSchemas, schemaText } from '../../src/reports/published-schemas.js'
import { resultCodePage } from '../../src/reports/result-code-page.js'
import { settingsPage } from '../../src/reports/settings-page.js'
import { logEvents } from '../../src/types/log-event.js'
import { resultCodes } from '../../src/types/result-code.js'

t.test('docs/result-codes.md equals the page generated from the code', async (t) => {
  t.equal(readFileSync('docs/result-codes.md', 'utf8'), resultCodePage())
})

t.test('docs/events.md equals the page generated from the code', async (t) => {
  t.equal(readFileSync('docs/events.md', 'utf8'), eventPage())
})

t.test('result codes and event numbers are unique', async (t) => {
  const codes = Object.values(resultCodes).map((entry) => entry.code)
  const events = Object.values(logEvents).map((entry) => entry.event)
  t.equal(new Set(codes).size, codes.length)
  t.equal(new Set(events).size, events.length)
})

t.test('docs/manifest.md and docs/settings.md equal the pages generated from the code', async (t) => {
  t.equal(readFileSync('docs/manifest.md', 'utf8'), manifestPage())
  t.equal(readFileSync('docs/settings.md', 'utf8'), settingsPage())
})

for (const published of Object.values(publishedSchemas)) {
  t.test(`${published.file} equals the generated schema, and each of its fields has a description`, async (t) => {
    t.equal(readFileSync(published.file, 'utf8'), schemaText(published))
    t.same(buildFieldRows(published.schema).filter((row) => row.description === ''), [])
  })
}
