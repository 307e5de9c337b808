import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { OpenDatabaseSession } from '../../types/database-session.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId, WorkspaceId } from '../../types/ids.js'
import type { DatabaseHealth } from './database-health.js'
import { createOwnSession } from './pooled-session.js'
import type { PooledSession } from './pooled-session.js'

/** An idle connection is closed after this time, in milliseconds; the databases close theirs after a minute. */
const IDLE_CLOSE_MS = 20_000
/** An idle connection above this instance's part of the connections is closed after this time, in milliseconds. */
const SURPLUS_CLOSE_MS = 4000
/** After a database refused a connection because it has too many, none above the own part is opened for this long, in milliseconds. */
const CROWDED_MS = 1000
/** After such a refusal no connection at all is tried for this long, in milliseconds: time for another instance to close one. */
const REFUSED_PAUSE_MS = 50
/** Time to open a connection in milliseconds: many round trips, and the time that a busy database takes. */
const OPEN_LIMIT_MS = 900
/** Connections of a database that stay free for the system's own status queries: one for the present leader and one for its successor. */
const SYSTEM_CONNECTIONS = 2

interface Waiter {
  workspace: WorkspaceId
  priority: number
  resolve: (result: Result<PooledSession, PoolRefusal>) => void
}

interface DatabaseConnections {
  address: string
  all: Set<PooledSession>
  idle: Map<PooledSession, Milliseconds>
  opening: Map<WorkspaceId, number>
  openingCount: number
  waiters: Waiter[]
  crowdedUntil: number
  /** Nothing is opened before this time. */
  pausedUntil: number
}

/**
 * - `no-connection`: none became free in time
 * - `unreachable`: none could be opened
 */
export type PoolRefusal = 'no-connection' | 'unreachable'

export interface SessionPoolOptions {
  clock: Clock
  health: DatabaseHealth
  open: OpenDatabaseSession
  /** @returns connections that each database of a group accepts from all callers together */
  connectionLimit: (database: DirectoryDatabase) => number
  /** @returns whether connections above the own part must be given up, as the system itself needs some */
  mustSpare: (database: DirectoryDatabase) => boolean
  /** @returns instances that share the connections of the database */
  instanceCount: (database: DirectoryDatabase) => number
  after: (durationMs: number, callback: () => void) => () => void
}

/** Connections to databases, each opened for one workspace. */
export interface SessionPool {
  /** @returns whether a connection for the workspace is free, could be opened, or neither */
  outlook: (database: DirectoryDatabase, workspace: WorkspaceId) => 'idle' | 'openable' | 'full'
  /** Takes a connection; waits up to `limitMs` for one. Lower priorities go first. */
  acquire: (database: DirectoryDatabase, workspace: WorkspaceId, priority: number, limitMs: number) => Promise<Result<PooledSession, PoolRefusal>>
  /** Gives back a connection that is outside of any transaction. */
  release: (pooled: PooledSession) => void
  discard: (pooled: PooledSession) => void
  /** Ends all idle connections of a database, after one of them proved to be silent. */
  distrust: (database: DatabaseId) => void
  /** Ends connections to databases that are not listed, and idle ones that are too old. */
  tick: (listed: ReadonlyMap<DatabaseId, DirectoryDatabase>) => void
  counts: () => { open: number, idle: number, waiting: number }
  close: () => void
}

