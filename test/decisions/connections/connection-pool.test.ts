// Guards against a pool that floods a database with opens, loses connections of its share to opens without an answer, or uses a
// connection to an earlier incarnation of a database.
import t from 'tap'
import { createConnectionPool } from '../../../src/decisions/connections/connection-pool.js'
import type { ConnectionTarget } from '../../../src/decisions/connections/pooled-connection.js'
import { milliseconds } from '../../../src/types/clock.js'
import type { ExecutorEffect } from '../../../src/types/executor-message.js'
import { address, connectionId, databaseId, groupId, incarnationId, type ConnectionId } from '../../../src/types/ids.js'

const DATABASE = databaseId('db')
const INCARNATION = incarnationId('run-1')

function target (change: Partial<ConnectionTarget> = {}): ConnectionTarget {
  return { database: DATABASE, address: address('db:1'), incarnation: INCARNATION, limit: 3, wanted: { read: 1, write: 0 }, missing: { read: 0, write: 0 }, ...change }
}

function createHarness () {
  let now = 0
  const effects: ExecutorEffect[] = []
  const pool = createConnectionPool({ group: groupId('g'), clock: { now: () => milliseconds(now) }, emit: (effect) => { effects.push(effect) } })
  const opens = (): ConnectionId[] => effects.filter((effect) => effect.kind === 'open-connection').map((effect) => effect.connection)
  const closes = (): ConnectionId[] => effects.filter((effect) => effect.kind === 'close-connection').map((effect) => effect.connection)
  function reconcile (wanted: ConnectionTarget): void {
    pool.closeDisallowed([wanted])
    pool.openWanted([wanted])
  }
  return { pool, effects, opens, closes, reconcile, advance: (durationMs: number) => { now += durationMs } }
}

t.test('the delay after failed opens doubles each time, so that a refusing database is not flooded', async (t) => {
  const harness = createHarness()
  const openTimes: number[] = []
  for (let now = 0; now < 800; now += 10) {
    const before = harness.opens().length
    harness.reconcile(target())
    const [opened] = harness.opens().slice(before)
    if (opened !== undefined) {
      openTimes.push(now)
      harness.pool.markOpenFailed(opened)
    }
    harness.advance(10)
  }
  t.same(openTimes, [0, 50, 150, 350, 750])
})

t.test('an open that is never answered is abandoned, so that it does not occupy a connection of the share forever', async (t) => {
  const harness = createHarness()
  harness.reconcile(target())
  harness.advance(3001)
  harness.reconcile(target())
  t.same(harness.closes(), harness.opens())
  t.equal(harness.pool.markOpened(harness.opens()[0] ?? connectionId(''), INCARNATION), false, 'a late answer is ignored')
  t.equal(harness.pool.count(DATABASE), 0)
})

t.test('an idle connection is closed when requests wait for a connection of the other mode', async (t) => {
  const harness = createHarness()
  const full = target({ limit: 1, wanted: { read: 1, write: 1 } })
  harness.reconcile(full)
  const [read] = harness.opens()
  harness.pool.markOpened(read ?? connectionId(''), INCARNATION)
  harness.reconcile(full)
  t.equal(harness.opens().length, 1, 'a spare connection does not replace another one')
  harness.reconcile({ ...full, missing: { read: 0, write: 1 } })
  t.same(harness.closes(), [read])
  t.match(harness.effects.at(-1), { kind: 'open-connection', mode: 'write' })
})

t.test('an idle connection above the wanted number is closed after 30 s, and a wanted one is kept', async (t) => {
  const harness = createHarness()
  harness.reconcile(target({ wanted: { read: 2, write: 0 } }))
  for (const connection of harness.opens()) harness.pool.markOpened(connection, INCARNATION)
  harness.advance(30_001)
  harness.reconcile(target())
  t.equal(harness.closes().length, 1)
  t.equal(harness.pool.count(DATABASE), 1)
})

t.test('a smaller share closes idle connections at once and busy ones when they are released', async (t) => {
  const harness = createHarness()
  harness.reconcile(target({ wanted: { read: 3, write: 0 } }))
  for (const connection of harness.opens()) harness.pool.markOpened(connection, INCARNATION)
  const busy = [harness.pool.acquire(DATABASE, 'read', INCARNATION), harness.pool.acquire(DATABASE, 'read', INCARNATION)]
  harness.reconcile(target({ limit: 1 }))
  t.equal(harness.closes().length, 1)
  t.notOk(harness.closes().some((closed) => busy.some((connection) => connection?.id === closed)))
  for (const connection of busy) {
    harness.pool.release(connection?.id ?? connectionId(''))
    harness.reconcile(target({ limit: 1 }))
  }
  t.equal(harness.pool.count(DATABASE), 1)
})

t.test('a connection of another incarnation, mode or state is never acquired', async (t) => {
  const harness = createHarness()
  harness.reconcile(target())
  t.equal(harness.pool.acquire(DATABASE, 'read', INCARNATION), null, 'it is still opening')
  harness.pool.markOpened(harness.opens()[0] ?? connectionId(''), INCARNATION)
  t.equal(harness.pool.acquire(DATABASE, 'read', incarnationId('run-2')), null)
  t.equal(harness.pool.acquire(DATABASE, 'write', INCARNATION), null)
  t.ok(harness.pool.acquire(DATABASE, 'read', INCARNATION))
  t.equal(harness.pool.acquire(DATABASE, 'read', INCARNATION), null, 'it is busy')
})
