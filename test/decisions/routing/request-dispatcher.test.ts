// Guards retries. A request that may have run must not be sent again unless it can be repeated safely, and must not be
// reported as not run. It may have run when its holder was lost, answered late or reported an unknown outcome.
import t from 'tap'
import { milliseconds } from '../../../src/types/clock.js'
import { instanceId, requestId, transactionId } from '../../../src/types/ids.js'
import type { Outcome, RunState, Success } from '../../../src/types/outcome.js'
import type { Execute, Operation } from '../../../src/types/peer-message.js'
import { buildRefusal, resultCodes, type ResultName } from '../../../src/types/result-code.js'
import { createDispatcherHarness, FIRST_HOLDER, SECOND_HOLDER, SELF, type DispatcherHarness } from './dispatcher-harness.js'

const READ: Operation = { kind: 'statement', statement: 'select 1', values: [], access: 'read' }
const WRITE: Operation = { kind: 'statement', statement: 'update x', values: [], access: 'write' }
const COMMIT: Operation = { kind: 'commit', transaction: transactionId(`${FIRST_HOLDER}.x`) }
const SUCCESS: Success = { kind: 'success', rows: [], rowCount: 0, position: null, database: null, role: null, ageMs: null, transaction: null }

const refusalOf = (name: ResultName, outcome: RunState): Outcome => buildRefusal(name, outcome, 'test')

function outcomeOf (harness: DispatcherHarness, id: string): { name: string, outcome: string } | 'success' | null {
  const outcome = harness.outcomes.get(id)?.[0]
  if (outcome === undefined) return null
  if (outcome.kind === 'success') return 'success'
  return { name: Object.entries(resultCodes).find(([, entry]) => entry.code === outcome.code)?.[0] ?? '', outcome: outcome.outcome }
}

const WITH_KEY = { idempotencyKey: 'key' }
const NON_IDEMPOTENT = { nonIdempotent: true }
const refusals: { operation: Operation, change?: Partial<Execute>, name: ResultName, outcome: RunState, retried: boolean }[] = [
  ...(['noHolder', 'notFresh', 'noPrimary', 'databaseRefused', 'noDatabase', 'shuttingDown'] as const).map((name) => ({ operation: WRITE, change: NON_IDEMPOTENT, name, outcome: 'not-run' as const, retried: true })),
  { operation: WRITE, change: WITH_KEY, name: 'databaseError', outcome: 'not-run', retried: false },
  { operation: READ, name: 'queueFull', outcome: 'not-run', retried: false },
  { operation: READ, name: 'outcomeUnknown', outcome: 'unknown', retried: true },
  { operation: READ, change: NON_IDEMPOTENT, name: 'outcomeUnknown', outcome: 'unknown', retried: false },
  { operation: WRITE, name: 'outcomeUnknown', outcome: 'unknown', retried: false },
  { operation: WRITE, change: WITH_KEY, name: 'outcomeUnknown', outcome: 'unknown', retried: true },
  { operation: WRITE, change: WITH_KEY, name: 'notDurable', outcome: 'unknown', retried: true },
  { operation: WRITE, change: { ...WITH_KEY, ...NON_IDEMPOTENT }, name: 'notDurable', outcome: 'unknown', retried: false },
  { operation: COMMIT, name: 'outcomeUnknown', outcome: 'unknown', retried: false },
  { operation: COMMIT, name: 'notFresh', outcome: 'not-run', retried: false }
]

for (const { operation, change = {}, name, outcome, retried } of refusals) {
  const what = `${operation.kind === 'statement' ? operation.access : operation.kind} ${JSON.stringify(change)}`
  t.test(`${what} refused with ${name}, ${outcome}, is ${retried ? 'sent to another holder' : 'not sent again'}`, async (t) => {
    const harness = createDispatcherHarness()
    const id = harness.request(operation, change)
    harness.answer(harness.lastSent(), refusalOf(name, outcome))
    harness.advance(200)
    t.same(harness.sent.map(({ to }) => to), retried ? [FIRST_HOLDER, SECOND_HOLDER] : [FIRST_HOLDER])
    t.same(outcomeOf(harness, id), retried ? null : { name, outcome })
  })
}

const losses: { operation: Operation, change?: Partial<Execute>, retried: boolean }[] = [
  { operation: READ, retried: true },
  { operation: READ, change: NON_IDEMPOTENT, retried: false },
  { operation: WRITE, retried: false },
  { operation: WRITE, change: NON_IDEMPOTENT, retried: false },
  { operation: WRITE, change: WITH_KEY, retried: true },
  { operation: { kind: 'begin' }, retried: true },
  { operation: COMMIT, retried: false }
]

for (const { operation, change = {}, retried } of losses) {
  const what = `${operation.kind === 'statement' ? operation.access : operation.kind} ${JSON.stringify(change)}`
  t.test(`${what} whose holder is lost is ${retried ? 'sent to another holder' : 'unknown'}`, async (t) => {
    const harness = createDispatcherHarness()
    const id = harness.request(operation, change)
    harness.losePeer(FIRST_HOLDER)
    t.same(harness.sent.map(({ to }) => to), retried ? [FIRST_HOLDER, SECOND_HOLDER] : [FIRST_HOLDER])
    t.same(outcomeOf(harness, id), retried ? null : { name: 'outcomeUnknown', outcome: 'unknown' })
  })
}

