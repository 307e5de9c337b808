import t, { type Test } from 'tap'
import { createDatabaseOrders } from '../../../src/adapters/postgres/database-orders.js'
import { createWatchDatabaseStatus } from '../../../src/adapters/postgres/watch-database-status.js'
import type { PostgresOptions } from '../../../src/adapters/postgres/postgres-options.js'
import { milliseconds, type Clock } from '../../../src/types/clock.js'
import type { DatabaseStatus } from '../../../src/types/database-status.js'
import { databaseId } from '../../../src/types/ids.js'
import type { DatabaseStandIn } from '../../../stand-ins/database/database-stand-in.js'
import { connectClient, credentials, longTimeoutOptions, startDatabases, waitUntil } from '../../stand-ins/database/fixture/start-group.js'

/** Watches stand-in databases. Guards against a watch that misses silence or a new status, and against a status of the wrong database. */

const orders = createDatabaseOrders(longTimeoutOptions)

interface Watched {
  statuses: DatabaseStatus[]
  requestedAt: number[]
  silences: string[]
  stop: () => void
}

/** Creates a clock that returns the number of its readings, so that each poll has its own time. */
function createCountingClock (): Clock {
  let readings = 0
  return { now: () => milliseconds(++readings) }
}

function watch (t: Test, database: DatabaseStandIn, options: PostgresOptions, name = 'g-1'): Watched {
  const watched: Watched = { statuses: [], requestedAt: [], silences: [], stop: () => {} }
  const { stop } = createWatchDatabaseStatus(options, createCountingClock())({
    database: databaseId(name),
    address: database.address(),
    onStatus: (status, requestedAt) => {
      watched.statuses.push(status)
      watched.requestedAt.push(requestedAt)
    },
    onSilent: (message) => { watched.silences.push(message) }
  })
  watched.stop = stop
  t.teardown(stop)
  return watched
}

t.test('a new position and a fence are reported before the status wait expires', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const { statuses, requestedAt, silences } = watch(t, primary, { ...longTimeoutOptions, statusWaitMs: 100_000 })
  await waitUntil(() => statuses.length === 1)
  await (await connectClient(t, primary)).query("insert into kv (key, value) values ('k', '1')")
  await waitUntil(() => statuses.at(-1)?.position.offset === primary.status().position.offset)
  await orders.fence(primary.address(), 2)
  await waitUntil(() => statuses.at(-1)?.fencedTerm === 2)
  t.same(silences, [])
  t.same(requestedAt, requestedAt.map((_, position) => position + 1), 'each status has the time at which it was requested')
})

const shortTimeouts: PostgresOptions = { credentials, statusWaitMs: 10, statusOverdueMs: 200, connectTimeoutMs: 2_000, reconnectPauseMs: 5 }

const faults: { name: string, fail: (database: DatabaseStandIn) => Promise<void>, recover: (database: DatabaseStandIn) => Promise<void> }[] = [
  { name: 'its connection becomes silent', fail: async ({ faults }) => faults.silenceConnections(), recover: async () => {} },
  { name: 'it is partitioned', fail: async ({ faults }) => faults.partition('all'), recover: async ({ faults }) => faults.heal() },
  { name: 'it restarts', fail: async (database) => await database.stop(), recover: async (database) => await database.start() }
]

for (const { name, fail, recover } of faults) {
  t.test(`the watch reports silence and then a new status when ${name}`, async (t) => {
    const [primary] = await startDatabases(t, { size: 1 })
    const { statuses, silences } = watch(t, primary, shortTimeouts)
    await waitUntil(() => statuses.length > 0)
    await fail(primary)
    await waitUntil(() => silences.length > 0)
    await recover(primary)
    const seen = statuses.length
    await waitUntil(() => statuses.length > seen)
    t.equal(statuses.at(-1)?.incarnation, primary.status().incarnation)
  })
}

t.test('another database at the address is reported as silence, so that a reused address is not taken for the former database', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const { statuses, silences } = watch(t, primary, longTimeoutOptions, 'another')
  await waitUntil(() => silences.length > 0)
  t.match(silences[0], /answered as database g-1/)
  t.same(statuses, [])
})

t.test('a stopped watch reports nothing and ends its connection', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const { statuses, silences, stop } = watch(t, primary, { ...longTimeoutOptions, statusWaitMs: 100_000 })
  await waitUntil(() => statuses.length > 0)
  stop()
  await waitUntil(() => primary.counts().openConnections === 0)
  t.same(silences, [])
  t.equal(statuses.length, 1)
})
