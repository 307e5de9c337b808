import t from 'tap'
import type { CreateRequestQueue, RequestQueueOptions } from '../../../src/decisions/execution/request-queue.js'
import { milliseconds } from '../../../src/types/clock.js'
import { incarnationId, keyId, transactionId, workspaceId } from '../../../src/types/ids.js'
import type { OperationFailed } from '../../../src/types/database-operation.js'
import type { Operation } from '../../../src/types/peer-message.js'
import { resultCodes, type ResultName } from '../../../src/types/result-code.js'
import { createExecutorHarness, manifestWith, PRIMARY, REPLICA, SECOND, SELF, OTHER, type ExecutorHarness } from './executor-harness.js'
import { createSimpleQueue } from './simple-request-queue.js'

const READ: Operation = { kind: 'statement', statement: 'select 2', values: [], access: 'read' }
const WRITE: Operation = { kind: 'statement', statement: 'update x', values: [], access: 'write' }
const BEGIN: Operation = { kind: 'begin' }
const AT = { term: 1, offset: 11 }

function failed (phase: OperationFailed['phase'], sqlState: string | null = null, connectionUsable = false): OperationFailed {
  return { kind: 'failed', phase, sqlState, message: 'failed', connectionUsable }
}

function refusal (harness: ExecutorHarness, id: string): { name: string, outcome: string } | null {
  const outcome = harness.answers.get(id)?.[0]
  if (outcome === undefined || outcome.kind === 'success') return null
  const name = Object.entries(resultCodes).find(([, entry]) => entry.code === outcome.code)?.[0] ?? ''
  return { name, outcome: outcome.outcome }
}

const isSuccess = (harness: ExecutorHarness, id: string): boolean => harness.answers.get(id)?.[0]?.kind === 'success'

const arrivalFaults: { fault: string, prepare: (harness: ExecutorHarness) => void, operation?: Operation, key?: string | null, expected: ResultName }[] = [
  { fault: 'the freshness lease ran out', prepare: (harness) => harness.freshness.write({ provenAt: milliseconds(0), validUntil: milliseconds(1000), leaderTerm: 1 }), expected: 'notFresh' },
  { fault: 'the instance is not a holder', prepare: (harness) => harness.setGroup({ holders: [OTHER] }), expected: 'noHolder' },
  { fault: 'the key was withdrawn', prepare: (harness) => harness.manifest.write({ version: 2, manifest: manifestWith([]) }), expected: 'keyRefused' },
  { fault: 'no key came and the statement is not that of an open route', prepare: () => {}, key: null, expected: 'keyRefused' },
  { fault: 'no key came for a transaction', prepare: () => {}, operation: BEGIN, key: null, expected: 'keyRefused' },
  { fault: 'the instance drains and another holder exists', prepare: (harness) => harness.draining.write(true), expected: 'shuttingDown' },
  { fault: 'the transaction does not exist', prepare: () => {}, operation: { kind: 'commit', transaction: transactionId(`${SELF}.none`) }, expected: 'unknownTransaction' }
]

for (const { fault, prepare, operation = READ, key, expected } of arrivalFaults) {
  t.test(`a request is refused as not run and nothing is sent when ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    prepare(harness)
    const id = harness.execute(operation, key === undefined ? {} : { keyId: key === null ? null : keyId(key) })
    t.same(refusal(harness, id), { name: expected, outcome: 'not-run' })
    t.equal(harness.runs().length, 0)
  })
}

t.test('a full queue refuses, so that waiting requests keep their places', async (t) => {
  const harness = createExecutorHarness({ createQueue: (options) => createSimpleQueue(options, 1) })
  harness.setShare({ slots: 0, connections: 2 })
  harness.execute(READ)
  t.same(refusal(harness, harness.execute(READ)), { name: 'queueFull', outcome: 'not-run' })
})

t.test('the statement of an open route runs without a key', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute({ kind: 'statement', statement: 'select 1', values: [], access: 'read' }, { keyId: null })
  harness.finish(harness.lastRun().connection, { rows: [{ n: 1 }], rowCount: 1 })
  t.ok(isSuccess(harness, id))
})

t.test('a draining holder keeps serving when there is no other', async (t) => {
  const harness = createExecutorHarness()
  harness.draining.write(true)
  harness.setGroup({ holders: [SELF] })
  harness.execute(READ)
  t.equal(harness.runs().length, 1)
})

const queueFaults: { fault: string, change: (harness: ExecutorHarness) => void, expected: ResultName }[] = [
  { fault: 'its key is withdrawn', change: (harness) => harness.manifest.write({ version: 2, manifest: manifestWith([]) }), expected: 'keyRefused' },
  { fault: 'the lease runs out', change: (harness) => harness.freshness.write({ provenAt: milliseconds(0), validUntil: milliseconds(1), leaderTerm: 1 }), expected: 'notFresh' },
  { fault: 'the instance stops being a holder', change: (harness) => harness.setGroup({ holders: [OTHER] }), expected: 'noHolder' },
  { fault: 'its deadline passes', change: (harness) => harness.advance(1000), expected: 'deadlineExceeded' }
]

for (const { fault, change, expected } of queueFaults) {
  t.test(`a queued write is never sent after ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    harness.setShare({ slots: 0, connections: 2 })
    const id = harness.execute(WRITE)
    change(harness)
    harness.setShare({ slots: 2, connections: 2 })
    harness.tick()
    t.same(refusal(harness, id), { name: expected, outcome: 'not-run' })
    t.equal(harness.runs().length, 0)
  })
}

