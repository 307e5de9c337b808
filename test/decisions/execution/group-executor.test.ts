// Guards the outcome of each request. A request that is reported as not run may be sent again, so it must never have run.
// A wrong outcome arises when a lease, key or deadline ends while the request is queued, or when the failure of an
// operation is mapped to the wrong refusal.
import t from 'tap'
import { createFairRequestQueue } from '../../../src/decisions/execution/create-fair-request-queue.js'
import type { CreateRequestQueue, RequestQueueOptions } from '../../../src/decisions/execution/request-queue.js'
import type { OperationFailed } from '../../../src/types/database-operation.js'
import type { Operation } from '../../../src/types/peer-message.js'
import type { ResultName } from '../../../src/types/result-code.js'
import { milliseconds } from '../../../src/types/clock.js'
import { keyId, transactionId } from '../../../src/types/ids.js'
import { createExecutorHarness, WRITE_POSITION, manifestWith, PRIMARY, REPLICA, SELF, OTHER, READ, WRITE, BEGIN, failed, findRefusal, isSuccess, type ExecutorHarness } from './executor-harness.js'
import { createSimpleQueue } from './simple-request-queue.js'

const arrivalFaults: { fault: string, prepare: (harness: ExecutorHarness) => void, operation?: Operation, key?: string | null, expected: ResultName }[] = [
  { fault: 'the freshness lease expired', prepare: (harness) => harness.freshness.write({ confirmedAt: milliseconds(0), validUntil: milliseconds(1000), leaderTerm: 1 }), expected: 'notFresh' },
  { fault: 'the instance is not a connection holder of the group', prepare: (harness) => harness.setGroup({ holders: [OTHER] }), expected: 'noHolder' },
  { fault: 'the key was withdrawn', prepare: (harness) => harness.manifest.write({ version: 2, manifest: manifestWith([]) }), expected: 'keyRefused' },
  { fault: 'it has no key and its statement is not that of an open route', prepare: () => {}, key: null, expected: 'keyRefused' },
  { fault: 'it begins a transaction without a key', prepare: () => {}, operation: BEGIN, key: null, expected: 'keyRefused' },
  { fault: 'the instance drains and another connection holder exists', prepare: (harness) => harness.draining.write(true), expected: 'shuttingDown' },
  { fault: 'the transaction does not exist', prepare: () => {}, operation: { kind: 'commit', transaction: transactionId(`${SELF}.none`) }, expected: 'unknownTransaction' }
]

for (const { fault, prepare, operation = READ, key, expected } of arrivalFaults) {
  t.test(`a request is refused as not run and no operation is sent when ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    prepare(harness)
    const id = harness.execute(operation, key === undefined ? {} : { keyId: key === null ? null : keyId(key) })
    t.same(findRefusal(harness, id), { name: expected, outcome: 'not-run' })
    t.equal(harness.runs().length, 0)
  })
}

t.test('a full queue refuses new requests and keeps the queued ones', async (t) => {
  const harness = createExecutorHarness({ createQueue: (options) => createSimpleQueue(options, 1) })
  harness.setShare({ slots: 0, connections: 2 })
  harness.execute(READ)
  t.same(findRefusal(harness, harness.execute(READ)), { name: 'queueFull', outcome: 'not-run' })
})

t.test('the statement of an open route runs without a key', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute({ kind: 'statement', statement: 'select 1', values: [], access: 'read' }, { keyId: null })
  harness.finish(harness.lastRun().connection, { rows: [{ n: 1 }], rowCount: 1 })
  t.ok(isSuccess(harness, id))
})

t.test('a draining connection holder keeps serving when there is no other', async (t) => {
  const harness = createExecutorHarness()
  harness.draining.write(true)
  harness.setGroup({ holders: [SELF] })
  harness.execute(READ)
  t.equal(harness.runs().length, 1)
})

const queueFaults: { fault: string, change: (harness: ExecutorHarness) => void, expected: ResultName }[] = [
  { fault: 'its key is withdrawn', change: (harness) => harness.manifest.write({ version: 2, manifest: manifestWith([]) }), expected: 'keyRefused' },
  { fault: 'the freshness lease expires', change: (harness) => harness.freshness.write({ confirmedAt: milliseconds(0), validUntil: milliseconds(1), leaderTerm: 1 }), expected: 'notFresh' },
  { fault: 'the instance stops being a connection holder', change: (harness) => harness.setGroup({ holders: [OTHER] }), expected: 'noHolder' },
  { fault: 'its deadline passes', change: (harness) => harness.advance(1000), expected: 'deadlineExceeded' }
]

for (const { fault, change, expected } of queueFaults) {
  t.test(`a queued write is never sent after ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    harness.setShare({ slots: 0, connections: 2 })
    const id = harness.execute(WRITE)
    change(harness)
    harness.tick()
    t.ok(harness.answers.has(id), 'it is refused at once, although no slot is free')
    harness.setShare({ slots: 2, connections: 2 })
    harness.tick()
    t.same(findRefusal(harness, id), { name: expected, outcome: 'not-run' })
    t.equal(harness.runs().length, 0)
  })
}