t.test('a refused retry has an unknown outcome, because the first attempt may have run', async (t) => {
  const harness = createDispatcherHarness()
  const id = harness.request(WRITE, WITH_KEY)
  harness.losePeer(FIRST_HOLDER)
  harness.answer(harness.lastSent(), refusalOf('databaseError', 'not-run'))
  t.same(outcomeOf(harness, id), { name: 'databaseError', outcome: 'unknown' })
})

t.test('an empty retry budget prevents retries of requests that may have run, but not of requests that never ran', async (t) => {
  const harness = createDispatcherHarness()
  harness.budget.retries = 0
  const unknown = harness.request(READ)
  harness.answer(harness.lastSent(), refusalOf('outcomeUnknown', 'unknown'))
  t.same(outcomeOf(harness, unknown), { name: 'retryBudgetExhausted', outcome: 'unknown' })
  harness.request(READ)
  harness.answer(harness.lastSent(), refusalOf('shuttingDown', 'not-run'))
  t.equal(harness.sent.length, 3)
})

t.test('a request without an answer is cancelled at its deadline with an unknown outcome; its late answer is ignored', async (t) => {
  const harness = createDispatcherHarness()
  const id = harness.request(READ)
  const attempt = harness.lastSent()
  t.ok(attempt.message.remainingMs < 1000, 'the holder stops first, so that its exact refusal can arrive')
  harness.advance(1000)
  t.same(harness.cancelled, [attempt.message.requestId])
  t.same(outcomeOf(harness, id), { name: 'deadlineExceeded', outcome: 'unknown' })
  harness.answer(attempt, SUCCESS)
  t.equal(harness.outcomes.get(id)?.length, 1)
  t.equal(harness.dispatcher.countActive(), 0)
})

t.test('a late answer to an earlier attempt, a repeated answer or one from another instance is ignored', async (t) => {
  const harness = createDispatcherHarness()
  const id = harness.request(READ)
  const first = harness.lastSent()
  harness.losePeer(FIRST_HOLDER)
  harness.answer(first, SUCCESS)
  harness.answer(harness.lastSent(), SUCCESS, FIRST_HOLDER)
  t.equal(outcomeOf(harness, id), null)
  harness.answer(harness.lastSent(), SUCCESS)
  harness.answer(harness.lastSent(), refusalOf('databaseError', 'not-run'))
  t.equal(outcomeOf(harness, id), 'success')
  t.equal(harness.outcomes.get(id)?.length, 1)
})

t.test('a request waits while no holder can be reached, and is not run when none appears', async (t) => {
  const harness = createDispatcherHarness()
  harness.connected.clear()
  const early = harness.request(WRITE, NON_IDEMPOTENT)
  harness.advance(500)
  harness.connected.add(SECOND_HOLDER)
  harness.advance(50)
  t.equal(harness.lastSent().to, SECOND_HOLDER)
  harness.answer(harness.lastSent(), SUCCESS)
  t.equal(outcomeOf(harness, early), 'success')
  harness.setHolders([])
  const late = harness.request(WRITE, NON_IDEMPOTENT)
  harness.advance(1000)
  t.same(outcomeOf(harness, late), { name: 'noHolder', outcome: 'not-run' })
})

t.test('holders that all refused receive the next attempt only after a pause', async (t) => {
  const harness = createDispatcherHarness()
  harness.request(READ)
  harness.answer(harness.lastSent(), refusalOf('notFresh', 'not-run'))
  harness.answer(harness.lastSent(), refusalOf('notFresh', 'not-run'))
  harness.advance(40)
  t.equal(harness.sent.length, 2)
  harness.advance(100)
  t.equal(harness.sent.length, 3)
})

t.test('an operation of a transaction is sent only to the holder that runs the transaction', async (t) => {
  const harness = createDispatcherHarness()
  harness.request({ kind: 'commit', transaction: transactionId(`${SECOND_HOLDER}.x`) })
  t.equal(harness.lastSent().to, SECOND_HOLDER)
  const foreign = harness.request({ kind: 'commit', transaction: transactionId('gone.x') })
  t.same(outcomeOf(harness, foreign), { name: 'unknownTransaction', outcome: 'not-run' })
  harness.connected.delete(SECOND_HOLDER)
  const unreachable = harness.request({ kind: 'commit', transaction: transactionId(`${SECOND_HOLDER}.x`) })
  harness.advance(1000)
  t.same(outcomeOf(harness, unreachable), { name: 'noHolder', outcome: 'not-run' })
})

t.test('an instance that is a connection holder of the group runs requests itself', async (t) => {
  const harness = createDispatcherHarness()
  harness.setHolders([FIRST_HOLDER, SELF])
  harness.request(READ)
  t.equal(harness.lastSent().to, SELF)
})

t.test('an instance without a freshness lease refuses requests', async (t) => {
  const harness = createDispatcherHarness()
  harness.freshness.write({ confirmedAt: milliseconds(0), validUntil: milliseconds(1000), leaderTerm: 1 })
  t.same(outcomeOf(harness, harness.request(READ)), { name: 'notFresh', outcome: 'not-run' })
})

t.test('a request whose caller disconnected is cancelled at its holder', async (t) => {
  const harness = createDispatcherHarness()
  const id = harness.request(WRITE)
  harness.send({ kind: 'caller-lost', requestId: requestId(id) })
  t.same(harness.cancelled, [harness.lastSent().message.requestId])
  t.same(outcomeOf(harness, id)?.valueOf(), { name: 'deadlineExceeded', outcome: 'unknown' })
  harness.send({ kind: 'peer-lost', instance: instanceId('nobody') })
  t.equal(harness.outcomes.get(id)?.length, 1)
})