/** Creates a pool without connections. */
export function createSessionPool (options: SessionPoolOptions): SessionPool {
  const { clock, health, after } = options
  const pools = new Map<DatabaseId, DatabaseConnections>()

  function poolOf (database: DirectoryDatabase): DatabaseConnections {
    const known = pools.get(database.database)
    if (known !== undefined && known.address === database.address) return known
    if (known !== undefined) drop(known)
    const pool: DatabaseConnections = { address: database.address, all: new Set(), idle: new Map(), opening: new Map(), openingCount: 0, waiters: [], crowdedUntil: 0, pausedUntil: 0 }
    pools.set(database.database, pool)
    return pool
  }

  /** Part of the connections that is this instance's own. What others leave unused may be taken besides, until the database refuses. */
  function ownPart (database: DirectoryDatabase): number {
    const limit = options.connectionLimit(database) - SYSTEM_CONNECTIONS
    return Math.max(1, Math.floor(limit / Math.max(1, options.instanceCount(database))))
  }

  function mayOpen (database: DirectoryDatabase, pool: DatabaseConnections): boolean {
    const used = pool.all.size + pool.openingCount
    if (used < ownPart(database)) return true
    if (options.mustSpare(database)) return false
    return clock.now() >= pool.crowdedUntil && used < options.connectionLimit(database) - SYSTEM_CONNECTIONS
  }

  function idleOf (pool: DatabaseConnections, workspace: WorkspaceId): PooledSession | undefined {
    let latest: PooledSession | undefined
    // The one used last: it is the least likely to have gone silent, and the others may be closed.
    for (const pooled of pool.idle.keys()) if (pooled.workspace === workspace) latest = pooled
    return latest
  }

  function outlook (database: DirectoryDatabase, workspace: WorkspaceId): 'idle' | 'openable' | 'full' {
    const pool = poolOf(database)
    if (idleOf(pool, workspace) !== undefined) return 'idle'
    return pool.idle.size > 0 || mayOpen(database, pool) ? 'openable' : 'full'
  }

  async function open (database: DirectoryDatabase, pool: DatabaseConnections, workspace: WorkspaceId): Promise<void> {
    pool.openingCount++
    pool.opening.set(workspace, (pool.opening.get(workspace) ?? 0) + 1)
    const opened = await options.open({ database: database.database, group: database.group, address: database.address, workspace }, OPEN_LIMIT_MS)
    pool.openingCount--
    pool.opening.set(workspace, (pool.opening.get(workspace) ?? 1) - 1)
    if (opened.isErr()) return openFailed(database, pool, opened.error.kind)
    health.connectionOpened(database.database)
    const pooled = createOwnSession(opened.value, database.database, workspace)
    pool.all.add(pooled)
    opened.value.onEnd(() => {
      pooled.ended = true
      pool.all.delete(pooled)
      pool.idle.delete(pooled)
    })
    if (pools.get(database.database) !== pool) return pooled.close()
    release(pooled)
  }

  function openFailed (database: DirectoryDatabase, pool: DatabaseConnections, kind: string): void {
    if (kind === 'too-many-connections' || kind === 'busy') {
      if (kind === 'too-many-connections') pool.crowdedUntil = clock.now() + CROWDED_MS
      return pause(database, pool)
    }
    health.connectionFailed(database.database)
    // Nothing is under way that could serve those who wait.
    for (const waiter of pool.waiters.splice(0)) waiter.resolve(err('unreachable'))
  }

  /** A refused connection costs the database and the network as much as a taken one. */
  function pause (database: DirectoryDatabase, pool: DatabaseConnections): void {
    const isPaused = clock.now() < pool.pausedUntil
    pool.pausedUntil = clock.now() + REFUSED_PAUSE_MS
    if (!isPaused) after(REFUSED_PAUSE_MS, () => { resume(database, pool) })
  }

  function resume (database: DirectoryDatabase, pool: DatabaseConnections): void {
    const leftMs = pool.pausedUntil - clock.now()
    if (leftMs > 0) after(leftMs, () => { resume(database, pool) })
    else serveWaiters(database, pool)
  }

  function serveWaiters (database: DirectoryDatabase, pool: DatabaseConnections): void {
    for (const waiter of [...pool.waiters]) {
      const idle = idleOf(pool, waiter.workspace)
      if (idle === undefined) continue
      pool.waiters.splice(pool.waiters.indexOf(waiter), 1)
      pool.idle.delete(idle)
      waiter.resolve(ok(idle))
    }
    openForWaiters(database, pool)
  }

  function openForWaiters (database: DirectoryDatabase, pool: DatabaseConnections): void {
    if (clock.now() < pool.pausedUntil) return
    const wanted = new Map<WorkspaceId, number>()
    for (const { workspace } of pool.waiters) wanted.set(workspace, (wanted.get(workspace) ?? 0) + 1)
    for (const [workspace, count] of wanted) {
      for (let missing = count - (pool.opening.get(workspace) ?? 0); missing > 0; missing--) {
        if (!mayOpen(database, pool) && !closeIdle(pool)) return
        open(database, pool, workspace).catch(() => { health.connectionFailed(database.database) })
      }
    }
  }

  /** @returns whether the connection that was idle for longest, of another workspace than those that wait, made room */
  function closeIdle (pool: DatabaseConnections): boolean {
    const oldest = pool.idle.keys().next().value
    if (oldest === undefined) return false
    end(pool, oldest)
    return true
  }

  function end (pool: DatabaseConnections, pooled: PooledSession): void {
    pool.all.delete(pooled)
    pool.idle.delete(pooled)
    pooled.ended = true
    pooled.close()
  }

  async function acquire (database: DirectoryDatabase, workspace: WorkspaceId, priority: number, limitMs: number): Promise<Result<PooledSession, PoolRefusal>> {
    const pool = poolOf(database)
    const idle = idleOf(pool, workspace)
    if (idle !== undefined) {
      pool.idle.delete(idle)
      return ok(idle)
    }
    return await new Promise((resolve) => {
      const waiter: Waiter = { workspace, priority, resolve: () => {} }
      const cancel = after(limitMs, () => {
        pool.waiters = pool.waiters.filter((other) => other !== waiter)
        resolve(err('no-connection'))
      })
      waiter.resolve = (result) => {
        cancel()
        resolve(result)
      }
      const behind = pool.waiters.findIndex((other) => other.priority > priority)
      if (behind < 0) pool.waiters.push(waiter)
      else pool.waiters.splice(behind, 0, waiter)
      openForWaiters(database, pool)
    })
  }

  function release (pooled: PooledSession): void {
    const pool = pools.get(pooled.database)
    if (pooled.ended) return
    if (pool === undefined || !pool.all.has(pooled)) return pooled.close()
    const waiter = pool.waiters.find(({ workspace }) => workspace === pooled.workspace)
    if (waiter !== undefined) {
      pool.waiters.splice(pool.waiters.indexOf(waiter), 1)
      waiter.resolve(ok(pooled))
      return
    }
    pool.idle.delete(pooled)
    const database = lastListed.get(pooled.database)
    if (database !== undefined && pool.all.size > ownPart(database) && options.mustSpare(database)) return end(pool, pooled)
    pool.idle.set(pooled, clock.now())
    if (pool.waiters.length > 0 && database !== undefined) openForWaiters(database, pool)
  }

  function discard (pooled: PooledSession): void {
    const pool = pools.get(pooled.database)
    if (pool === undefined) pooled.close()
    else end(pool, pooled)
    const database = lastListed.get(pooled.database)
    if (pool !== undefined && database !== undefined && pool.waiters.length > 0) openForWaiters(database, pool)
  }

  function distrust (database: DatabaseId): void {
    const pool = pools.get(database)
    if (pool === undefined) return
    for (const pooled of [...pool.idle.keys()]) end(pool, pooled)
  }

  function drop (pool: DatabaseConnections): void {
    for (const pooled of [...pool.idle.keys()]) end(pool, pooled)
    for (const waiter of pool.waiters.splice(0)) waiter.resolve(err('unreachable'))
  }

  let lastListed: ReadonlyMap<DatabaseId, DirectoryDatabase> = new Map()

  function tick (listed: ReadonlyMap<DatabaseId, DirectoryDatabase>): void {
    lastListed = listed
    const now = clock.now()
    for (const [id, pool] of pools) {
      const database = listed.get(id)
      if (database === undefined || database.weight === 0 || database.address !== pool.address) drop(pool)
      if (database === undefined) {
        if (pool.all.size === 0 && pool.openingCount === 0) pools.delete(id)
        continue
      }
      let surplus = pool.all.size + pool.openingCount - ownPart(database)
      for (const [pooled, since] of [...pool.idle]) {
        const isOld = now - since >= IDLE_CLOSE_MS
        const isSurplus = surplus > 0 && (now - since >= SURPLUS_CLOSE_MS || options.mustSpare(database))
        if (!isOld && !isSurplus) continue
        end(pool, pooled)
        surplus--
      }
    }
  }

  return {
    outlook,
    acquire,
    release,
    discard,
    distrust,
    tick,
    counts: () => {
      let open = 0
      let idle = 0
      let waiting = 0
      for (const pool of pools.values()) {
        open += pool.all.size
        idle += pool.idle.size
        waiting += pool.waiters.length
      }
      return { open, idle, waiting }
    },
    close: () => {
      for (const pool of pools.values()) {
        drop(pool)
        for (const pooled of [...pool.all]) end(pool, pooled)
      }
    }
  }
}
