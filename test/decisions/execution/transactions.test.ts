// Guards open transactions. A transaction holds locks, a slot and a connection. When its key, term, share or requester is
// lost it must be aborted, or it blocks other work and switchovers; no other request may use its connection.
import t from 'tap'
import { milliseconds } from '../../../src/types/clock.js'
import type { CreateRequestQueue, RequestQueueOptions } from '../../../src/decisions/execution/request-queue.js'
import { workspaceId } from '../../../src/types/ids.js'
import { createExecutorHarness, PRIMARY, OTHER, manifestWith, WRITE, BEGIN, WRITE_POSITION, failed, findRefusal, isSuccess, type ExecutorHarness } from './executor-harness.js'
import { createSimpleQueue } from './simple-request-queue.js'

t.test('transactions leave connections for single statements', async (t) => {
  const harness = createExecutorHarness()
  harness.setShare({ slots: 1, connections: 3 })
  harness.begin()
  harness.openConnections()
  harness.begin()
  const id = harness.execute(BEGIN)
  harness.openConnections()
  harness.execute(WRITE, { remainingMs: 100 })
  harness.openConnections()
  t.equal(harness.lastRun().operation.kind, 'write')
  harness.advance(1000)
  t.same(findRefusal(harness, id), { name: 'tooManyTransactions', outcome: 'not-run' })
})

t.test('a begin whose transaction was committed before is answered with the recorded position', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute(BEGIN, { idempotencyKey: 'key' })
  harness.finish(harness.lastRun().connection, { position: { term: 1, offset: 4 }, replayed: true })
  t.match(harness.answers.get(id), [{ kind: 'success', transaction: null, position: { offset: 4 } }])
  t.equal(harness.executor.countActive(), 0)
})

t.test('another workspace can not use a transaction', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  const id = harness.execute({ kind: 'commit', transaction }, { workspace: workspaceId('bank') })
  t.same(findRefusal(harness, id), { name: 'unknownTransaction', outcome: 'not-run' })
  t.match(transaction, /^entry-1\.[^.]+$/)
})

t.test('statements of a transaction run one at a time on its connection, which no other request uses', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  const { connection } = harness.lastRun()
  harness.execute({ kind: 'transaction-statement', transaction, statement: 'update y', values: [] })
  t.equal(harness.lastRun().connection, connection)
  const busy = harness.execute({ kind: 'transaction-statement', transaction, statement: 'update z', values: [] })
  t.same(findRefusal(harness, busy), { name: 'transactionBusy', outcome: 'not-run' })
  harness.finish(connection)
  harness.execute(WRITE)
  harness.openConnections()
  t.not(harness.lastRun().connection, connection)
  harness.finish(harness.lastRun().connection, { position: WRITE_POSITION })
  const commit = harness.execute({ kind: 'commit', transaction })
  harness.finish(connection, { position: WRITE_POSITION })
  harness.observeAll({ position: WRITE_POSITION })
  harness.tick()
  t.ok(isSuccess(harness, commit))
  t.notOk(harness.isClosed(connection))
})

const transactionEnds: { fault: string, change: (harness: ExecutorHarness) => void }[] = [
  { fault: 'its key is withdrawn', change: (harness) => harness.manifest.write({ version: 2, manifest: manifestWith(['another']) }) },
  { fault: 'its requester is lost', change: (harness) => harness.send({ kind: 'requester-lost', from: 'peer' }) },
  { fault: 'the term changes', change: (harness) => harness.setGroup({ term: 2, phase: 'electing' }) },
  { fault: 'it is idle for too long', change: (harness) => harness.advance(10_000) },
  { fault: 'it was open for 60 s, although it was used', change: (harness) => { for (let count = 0; count < 12; count++) { harness.useTransaction(); harness.advance(5000) } } },
  { fault: 'the connection share expires', change: (harness) => harness.setShare({ slots: 2, connections: 6 }, 1) }
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
    t.same(findRefusal(harness, id), { name: 'transactionAborted', outcome: 'not-run' })
    t.equal(harness.executor.countActive(), 0)
  })
}

