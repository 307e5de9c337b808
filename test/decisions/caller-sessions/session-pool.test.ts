import { err, ok } from 'neverthrow'
import t from 'tap'
import { createDatabaseHealth } from '../../../src/decisions/caller-sessions/database-health.js'
import { createSessionPool } from '../../../src/decisions/caller-sessions/session-pool.js'
import type { DatabaseSession, OpenFailure, SessionTarget } from '../../../src/types/database-session.js'
import type { DirectoryDatabase } from '../../../src/types/directory.js'
import { address, databaseId, failureDomainId, groupId, workspaceId } from '../../../src/types/ids.js'
import { createFakeClock } from '../../support/fake-clock.js'

const database: DirectoryDatabase = { database: databaseId('d'), group: groupId('g'), address: address('d:1'), failureDomain: failureDomainId('f'), weight: 1 }
const [v, w] = [workspaceId('v'), workspaceId('w')]

/** A pool with 3 own of 32 usable connections, over a database that the test lets refuse. */
function createPool () {
  const clock = createFakeClock()
  let timers: { at: number, callback: () => void }[] = []
  let refusal: OpenFailure['kind'] | null = null
  let spares = false
  const opened: SessionTarget[] = []
  const closed: SessionTarget[] = []
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
    mustSpare: () => spares,
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
    settle,
    advance,
    refuse: (kind: OpenFailure['kind'] | null) => { refusal = kind },
    spare: () => { spares = true },
    acquire: (workspace = w) => pool.acquire(database, workspace, 1, 150),
    tick: () => { pool.tick(new Map([[database.database, database]])) }
  }
}

t.test('a database that has too many connections is not asked again at once', async (t) => {
  const { refuse, acquire, advance, opened } = createPool()
  refuse('too-many-connections')
  const waiting = [acquire(), acquire(), acquire()]
  await advance(160)
  for (const acquired of await Promise.all(waiting)) t.equal(acquired._unsafeUnwrapErr(), 'no-connection')
  t.ok(opened.length <= 9, `${opened.length} connections were tried in 150 ms`)
})

t.test('an operation that waits gets a connection as soon as the database takes one again', async (t) => {
  const { refuse, acquire, advance } = createPool()
  refuse('too-many-connections')
  const waiting = acquire()
  await advance(20)
  refuse(null)
  await advance(80)
  t.ok((await waiting).isOk())
})

t.test('a connection serves one workspace only', async (t) => {
  const { pool, acquire, opened } = createPool()
  pool.release((await acquire(v))._unsafeUnwrap())
  await acquire(w)
  t.same(opened.map(({ workspace }) => workspace), ['v', 'w'])
  t.equal(pool.connectionAvailability(database, v), 'idle')
})

t.test('at the limit a connection of another workspace that is not in use makes room', async (t) => {
  const { pool, acquire, closed, spare, settle } = createPool()
  spare()
  const held = [await acquire(v), await acquire(v), await acquire(v)].map((acquired) => acquired._unsafeUnwrap())
  const waiting = acquire(w)
  await settle()
  t.equal(closed.length, 0)
  pool.release(held[0] as (typeof held)[number])
  t.equal((await waiting)._unsafeUnwrap().workspace, 'w')
  t.same(closed.map(({ workspace }) => workspace), ['v'])
})

t.test('while the system needs connections itself, those above the own part are given up', async (t) => {
  const { pool, acquire, closed, spare, tick } = createPool()
  const held = []
  for (let count = 0; count < 6; count++) held.push((await acquire())._unsafeUnwrap())
  for (const pooled of held) pool.release(pooled)
  tick()
  t.equal(closed.length, 0)
  spare()
  tick()
  t.equal(closed.length, 3)
})

t.test('idle connections of a database that proved silent are ended', async (t) => {
  const { pool, acquire, closed } = createPool()
  const held = (await acquire())._unsafeUnwrap()
  pool.release((await acquire())._unsafeUnwrap())
  pool.closeIdle(database.database)
  t.equal(closed.length, 1)
  t.equal(held.ended, false)
})

t.test('a database that can not be reached refuses everybody that waits for it', async (t) => {
  const { refuse, acquire, settle } = createPool()
  refuse('unreachable')
  const waiting = [acquire(v), acquire(w)]
  await settle()
  for (const acquired of await Promise.all(waiting)) t.equal(acquired._unsafeUnwrapErr(), 'unreachable')
})