const heldBack: { phase: 'electing' | 'switching', term: number }[] = [{ phase: 'electing', term: 2 }, { phase: 'switching', term: 1 }]
for (const { phase, term } of heldBack) {
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
    t.equal(refusal(harness, id), null)
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
    t.same(refusal(harness, id), { name, outcome })
    t.equal(harness.isClosed(connection), closes)
  })
}

t.test('a write is acknowledged only when a majority holds its position', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute(WRITE)
  harness.finish(harness.lastRun().connection, { position: AT })
  harness.observe(PRIMARY, { position: AT })
  harness.tick()
  t.notOk(harness.answers.has(id), 'the primary alone is no majority')
  harness.observe(SECOND, { position: AT })
  harness.tick()
  t.match(harness.answers.get(id), [{ kind: 'success', position: AT }])
})

const notDurable: { fault: string, change: (harness: ExecutorHarness) => void }[] = [
  { fault: 'the term ended', change: (harness) => harness.setGroup({ term: 2, phase: 'electing' }) },
  { fault: 'the majority is fenced for a higher term', change: (harness) => harness.observeAll({ fencedTerm: 2, position: AT }) },
  { fault: 'the majority reports another term', change: (harness) => harness.observeAll({ term: 2, position: { term: 2, offset: 12 } }) },
  { fault: 'the primary restarted and may have reused the position', change: (harness) => { harness.observeAll({ position: AT }); harness.observe(PRIMARY, { incarnation: incarnationId('run-2') }) } },
  { fault: 'the freshness lease ran out', change: (harness) => { harness.observeAll({ position: AT }); harness.freshness.write({ provenAt: milliseconds(0), validUntil: milliseconds(1), leaderTerm: 1 }) } },
  { fault: 'no replica reached the position', change: (harness) => harness.observe(PRIMARY, { position: AT }) }
]

