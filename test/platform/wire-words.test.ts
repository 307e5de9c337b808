import t from 'tap'
import { parseDatabaseError, formatRefusalCode, parseState } from '../../platform/wire-words.js'
import { buildRefusalPromisingNothingKept } from '../../src/decisions/caller-sessions/session-services.js'
import { buildLossRefusal, buildReplyRefusal, hasNotRun } from '../../src/decisions/caller-sessions/statement-refusal.js'
import { resultCodes } from '../../src/types/result-code.js'
import type { ResultName } from '../../src/types/result-code.js'

/** Codes that promise that the database keeps nothing of the attempt; callers retry after them, which would double a write that was kept. */
const codesForNothingKept = ['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY']

t.test('only a refusal that promises that nothing is kept gets a code with this promise', async (t) => {
  for (const result of Object.keys(resultCodes) as ResultName[]) {
    t.ok(codesForNothingKept.includes(formatRefusalCode(buildRefusalPromisingNothingKept(result, '', null))), `${result}, nothing kept`)
    for (const promise of ['unknown', 'ran', 'rejected'] as const) {
      t.notOk(codesForNothingKept.includes(formatRefusalCode({ result, promise, message: '', retryAfterMs: null })), `${result}, ${promise}`)
    }
  }
})

t.test('a commit or single write without an answer is unknown, whatever the database said last', async (t) => {
  t.equal(formatRefusalCode(buildLossRefusal('lost', true)), 'UNKNOWN')
  t.equal(formatRefusalCode(buildReplyRefusal(parseDatabaseError('NEWCODE'), '', true)), 'UNKNOWN')
  t.equal(formatRefusalCode(buildReplyRefusal('failed', '', true)), 'FAILED')
  t.equal(formatRefusalCode(buildReplyRefusal('timed-out', '', true)), 'TIMEOUT')
})

t.test('a statement whose answer is too large has run, so no other database runs it and nothing is promised', async (t) => {
  t.notOk(hasNotRun('answer-too-large'))
  for (const canCommitWrite of [true, false]) t.equal(formatRefusalCode(buildReplyRefusal('answer-too-large', '', canCommitWrite)), 'FAILED')
})

t.test('a transaction that can not have been committed is aborted', async (t) => {
  t.equal(formatRefusalCode(buildLossRefusal('lost', false)), 'ABORTED')
})

t.test('a code that is the name of a property of every object is unknown, so a write with that answer is not run again', async (t) => {
  for (const code of Object.getOwnPropertyNames(Object.prototype)) {
    t.equal(parseDatabaseError(code), 'unrecognized', code)
    t.equal(formatRefusalCode(buildReplyRefusal(parseDatabaseError(code), '', true)), 'UNKNOWN', code)
    t.notOk(hasNotRun(parseDatabaseError(code)), code)
    t.equal(parseState(code), null, code)
  }
})
