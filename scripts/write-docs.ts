import { writeFileSync } from 'node:fs'
import { eventPage } from '../src/reports/event-page.js'
import { resultCodePage } from '../src/reports/result-code-page.js'

writeFileSync('docs/result-codes.md', resultCodePage())
writeFileSync('docs/events.md', eventPage())