for (const { fault, change } of notDurable) {
  t.test(`a write is never acknowledged when ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    const id = harness.execute(WRITE)
    harness.finish(harness.lastRun().connection, { position: AT })
    change(harness)
    harness.tick()
    harness.advance(1000)
    t.same(refusal(harness, id), { name: 'notDurable', outcome: 'unknown' })
  })
}

t.test('a term is released as soon as the next one begins, and in a switchover once no write is open', async (t) => {
  const harness = createExecutorHarness()
  const released = (): (number | undefined)[] => harness.executor.releasedTerms().map(({ term }) => term)
  t.same(released(), [])
  harness.execute(WRITE)
  harness.setGroup({ phase: 'switching' })
  harness.tick()
  t.same(released(), [], 'a write still runs')
  harness.finish(harness.lastRun().connection, { position: AT })
  t.same(released(), [], 'a majority may still confirm the write')
  harness.observeAll({ position: AT })
  harness.tick()
  t.same(released(), [1])
  harness.setGroup({ phase: 'electing', term: 5 })
  t.same(released(), [4])
})

t.test('an overdue operation closes its connection and its late result is ignored', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute(WRITE)
  const { connection } = harness.lastRun()
  harness.advance(1000)
  t.same(refusal(harness, id), { name: 'outcomeUnknown', outcome: 'unknown' })
  t.ok(harness.isClosed(connection))
  harness.finish(connection, { position: AT })
  t.equal(harness.answers.get(id)?.length, 1)
})

t.test('a result after the deadline closes the connection, even before the next tick', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute(READ, { remainingMs: 30 })
  const { connection } = harness.lastRun()
  harness.setNow(1031)
  harness.finish(connection, { rows: [{ n: 1 }] })
  t.same(refusal(harness, id), { name: 'outcomeUnknown', outcome: 'unknown' })
  t.ok(harness.isClosed(connection))
})

t.test('a request with a long deadline does not keep a silent connection for more than 5 s', async (t) => {
  const harness = createExecutorHarness()
  harness.execute(READ, { remainingMs: 60_000 })
  const { connection } = harness.lastRun()
  harness.advance(4950)
  t.notOk(harness.isClosed(connection))
  harness.advance(50)
  t.ok(harness.isClosed(connection))
})

t.test('a running operation is given up when its requester is lost or cancels', async (t) => {
  for (const kind of ['requester-lost', 'cancel'] as const) {
    const harness = createExecutorHarness()
    const id = harness.execute(WRITE)
    const { connection } = harness.lastRun()
    harness.send(kind === 'cancel' ? { kind, from: 'peer', requestId: harness.request(WRITE).requestId } : { kind, from: 'nobody' })
    t.notOk(harness.isClosed(connection), 'another requester has no say')
    harness.send(kind === 'cancel' ? { kind, from: 'peer', requestId: id as never } : { kind, from: 'peer' })
    t.ok(harness.isClosed(connection))
    t.same(refusal(harness, id)?.outcome, 'unknown')
  }
})

t.test('another workspace can not use a transaction', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  const id = harness.execute({ kind: 'commit', transaction }, { workspace: workspaceId('bank') })
  t.same(refusal(harness, id), { name: 'unknownTransaction', outcome: 'not-run' })
  t.match(transaction, /^entry-1\.[^.]+$/)
})

t.test('statements of a transaction run one at a time on its connection, which no other request gets', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  const { connection } = harness.lastRun()
  harness.execute({ kind: 'transaction-statement', transaction, statement: 'update y', values: [] })
  t.equal(harness.lastRun().connection, connection)
  const busy = harness.execute({ kind: 'transaction-statement', transaction, statement: 'update z', values: [] })
  t.same(refusal(harness, busy), { name: 'transactionBusy', outcome: 'not-run' })
  harness.finish(connection)
  harness.execute(WRITE)
  harness.openConnections()
  t.not(harness.lastRun().connection, connection)
  harness.finish(harness.lastRun().connection, { position: AT })
  const commit = harness.execute({ kind: 'commit', transaction })
  harness.finish(connection, { position: AT })
  harness.observeAll({ position: AT })
  harness.tick()
  t.ok(isSuccess(harness, commit))
  t.notOk(harness.isClosed(connection))
})

const transactionEnds: { fault: string, change: (harness: ExecutorHarness) => void }[] = [
  { fault: 'its key is withdrawn', change: (harness) => harness.manifest.write({ version: 2, manifest: manifestWith(['another']) }) },
  { fault: 'its requester is lost', change: (harness) => harness.send({ kind: 'requester-lost', from: 'peer' }) },
  { fault: 'the term changes', change: (harness) => harness.setGroup({ term: 2, phase: 'electing' }) },
  { fault: 'it is idle for too long', change: (harness) => harness.advance(10_000) },
  { fault: 'the connection share runs out', change: (harness) => harness.setShare({ slots: 2, connections: 6 }, 1) }
]

for (const { fault, change } of transactionEnds) {
  t.test(`a transaction is rolled back and its connection closed when ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    const transaction = harness.begin()
    const { connection } = harness.lastRun()
    change(harness)
    harness.tick()
    t.ok(harness.isClosed(connection))
    const id = harness.execute({ kind: 'commit', transaction })
    t.same(refusal(harness, id), { name: 'transactionAborted', outcome: 'not-run' })
    t.equal(harness.executor.activeCount(), 0)
  })
}

t.test('a commit without an answer is unknown, and a failed statement ends its transaction', async (t) => {
  const harness = createExecutorHarness()
  const first = harness.begin()
  const commit = harness.execute({ kind: 'commit', transaction: first })
  harness.send({ kind: 'connection-closed', connection: harness.lastRun().connection })
  t.same(refusal(harness, commit), { name: 'outcomeUnknown', outcome: 'unknown' })
  harness.openConnections()
  const second = harness.begin()
  const statement = harness.execute({ kind: 'transaction-statement', transaction: second, statement: 'update y', values: [] })
  harness.finish(harness.lastRun().connection, failed('refused', '42601', true))
  t.same(refusal(harness, statement), { name: 'databaseError', outcome: 'not-run' })
  t.ok(harness.isClosed(harness.lastRun().connection))
  t.ok(isSuccess(harness, harness.execute({ kind: 'rollback', transaction: second })), 'the caller wanted no more than that')
})

t.test('the time that a transaction holds its connection is charged to its workspace', async (t) => {
  const charges: number[] = []
  const createQueue: CreateRequestQueue = <Item>(options: RequestQueueOptions) => {
    const queue = createSimpleQueue<Item>(options)
    return { ...queue, charge: (_workspace, usedMs) => { charges.push(usedMs) } }
  }
  const harness = createExecutorHarness({ createQueue })
  const transaction = harness.begin()
  harness.advance(400)
  harness.execute({ kind: 'rollback', transaction })
  harness.finish(harness.lastRun().connection)
  t.equal(charges.reduce((sum, charge) => sum + charge, 0), 400)
})