const phasesWithoutWrites: { phase: 'electing' | 'switching', term: number }[] = [{ phase: 'electing', term: 2 }, { phase: 'switching', term: 1 }]
for (const { phase, term } of phasesWithoutWrites) {
  t.test(`a write waits in the queue while the group is ${phase} and runs afterwards`, async (t) => {
    const harness = createExecutorHarness()
    harness.setGroup({ phase, term })
    const id = harness.execute(WRITE)
    harness.advance(300)
    t.equal(harness.runs().length, 0)
    harness.setGroup({ phase: 'serving', term: 2, primary: REPLICA })
    harness.observeAll({ term: 2 })
    harness.observe(REPLICA, { role: 'primary' })
    harness.observe(PRIMARY, { role: 'replica' })
    harness.tick()
    harness.openConnections()
    t.match(harness.lastRun(), { database: REPLICA, operation: { kind: 'write', term: 2 } })
    t.equal(findRefusal(harness, id), null)
  })
}

const results: { of: Operation, result: OperationFailed, name: ResultName, outcome: string, closes: boolean }[] = [
  { of: WRITE, result: failed('refused', '23505', true), name: 'databaseError', outcome: 'not-run', closes: false },
  { of: WRITE, result: failed('refused', '25006', true), name: 'databaseRefused', outcome: 'not-run', closes: false },
  { of: WRITE, result: failed('refused', 'CR001', true), name: 'databaseRefused', outcome: 'not-run', closes: false },
  { of: WRITE, result: failed('refused', 'CR002', true), name: 'idempotencyKeyReused', outcome: 'not-run', closes: false },
  { of: WRITE, result: failed('refused', '57P01', false), name: 'databaseError', outcome: 'not-run', closes: true },
  { of: WRITE, result: failed('before-commit'), name: 'outcomeUnknown', outcome: 'unknown', closes: true },
  { of: WRITE, result: failed('commit-sent'), name: 'outcomeUnknown', outcome: 'unknown', closes: true },
  { of: READ, result: failed('before-commit'), name: 'outcomeUnknown', outcome: 'unknown', closes: true },
  { of: READ, result: failed('refused', '25006', true), name: 'databaseError', outcome: 'not-run', closes: false },
  { of: BEGIN, result: failed('before-commit'), name: 'noDatabase', outcome: 'not-run', closes: true },
  { of: BEGIN, result: failed('refused', 'CR001', true), name: 'databaseRefused', outcome: 'not-run', closes: false }
]

for (const { of, result, name, outcome, closes } of results) {
  const what = of.kind === 'statement' ? of.access : of.kind
  t.test(`a ${what} that failed ${result.phase} with ${result.sqlState ?? 'no answer'} is answered ${name}, ${outcome}`, async (t) => {
    const harness = createExecutorHarness()
    const id = harness.execute(of)
    const { connection } = harness.lastRun()
    harness.finish(connection, result)
    t.same(findRefusal(harness, id), { name, outcome })
    t.equal(harness.isClosed(connection), closes)
  })
}

t.test('slot time beyond the time charged in advance is charged to the workspace that used it', async (t) => {
  const charges: number[] = []
  const createQueue: CreateRequestQueue = <Item>(options: RequestQueueOptions) => {
    const queue = createSimpleQueue<Item>(options)
    return { ...queue, charge: (_workspace, usedMs) => { charges.push(usedMs) } }
  }
  const harness = createExecutorHarness({ createQueue })
  harness.execute(READ)
  harness.advance(100)
  harness.finish(harness.lastRun().connection)
  t.same(charges, [99])
})

t.test('reads run while so many writes of their workspace wait for a primary that the queue offers no more of its entries', async (t) => {
  const harness = createExecutorHarness({ createQueue: createFairRequestQueue })
  harness.setGroup({ phase: 'switching' })
  for (let count = 0; count < 100; count++) harness.execute(WRITE)
  harness.execute(READ)
  t.equal(harness.lastRun().operation.kind, 'read')
})

t.test('a request that arrives without time left is not run', async (t) => {
  const harness = createExecutorHarness()
  t.same(findRefusal(harness, harness.execute(WRITE, { remainingMs: 0 })), { name: 'deadlineExceeded', outcome: 'not-run' })
})

t.test('a queued request whose deadline passed between two ticks is not sent when a slot becomes free', async (t) => {
  const harness = createExecutorHarness()
  harness.setShare({ slots: 1, connections: 6 })
  harness.execute(WRITE)
  const { connection } = harness.lastRun()
  const late = harness.execute(WRITE, { remainingMs: 30 })
  harness.setNow(1031)
  harness.finish(connection, { position: WRITE_POSITION })
  t.same(findRefusal(harness, late), { name: 'deadlineExceeded', outcome: 'not-run' })
  t.equal(harness.runs().length, 1)
})