t.test('a commit without an answer has an unknown outcome, and a failed statement aborts its transaction', async (t) => {
  const harness = createExecutorHarness()
  const first = harness.begin()
  const commit = harness.execute({ kind: 'commit', transaction: first })
  harness.send({ kind: 'connection-closed', connection: harness.lastRun().connection })
  t.same(findRefusal(harness, commit), { name: 'outcomeUnknown', outcome: 'unknown' })
  harness.openConnections()
  const second = harness.begin()
  const statement = harness.execute({ kind: 'transaction-statement', transaction: second, statement: 'update y', values: [] })
  harness.finish(harness.lastRun().connection, failed('refused', '42601', true))
  t.same(findRefusal(harness, statement), { name: 'databaseError', outcome: 'not-run' })
  t.ok(harness.isClosed(harness.lastRun().connection))
  t.ok(isSuccess(harness, harness.execute({ kind: 'rollback', transaction: second })), 'the transaction was rolled back, as the caller requested')
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

t.test('a statement without a free slot before its deadline is not run, and its transaction stays open', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  harness.setShare({ slots: 1, connections: 6 })
  harness.execute(WRITE, { remainingMs: 5000 })
  harness.openConnections()
  const write = harness.lastRun()
  t.equal(write.operation.kind, 'write')
  const id = harness.execute({ kind: 'transaction-statement', transaction, statement: 'update y', values: [] })
  harness.advance(1000)
  t.same(findRefusal(harness, id), { name: 'deadlineExceeded', outcome: 'not-run' })
  harness.finish(write.connection, { position: WRITE_POSITION })
  harness.execute({ kind: 'commit', transaction })
  t.equal(harness.lastRun().operation.kind, 'commit')
})

t.test('a former connection holder without slots finishes its transactions and runs nothing else', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  harness.setGroup({ holders: [OTHER] })
  harness.setShare({ slots: 0, connections: 0 })
  t.same(findRefusal(harness, harness.execute(WRITE)), { name: 'noHolder', outcome: 'not-run' })
  t.equal(harness.executor.countUsedSlots(PRIMARY), 1, 'the slot stays in use while the transaction is open')
  const id = harness.execute({ kind: 'commit', transaction })
  harness.finish(harness.lastRun().connection, { position: WRITE_POSITION })
  harness.observeAll({ position: WRITE_POSITION })
  harness.tick()
  t.ok(isSuccess(harness, id))
  t.equal(harness.executor.countUsedSlots(PRIMARY), 0)
})

t.test('no operation of a transaction runs once the lease on the slots has expired', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  harness.expireSlots()
  const before = harness.runs().length
  harness.execute({ kind: 'commit', transaction })
  t.equal(harness.runs().length, before)
})

t.test('no statement of a transaction is sent while the instance has no freshness lease', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  const setLease = (validUntil: number): void => harness.freshness.write({ confirmedAt: milliseconds(0), validUntil: milliseconds(validUntil), leaderTerm: 1 })
  setLease(1)
  const refused = harness.execute({ kind: 'commit', transaction })
  t.same(findRefusal(harness, refused), { name: 'notFresh', outcome: 'not-run' })
  setLease(1e9)
  harness.execute({ kind: 'commit', transaction })
  t.equal(harness.lastRun().operation.kind, 'commit')
})

t.test('an open transaction delays a switchover for 1 s at most', async (t) => {
  const harness = createExecutorHarness()
  const transaction = harness.begin()
  harness.setGroup({ phase: 'switching' })
  harness.advance(1000)
  t.same(harness.executor.releasedTerms(), [], 'it may still commit')
  harness.useTransaction()
  harness.advance(50)
  t.equal(harness.executor.releasedTerms()[0]?.term, 1)
  t.same(findRefusal(harness, harness.execute({ kind: 'commit', transaction })), { name: 'transactionAborted', outcome: 'not-run' })
})
