import t from 'tap'
import { readDatabaseError, writeRefusalCode } from '../../platform/wire-words.js'
import { buildNothingKeptRefusal } from '../../src/decisions/caller-sessions/session-services.js'
import { buildLossRefusal, buildReplyRefusal } from '../../src/decisions/caller-sessions/statement-refusal.js'
import { resultCodes } from '../../src/types/result-code.js'
import type { ResultName } from '../../src/types/result-code.js'

/** Codes that promise that nothing of the attempt is kept. */
const promises = ['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY']

t.test('only a refusal of which nothing is kept gets a code that promises so', async (t) => {
  for (const result of Object.keys(resultCodes) as ResultName[]) {
    t.ok(promises.includes(writeRefusalCode(buildNothingKeptRefusal(result, '', null))), `${result}, nothing kept`)
    for (const promise of ['unknown', 'ran', 'rejected'] as const) {
      t.notOk(promises.includes(writeRefusalCode({ result, promise, message: '', retryAfterMs: null })), `${result}, ${promise}`)
    }
  }
})

t.test('a commit or single write without an answer is unknown, whatever the database said last', async (t) => {
  t.equal(writeRefusalCode(buildLossRefusal('lost', true)), 'UNKNOWN')
  t.equal(writeRefusalCode(buildReplyRefusal(readDatabaseError('NEWCODE'), '', true)), 'UNKNOWN')
  t.equal(writeRefusalCode(buildReplyRefusal('failed', '', true)), 'FAILED')
  t.equal(writeRefusalCode(buildReplyRefusal('timed-out', '', true)), 'TIMEOUT')
})

t.test('a transaction that can not have been committed is aborted', async (t) => {
  t.equal(writeRefusalCode(buildLossRefusal('lost', false)), 'ABORTED')
})
