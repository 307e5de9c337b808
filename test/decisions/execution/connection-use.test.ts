import t from 'tap'
import { milliseconds } from '../../../src/types/clock.js'
import { address, groupId, incarnationId, requestId } from '../../../src/types/ids.js'
import { createExecutorHarness, PRIMARY, REPLICA, SECOND, OTHER, READ, WRITE, AT, refusal, type ExecutorHarness } from './executor-harness.js'

const unfitPrimaries: { fault: string, change: (harness: ExecutorHarness) => void }[] = [
  { fault: 'it gets no new work', change: (harness) => harness.setDatabase(PRIMARY, { weight: 0 }) },
  { fault: 'its status is older than 1 s', change: (harness) => harness.observe(PRIMARY, {}, milliseconds(-1)) },
  { fault: 'it reports an earlier term', change: (harness) => harness.observe(PRIMARY, { term: 0 }) },
  { fault: 'it reports that it is a replica', change: (harness) => harness.observe(PRIMARY, { role: 'replica' }) },
  { fault: 'it is fenced for the next term', change: (harness) => harness.observe(PRIMARY, { fencedTerm: 2 }) },
  { fault: 'the session saw a later term than the directory', change: () => {} }
]

for (const { fault, change } of unfitPrimaries) {
  t.test(`no write is sent to a primary when ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    change(harness)
    const id = harness.execute(WRITE, fault.startsWith('the session') ? { required: { term: 2, offset: 5 } } : {})
    t.equal(harness.runs().length, 0)
    harness.advance(1000, false)
    t.equal(refusal(harness, id)?.outcome, 'not-run')
  })
}

t.test('a read waits for a replica that holds its session, and uses the primary after 50 ms', async (t) => {
  const harness = createExecutorHarness()
  harness.observe(PRIMARY, { position: AT })
  harness.execute(READ, { required: AT })
  t.equal(harness.runs().length, 0)
  harness.advance(50)
  t.equal(harness.lastRun().database, PRIMARY)
  harness.execute(READ, { required: AT })
  harness.observe(SECOND, { position: AT })
  harness.tick()
  t.equal(harness.lastRun().database, SECOND)
})

t.test('a database that left the directory, moved or restarted gets nothing over its old connections', async (t) => {
  const changes: ((harness: ExecutorHarness) => void)[] = [
    (harness) => harness.setDatabase(REPLICA, { address: address('db-b:2') }),
    (harness) => harness.observe(REPLICA, { incarnation: incarnationId('run-2') }),
    (harness) => harness.setDatabase(REPLICA, { weight: 0 }),
    (harness) => harness.setDatabase(REPLICA, { group: groupId('another') })
  ]
  for (const change of changes) {
    const harness = createExecutorHarness()
    harness.execute(READ)
    const busy = harness.lastRun()
    t.equal(busy.database, REPLICA)
    harness.openConnections()
    const old = harness.connectionsTo(REPLICA)
    change(harness)
    harness.tick()
    t.notOk(harness.isClosed(busy.connection), 'a running read may finish')
    harness.finish(busy.connection)
    for (const connection of old) t.ok(harness.isClosed(connection))
  }
})

t.test('a connection that opened to another incarnation than the observed one is closed', async (t) => {
  const harness = createExecutorHarness()
  harness.observe(REPLICA, { incarnation: incarnationId('run-2') })
  harness.advance(100)
  const before = harness.connectionsTo(REPLICA).filter((connection) => !harness.isClosed(connection))
  harness.openConnections('run-1')
  t.ok(before.length > 0)
  for (const connection of before) t.ok(harness.isClosed(connection))
})

t.test('demand covers what waits, and a former holder asks only for what it still uses', async (t) => {
  const harness = createExecutorHarness()
  const demand = (resource: string): number | undefined => harness.executor.demand().find((entry) => entry.resource === resource)?.amount
  t.equal(demand('slots:db-a'), 1, 'an idle holder keeps a slot')
  for (let count = 0; count < 6; count++) harness.execute(WRITE)
  t.equal(demand('slots:db-a'), 6)
  t.equal(demand('connections:db-a'), 7)
  harness.advance(10_000)
  harness.openConnections()
  harness.begin()
  harness.setGroup({ holders: [OTHER] })
  t.equal(demand('slots:db-a'), 1, 'the transaction can still finish')
  t.equal(demand('slots:db-b'), 0)
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
    harness.send(kind === 'cancel' ? { kind, from: 'peer', requestId: requestId(id) } : { kind, from: 'peer' })
    t.ok(harness.isClosed(connection))
    t.same(refusal(harness, id)?.outcome, 'unknown')
  }
})
