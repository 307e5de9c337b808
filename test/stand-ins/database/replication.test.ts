// Guards against stand-ins that hide faults of the product, because they lose, keep or reorder writes in ways that a real database
// does not. This happens when a fence, a rewind, a restart or a fault of the network changes log, term or age wrongly.
import t from 'tap'
import { createDatabaseOrders } from '../../../src/adapters/postgres/database-orders.js'
import { waitUntilCaughtUp, connectClient, longTimeoutOptions, startDatabases, waitUntil, type Databases } from './fixture/start-group.js'

const insert = 'insert into kv (key, value) values ($1, $2)'
const orders = createDatabaseOrders(longTimeoutOptions)

/** Fences the second and third database for term 2 and promotes the second. */
async function promoteSecond ([, second, third]: Databases): Promise<void> {
  await orders.fence(second.address(), 2)
  await orders.fence(third.address(), 2)
  const promoted = await orders.promote(second.address(), 2)
  if (promoted.isErr()) throw new Error(promoted.error.message)
}

t.test('a replica discards entries that the new primary lacks, so that lost writes do not reappear', async (t) => {
  const databases = await startDatabases(t)
  const [first, second, third] = databases
  const client = await connectClient(t, first)
  await client.query(insert, ['kept', '1'])
  await Promise.all([waitUntilCaughtUp(second, first), waitUntilCaughtUp(third, first)])
  second.faults.pauseReplication()
  third.faults.pauseReplication()
  await client.query(insert, ['lost', '1'])
  await promoteSecond(databases)
  await (await connectClient(t, second)).query(insert, ['new', '1'])
  second.faults.resumeReplication()
  third.faults.resumeReplication()
  for (const replica of [first, third]) {
    t.ok((await orders.follow(replica.address(), 2, second.address())).isOk())
    await waitUntilCaughtUp(replica, second)
    t.same([replica.value('w', 'kept'), replica.value('w', 'lost'), replica.value('w', 'new')], ['1', null, '1'])
    t.same(replica.log(), second.log())
    t.equal(replica.status().role, 'replica')
  }
})

t.test('a fenced primary refuses writes, and a fenced replica accepts no entries of a lower term', async (t) => {
  const [first, second] = await startDatabases(t)
  const client = await connectClient(t, first)
  await orders.fence(second.address(), 2)
  await client.query(insert, ['k', '1'])
  t.equal((await orders.follow(second.address(), 1, first.address()))._unsafeUnwrapErr().sqlState, 'CR003')
  t.equal(second.value('w', 'k'), null)
  t.match((await orders.fence(first.address(), 2))._unsafeUnwrap(), { role: 'primary', term: 1, fencedTerm: 2 })
  await t.rejects(client.query(insert, ['l', '1']), { code: 'CR001' })
})

t.test('a database refuses orders out of sequence: a promotion without a fence, and a fence below the last one', async (t) => {
  const [, second] = await startDatabases(t)
  t.equal((await orders.promote(second.address(), 2))._unsafeUnwrapErr().sqlState, 'CR003')
  await orders.fence(second.address(), 3)
  t.equal((await orders.fence(second.address(), 2))._unsafeUnwrapErr().sqlState, 'CR003')
  t.match((await orders.status(second.address()))._unsafeUnwrap(), { role: 'replica', term: 1, fencedTerm: 3 })
})

t.test('a restart keeps log, term and fence under a new incarnation, and an empty start discards them', async (t) => {
  const databases = await startDatabases(t)
  const [first, second, third] = databases
  await (await connectClient(t, first)).query(insert, ['k', '1'])
  await Promise.all([waitUntilCaughtUp(second, first), waitUntilCaughtUp(third, first)])
  await promoteSecond(databases)
  const before = second.status()
  await second.stop()
  await second.start()
  t.same(second.status(), { ...before, incarnation: second.status().incarnation })
  t.not(second.status().incarnation, before.incarnation)
  await (await connectClient(t, second)).query(insert, ['l', '1'])
  await first.stop()
  await first.start({ empty: true })
  t.match(first.status(), { role: 'replica', term: 0, fencedTerm: 0, position: { term: 0, offset: 0 } })
  await orders.follow(first.address(), 2, second.address())
  await waitUntilCaughtUp(first, second)
  t.same(first.log(), second.log())
})

t.test('a restarted replica follows the same primary as before and becomes fresh again', async (t) => {
  const [first, second] = await startDatabases(t)
  await second.stop()
  await (await connectClient(t, first)).query(insert, ['k', '1'])
  await second.start()
  await waitUntilCaughtUp(second, first)
  t.equal(second.value('w', 'k'), '1')
  await waitUntil(() => second.status().ageMs < 1_000)
})

t.test('a paused replica applies no entries and its age grows, so that stale data do not count as fresh', async (t) => {
  const [first, second] = await startDatabases(t)
  await waitUntil(() => second.status().ageMs < 1_000)
  second.faults.pauseReplication()
  await (await connectClient(t, first)).query(insert, ['k', '1'])
  const age = second.status().ageMs
  await waitUntil(() => second.status().ageMs > age + 100)
  t.equal(second.value('w', 'k'), null)
  second.faults.resumeReplication()
  await waitUntilCaughtUp(second, first)
  t.equal(second.value('w', 'k'), '1')
})

t.test('clients work during a partition of the replication alone, and replication resumes after it', async (t) => {
  const [first, second] = await startDatabases(t)
  const client = await connectClient(t, second)
  second.faults.partition('replication')
  await (await connectClient(t, first)).query(insert, ['k', '1'])
  t.same((await client.query('select value from kv where key = $1', ['k'])).rows, [])
  second.faults.heal()
  await waitUntilCaughtUp(second, first)
  t.equal(second.value('w', 'k'), '1')
})

t.test('a partitioned primary stays primary, and discards its own entries when it follows the new primary afterwards', async (t) => {
  const databases = await startDatabases(t)
  const [first, second] = databases
  const client = await connectClient(t, first)
  first.faults.partition('all')
  client.query(insert, ['k', '1']).catch(() => {})
  await promoteSecond(databases)
  t.equal(first.status().role, 'primary')
  first.faults.heal()
  await orders.follow(first.address(), 2, second.address())
  await waitUntilCaughtUp(first, second)
  t.equal(first.value('w', 'k'), null)
})

t.test('a frozen database answers nothing, and runs the received statements after the thaw', async (t) => {
  const [first] = await startDatabases(t, { size: 1 })
  const client = await connectClient(t, first)
  first.faults.freeze()
  let answered = false
  const pending = client.query(insert, ['k', '1']).then(() => { answered = true })
  // Another database answers after 0.02 s, which shows that the frozen one had time to answer.
  await (await connectClient(t, (await startDatabases(t, { size: 1 }))[0])).query('select pg_sleep(0.02)')
  t.equal(answered, false)
  t.equal(first.value('w', 'k'), null)
  first.faults.thaw()
  await pending
  t.equal(first.value('w', 'k'), '1')
})

t.test('delay and lag keep the order of answers and log entries, as TCP does', async (t) => {
  const [first, second] = await startDatabases(t, { size: 2, networkDelayMs: 1, replicationLagMs: 5 })
  const client = await connectClient(t, first)
  const numbers = Array.from({ length: 20 }, (_, number) => String(number))
  for (const number of numbers) {
    if (number === '10') first.faults.slow(2)
    await client.query('insert into entries (key, value) values ($1, $2)', ['list', number])
  }
  await waitUntilCaughtUp(second, first)
  t.same(second.entries('w', 'list'), numbers)
  t.same(second.log(), first.log())
})
