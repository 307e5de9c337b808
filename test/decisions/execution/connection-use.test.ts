// Guards the choice of databases and connections. An operation that runs on an unsuitable database can lose a write or
// return data older than its session has seen: after a failover, with an old status, or over a connection to an earlier
// incarnation. An operation without an answer must not occupy its connection for longer than its time limit.
import t from 'tap'
import { milliseconds } from '../../../src/types/clock.js'
import { address, groupId, incarnationId, requestId } from '../../../src/types/ids.js'
import { createExecutorHarness, PRIMARY, REPLICA, SECOND_REPLICA, OTHER, READ, WRITE, WRITE_POSITION, findRefusal, type ExecutorHarness } from './executor-harness.js'

const unusablePrimaries: { fault: string, change: (harness: ExecutorHarness) => void }[] = [
  { fault: 'its weight is 0', change: (harness) => harness.setDatabase(PRIMARY, { weight: 0 }) },
  { fault: 'its status is older than 1 s', change: (harness) => harness.observe(PRIMARY, {}, milliseconds(-1)) },
  { fault: 'it reports an earlier term', change: (harness) => harness.observe(PRIMARY, { term: 0 }) },
  { fault: 'it reports that it is a replica', change: (harness) => harness.observe(PRIMARY, { role: 'replica' }) },
  { fault: 'it is fenced for the next term', change: (harness) => harness.observe(PRIMARY, { fencedTerm: 2 }) },
  { fault: 'the session has a position of a later term than the directory', change: () => {} }
]

for (const { fault, change } of unusablePrimaries) {
  t.test(`no write is sent to a primary when ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    change(harness)
    const id = harness.execute(WRITE, fault.startsWith('the session') ? { required: { term: 2, offset: 5 } } : {})
    t.equal(harness.runs().length, 0)
    harness.advance(1000, false)
    t.equal(findRefusal(harness, id)?.outcome, 'not-run')
  })
}

t.test('a read waits for a replica that holds the required position, and runs on the primary after 50 ms', async (t) => {
  const harness = createExecutorHarness()
  harness.observe(PRIMARY, { position: WRITE_POSITION })
  harness.execute(READ, { required: WRITE_POSITION })
  t.equal(harness.runs().length, 0)
  harness.advance(50)
  t.equal(harness.lastRun().database, PRIMARY)
  harness.execute(READ, { required: WRITE_POSITION })
  harness.observe(SECOND_REPLICA, { position: WRITE_POSITION })
  harness.tick()
  t.equal(harness.lastRun().database, SECOND_REPLICA)
})

t.test('no new operation uses a connection to a database that moved, restarted, left the group or has weight 0', async (t) => {
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
    t.notOk(harness.isClosed(busy.connection), 'a read in flight may finish')
    harness.finish(busy.connection)
    for (const connection of old) t.ok(harness.isClosed(connection))
  }
})

t.test('a connection is closed when it opened to another incarnation than the observed one', async (t) => {
  const harness = createExecutorHarness()
  harness.observe(REPLICA, { incarnation: incarnationId('run-2') })
  harness.advance(100)
  const before = harness.connectionsTo(REPLICA).filter((connection) => !harness.isClosed(connection))
  harness.openConnections('run-1')
  t.ok(before.length > 0)
  for (const connection of before) t.ok(harness.isClosed(connection))
})

t.test('demand covers waiting requests, and a former connection holder demands only what it still uses', async (t) => {
  const harness = createExecutorHarness()
  const demand = (resource: string): number | undefined => harness.executor.demand().find((entry) => entry.resource === resource)?.amount
  t.equal(demand('slots:db-a'), 1, 'an idle connection holder demands one slot')
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
  t.same(findRefusal(harness, id), { name: 'outcomeUnknown', outcome: 'unknown' })
  t.ok(harness.isClosed(connection))
  harness.finish(connection, { position: WRITE_POSITION })
  t.equal(harness.answers.get(id)?.length, 1)
})

t.test('a result after the deadline closes the connection, even before the next tick', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute(READ, { remainingMs: 30 })
  const { connection } = harness.lastRun()
  harness.setNow(1031)
  harness.finish(connection, { rows: [{ n: 1 }] })
  t.same(findRefusal(harness, id), { name: 'outcomeUnknown', outcome: 'unknown' })
  t.ok(harness.isClosed(connection))
})

t.test('an operation without an answer occupies its connection for 5 s at most, even if its deadline is later', async (t) => {
  const harness = createExecutorHarness()
  harness.execute(READ, { remainingMs: 60_000 })
  const { connection } = harness.lastRun()
  harness.advance(4950)
  t.notOk(harness.isClosed(connection))
  harness.advance(50)
  t.ok(harness.isClosed(connection))
})

t.test('an operation in flight is abandoned when its requester is lost or cancels it', async (t) => {
  for (const kind of ['requester-lost', 'cancel'] as const) {
    const harness = createExecutorHarness()
    const id = harness.execute(WRITE)
    const { connection } = harness.lastRun()
    harness.send(kind === 'cancel' ? { kind, from: 'peer', requestId: harness.request(WRITE).requestId } : { kind, from: 'nobody' })
    t.notOk(harness.isClosed(connection), 'another requester can not cancel it')
    harness.send(kind === 'cancel' ? { kind, from: 'peer', requestId: requestId(id) } : { kind, from: 'peer' })
    t.ok(harness.isClosed(connection))
    t.same(findRefusal(harness, id)?.outcome, 'unknown')
  }
})
