// Guards against a pool that floods a database which refuses connections, mixes connections of different workspaces, or keeps
// idle connections after their database was found silent or while a switchover needs them.
import { err, ok } from 'neverthrow'
import t from 'tap'
import { createDatabaseHealth } from '../../../src/decisions/caller-sessions/database-health.js'
import { createSessionPool } from '../../../src/decisions/caller-sessions/session-pool.js'
import type { DatabaseSession, OpenFailure, SessionTarget } from '../../../src/types/database-session.js'
import type { DirectoryDatabase } from '../../../src/types/directory.js'
import { address, databaseId, failureDomainId, groupId, workspaceId } from '../../../src/types/ids.js'
import { createFakeClock } from '../../support/fake-clock.js'

const database: DirectoryDatabase = { database: databaseId('d'), group: groupId('g'), address: address('d:1'), failureDomain: failureDomainId('f'), weight: 1 }
const [firstWorkspace, secondWorkspace] = [workspaceId('v'), workspaceId('w')]

/** Creates a pool with an own limit of 3 of the 32 usable connections, over a fake database that the test can make refuse connections. */
function createPool () {
  const clock = createFakeClock()
  let timers: { at: number, callback: () => void }[] = []
  let refusal: OpenFailure['kind'] | null = null
  let isSurplusClosed = false
  const opened: SessionTarget[] = []
  const closed: SessionTarget[] = []
  let rejectionCount = 0
  const after = (durationMs: number, callback: () => void): () => void => {
    const timer = { at: clock.now() + durationMs, callback }
    timers.push(timer)
    return () => { timers = timers.filter((other) => other !== timer) }
  }

  function session (target: SessionTarget): DatabaseSession {
    let listener = (): void => {}
    return {
      openedAt: null,
      run: async () => err({ kind: 'lost', message: '' }),
      onEnd: (given) => { listener = given },
      close: () => {
        closed.push(target)
        listener()
      }
    }
  }

  const pool = createSessionPool({
    clock,
    health: createDatabaseHealth(clock),
    connectionLimit: () => 34,
    instanceCount: () => 10,
    shouldCloseSurplus: () => isSurplusClosed,
    onRejected: () => { rejectionCount++ },
    after,
    open: async (target) => {
      opened.push(target)
      return refusal === null ? ok(session(target)) : err({ kind: refusal, message: refusal })
    }
  })

  async function settle (): Promise<void> {
    for (let turn = 0; turn < 20; turn++) await new Promise((resolve) => { setImmediate(resolve) })
  }

  async function advance (durationMs: number): Promise<void> {
    await settle()
    for (let passed = 0; passed < durationMs; passed += 5) {
      clock.advance(5)
      const due = timers.filter(({ at }) => at <= clock.now())
      timers = timers.filter((timer) => !due.includes(timer))
      for (const { callback } of due) callback()
      await settle()
    }
  }

  pool.tick(new Map([[database.database, database]]))
  return {
    pool,
    opened,
    closed,
    rejections: () => rejectionCount,
    settle,
    advance,
    refuse: (kind: OpenFailure['kind'] | null) => { refusal = kind },
    closeSurplus: () => { isSurplusClosed = true },
    acquire: (workspace = secondWorkspace) => pool.acquire(database, workspace, 1, 150),
    tick: () => { pool.tick(new Map([[database.database, database]])) }
  }
}

t.test('the pool does not immediately retry a database that has too many connections', async (t) => {
  const { refuse, acquire, advance, opened } = createPool()
  refuse('too-many-connections')
  const waiting = [acquire(), acquire(), acquire()]
  await advance(160)
  for (const acquired of await Promise.all(waiting)) t.equal(acquired._unsafeUnwrapErr(), 'no-connection')
  t.ok(opened.length <= 9, `${opened.length} connection attempts in 150 ms`)
})

t.test('a waiting operation gets a connection as soon as the database accepts one again', async (t) => {
  const { refuse, acquire, advance } = createPool()
  refuse('too-many-connections')
  const waiting = acquire()
  await advance(20)
  refuse(null)
  await advance(80)
  t.ok((await waiting).isOk())
})

t.test('a database that counts dead connections for three seconds gets few attempts, and one soon after it accepts again', async (t) => {
  const { pool, opened, refuse, advance, rejections } = createPool()
  refuse('too-many-connections')
  for (let waiter = 0; waiter < 10; waiter++) pool.acquire(database, firstWorkspace, 1, 10_000)
  await advance(3000)
  const attempts = opened.length
  // One attempt for each longest pause, besides one for each operation before the first refusal and those of the two shorter pauses.
  t.ok(attempts <= 3000 / 200 + 10 + 2, `${attempts} attempts`)
  t.equal(rejections(), attempts, 'each rejection is reported')
  refuse(null)
  await advance(200)
  t.equal(opened.length, attempts + 3, 'within 200 ms the database is tried again, and the other own connections are opened')
})

t.test('a connection serves one workspace only', async (t) => {
  const { pool, acquire, opened } = createPool()
  pool.release((await acquire(firstWorkspace))._unsafeUnwrap())
  await acquire(secondWorkspace)
  t.same(opened.map(({ workspace }) => workspace), ['v', 'w'])
  t.equal(pool.connectionAvailability(database, firstWorkspace), 'idle')
})

t.test('at the limit, an idle connection of another workspace is closed to make room', async (t) => {
  const { pool, acquire, closed, closeSurplus, settle } = createPool()
  closeSurplus()
  const acquiredSessions = [await acquire(firstWorkspace), await acquire(firstWorkspace), await acquire(firstWorkspace)].map((acquired) => acquired._unsafeUnwrap())
  const waiting = acquire(secondWorkspace)
  await settle()
  t.equal(closed.length, 0)
  pool.release(acquiredSessions[0] as (typeof acquiredSessions)[number])
  t.equal((await waiting)._unsafeUnwrap().workspace, 'w')
  t.same(closed.map(({ workspace }) => workspace), ['v'])
})

t.test('idle connections above the own limit are closed while a switchover or failover needs connections', async (t) => {
  const { pool, acquire, closed, closeSurplus, tick } = createPool()
  const held = []
  for (let count = 0; count < 6; count++) held.push((await acquire())._unsafeUnwrap())
  for (const pooled of held) pool.release(pooled)
  tick()
  t.equal(closed.length, 0)
  closeSurplus()
  tick()
  t.equal(closed.length, 3)
})

t.test('idle connections to a database that was found silent are closed, those in use are kept', async (t) => {
  const { pool, acquire, closed } = createPool()
  const held = (await acquire())._unsafeUnwrap()
  pool.release((await acquire())._unsafeUnwrap())
  pool.closeIdle(database.database)
  t.equal(closed.length, 1)
  t.equal(held.ended, false)
})

t.test('all waiting operations are refused when their database is unreachable', async (t) => {
  const { refuse, acquire, settle } = createPool()
  refuse('unreachable')
  const waiting = [acquire(firstWorkspace), acquire(secondWorkspace)]
  await settle()
  for (const acquired of await Promise.all(waiting)) t.equal(acquired._unsafeUnwrapErr(), 'unreachable')
})
