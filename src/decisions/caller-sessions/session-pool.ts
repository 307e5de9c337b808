import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { OpenDatabaseSession } from '../../types/database-session.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId, WorkspaceId } from '../../types/ids.js'
import type { DatabaseHealth } from './database-health.js'
import { createOwnSession } from './pooled-session.js'
import type { PooledSession } from './pooled-session.js'
import type { SlotQueueState } from './slot-scheduler.js'

/** An idle connection is closed after this time. The databases close idle connections after a minute. */
const IDLE_CLOSE_MS = 20_000
/** An idle connection above this instance's own limit is closed after this time. */
const SURPLUS_CLOSE_MS = 4000
/** After a database refused a connection because it has too many, this instance opens none above its own limit for this long. */
const FULL_DATABASE_PAUSE_MS = 1000
/**
 * After a database refused a connection, this instance opens none at all for this long, and then a single one. The pause doubles with each
 * further refusal: a database counts the connections of a crashed instance for seconds.
 */
const REFUSED_OPEN_PAUSE_MS = 50
const MAX_REFUSED_OPEN_PAUSE_MS = 200
/** Time-out for opening a connection: many round trips, and the time that a busy database takes. */
const OPEN_TIMEOUT_MS = 900
/** Connections per database that are reserved for status polls: one for the current control leader and one for its successor. */
const RESERVED_STATUS_CONNECTIONS = 2

/** A statement or transaction that waits for a connection. */
interface Waiter {
  workspace: WorkspaceId
  priority: number
  resolve: (result: Result<PooledSession, PoolRefusal>) => void
}

/** Connections of this instance to one database. */
interface DatabaseConnections {
  address: string
  all: Set<PooledSession>
  /** Idle connections by the time of their release, oldest first. */
  idle: Map<PooledSession, Milliseconds>
  /** Number of connections being opened for each workspace. */
  opening: Map<WorkspaceId, number>
  openingCount: number
  waiters: Waiter[]
  /** No connection above the own limit is opened before this time. */
  fullUntil: number
  /** No connection is opened before this time. */
  pausedUntil: number
  /** Pauses in a row that each followed a refusal. */
  consecutivePauses: number
}

/**
 * Why no connection was acquired.
 * - `no-connection`: none became free in time
 * - `unreachable`: a connection could not be opened
 * - `overloaded`: no slot of the database is expected to become free in time, or none became free
 */
export type PoolRefusal = 'no-connection' | 'unreachable' | 'overloaded'

export interface SessionPoolOptions {
  clock: Clock
  health: DatabaseHealth
  open: OpenDatabaseSession
  /** @returns number of connections that the database accepts from all instances together */
  connectionLimit: (database: DirectoryDatabase) => number
  /** @returns whether connections above the own limit must be closed, because a switchover or failover needs connections of the database */
  shouldCloseSurplus: (database: DirectoryDatabase) => boolean
  /** Called when the database refused a connection because it has too many; gives the number that this instance holds. Default: ignored. */
  onRejected?: (database: DatabaseId, ownConnections: number) => void
  /** @returns number of instances that share the connections of the database */
  instanceCount: (database: DirectoryDatabase) => number
  /** Calls back after a time in milliseconds. @returns a function that cancels the call */
  after: (durationMs: number, callback: () => void) => () => void
}

/** Pool of connections to databases. Each connection is opened for one workspace and serves only this workspace. */
export interface SessionPool {
  /** @returns whether a connection for the workspace is idle, could be opened, or neither */
  connectionAvailability: (database: DirectoryDatabase, workspace: WorkspaceId) => 'idle' | 'openable' | 'full'
  /** Acquires a connection for the workspace. Waits up to `limitMs` milliseconds for one; waiters with a lower `priority` number are served first. */
  acquire: (database: DirectoryDatabase, workspace: WorkspaceId, priority: number, limitMs: number) => Promise<Result<PooledSession, PoolRefusal>>
  /** @see SlotScheduler.expectedWaitMs; 0 where statements are not ordered by slots, or only at another instance */
  expectedWaitMs: (database: DatabaseId, workspace: WorkspaceId | null, priority: number) => number
  /** @returns the queue for the slots of a database at this instance; null where there is none */
  slotQueue: (database: DatabaseId) => SlotQueueState | null
  /** Puts a connection that is outside of any transaction back into the pool. */
  release: (pooled: PooledSession) => void
  /** Closes a connection that can't be used again. */
  discard: (pooled: PooledSession) => void
  /** Closes all idle connections to a database after one connection to it was found silent. */
  closeIdle: (database: DatabaseId) => void
  /**
   * Closes connections that have been idle for too long, earlier where this instance is above its own limit. Also closes all idle
   * connections to databases that are not listed, get no new work or have a new address, and refuses the requests that wait for them.
   */
  tick: (listed: ReadonlyMap<DatabaseId, DirectoryDatabase>) => void
  /** @returns numbers of open connections, of idle ones among them, and of waiting requests */
  counts: () => { open: number, idle: number, waiting: number }
  /** Closes all connections and refuses all waiting requests. */
  close: () => void
}

/** Creates a pool without connections. */
export function createSessionPool (options: SessionPoolOptions): SessionPool {
  const { clock, health, after } = options
  const pools = new Map<DatabaseId, DatabaseConnections>()

  function findOrCreatePool (database: DirectoryDatabase): DatabaseConnections {
    const known = pools.get(database.database)
    if (known !== undefined && known.address === database.address) return known
    if (known !== undefined) closeIdleAndRefuseWaiters(known)
    const pool: DatabaseConnections = { address: database.address, all: new Set(), idle: new Map(), opening: new Map(), openingCount: 0, waiters: [], fullUntil: 0, pausedUntil: 0, consecutivePauses: 0 }
    pools.set(database.database, pool)
    return pool
  }

  /** @returns connections that this instance may always open. It may also open connections that other instances leave unused, until the database refuses. */
  function computeOwnLimit (database: DirectoryDatabase): number {
    const limit = options.connectionLimit(database) - RESERVED_STATUS_CONNECTIONS
    return Math.max(1, Math.floor(limit / Math.max(1, options.instanceCount(database))))
  }

  function canOpen (database: DirectoryDatabase, pool: DatabaseConnections): boolean {
    const used = pool.all.size + pool.openingCount
    if (used < computeOwnLimit(database)) return true
    if (options.shouldCloseSurplus(database)) return false
    return clock.now() >= pool.fullUntil && used < options.connectionLimit(database) - RESERVED_STATUS_CONNECTIONS
  }

  function findIdle (pool: DatabaseConnections, workspace: WorkspaceId): PooledSession | undefined {
    let latest: PooledSession | undefined
    // The most recently released connection is the least likely to be silent, and the others can then be closed as idle.
    for (const pooled of pool.idle.keys()) if (pooled.workspace === workspace) latest = pooled
    return latest
  }

  function connectionAvailability (database: DirectoryDatabase, workspace: WorkspaceId): 'idle' | 'openable' | 'full' {
    const pool = findOrCreatePool(database)
    if (findIdle(pool, workspace) !== undefined) return 'idle'
    // Where the limit is reached, an idle connection of another workspace is closed to make room.
    return pool.idle.size > 0 || canOpen(database, pool) ? 'openable' : 'full'
  }

  async function open (database: DirectoryDatabase, pool: DatabaseConnections, workspace: WorkspaceId): Promise<void> {
    pool.openingCount++
    pool.opening.set(workspace, (pool.opening.get(workspace) ?? 0) + 1)
    const opened = await options.open({ database: database.database, group: database.group, address: database.address, workspace }, OPEN_TIMEOUT_MS)
      .catch((error: unknown) => err({ kind: 'unreachable' as const, message: String(error) }))
    pool.openingCount--
    pool.opening.set(workspace, (pool.opening.get(workspace) ?? 1) - 1)
    if (opened.isErr()) return handleOpenFailure(database, pool, opened.error.kind)
    health.recordConnectionOpened(database.database)
    pool.consecutivePauses = 0
    const pooled = createOwnSession(opened.value, database.database, workspace, clock)
    pool.all.add(pooled)
    opened.value.onEnd(() => {
      pooled.ended = true
      pool.all.delete(pooled)
      pool.idle.delete(pooled)
    })
    // The database has another address since the open began.
    if (pools.get(database.database) !== pool) return pooled.close()
    release(pooled)
    if (pool.waiters.length > 0) openForWaiters(database, pool)
  }

  function handleOpenFailure (database: DirectoryDatabase, pool: DatabaseConnections, kind: string): void {
    if (kind === 'too-many-connections' || kind === 'busy') {
      if (kind === 'too-many-connections') {
        pool.fullUntil = clock.now() + FULL_DATABASE_PAUSE_MS
        options.onRejected?.(database.database, pool.all.size)
      }
      return pauseOpening(database, pool)
    }
    health.recordConnectionFailure(database.database)
    // Refuses all waiting requests: no connection that could serve them is expected.
    for (const waiter of pool.waiters.splice(0)) waiter.resolve(err('unreachable'))
  }

  /** Pauses opening, since a refused connection costs the database and the network as much as an accepted one. */
  function pauseOpening (database: DirectoryDatabase, pool: DatabaseConnections): void {
    // Attempts that were under way together count as one.
    if (clock.now() < pool.pausedUntil) return
    const pauseMs = Math.min(MAX_REFUSED_OPEN_PAUSE_MS, REFUSED_OPEN_PAUSE_MS * 2 ** pool.consecutivePauses++)
    pool.pausedUntil = clock.now() + pauseMs
    after(pauseMs, () => { resumeOpening(database, pool) })
  }

  function resumeOpening (database: DirectoryDatabase, pool: DatabaseConnections): void {
    const remainingMs = pool.pausedUntil - clock.now()
    if (remainingMs > 0) after(remainingMs, () => { resumeOpening(database, pool) })
    else serveWaiters(database, pool)
  }

  function serveWaiters (database: DirectoryDatabase, pool: DatabaseConnections): void {
    for (const waiter of [...pool.waiters]) {
      const idle = findIdle(pool, waiter.workspace)
      if (idle === undefined) continue
      pool.waiters.splice(pool.waiters.indexOf(waiter), 1)
      pool.idle.delete(idle)
      waiter.resolve(ok(idle))
    }
    openForWaiters(database, pool)
  }

  function openForWaiters (database: DirectoryDatabase, pool: DatabaseConnections): void {
    if (clock.now() < pool.pausedUntil) return
    // After a refusal, a single attempt shows whether the database accepts connections again.
    const isTrying = pool.consecutivePauses > 0
    if (isTrying && pool.openingCount > 0) return
    const waitingCounts = new Map<WorkspaceId, number>()
    for (const { workspace } of pool.waiters) waitingCounts.set(workspace, (waitingCounts.get(workspace) ?? 0) + 1)
    for (const [workspace, count] of waitingCounts) {
      for (let missing = count - (pool.opening.get(workspace) ?? 0); missing > 0; missing--) {
        if (!canOpen(database, pool) && !closeOldestIdle(pool)) return
        open(database, pool, workspace).catch(() => { health.recordConnectionFailure(database.database) })
        if (isTrying) return
      }
    }
  }

  /**
   * Closes the connection that has been idle for longest. A waiting request of its workspace would already have received it.
   * @returns whether there was one
   */
  function closeOldestIdle (pool: DatabaseConnections): boolean {
    const oldest = pool.idle.keys().next().value
    if (oldest === undefined) return false
    endConnection(pool, oldest)
    return true
  }

  function endConnection (pool: DatabaseConnections, pooled: PooledSession): void {
    pool.all.delete(pooled)
    pool.idle.delete(pooled)
    pooled.ended = true
    pooled.close()
  }

  async function acquire (database: DirectoryDatabase, workspace: WorkspaceId, priority: number, limitMs: number): Promise<Result<PooledSession, PoolRefusal>> {
    const pool = findOrCreatePool(database)
    const idle = findIdle(pool, workspace)
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
      const insertIndex = pool.waiters.findIndex((other) => other.priority > priority)
      if (insertIndex < 0) pool.waiters.push(waiter)
      else pool.waiters.splice(insertIndex, 0, waiter)
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
    const database = listedDatabases.get(pooled.database)
    if (database !== undefined && pool.all.size > computeOwnLimit(database) && options.shouldCloseSurplus(database)) return endConnection(pool, pooled)
    pool.idle.set(pooled, clock.now())
    if (pool.waiters.length > 0 && database !== undefined) openForWaiters(database, pool)
  }

  function discard (pooled: PooledSession): void {
    const pool = pools.get(pooled.database)
    if (pool === undefined) pooled.close()
    else endConnection(pool, pooled)
    const database = listedDatabases.get(pooled.database)
    if (pool !== undefined && database !== undefined && pool.waiters.length > 0) openForWaiters(database, pool)
  }

  function closeIdle (database: DatabaseId): void {
    const pool = pools.get(database)
    if (pool === undefined) return
    for (const pooled of [...pool.idle.keys()]) endConnection(pool, pooled)
  }

  function closeIdleAndRefuseWaiters (pool: DatabaseConnections): void {
    for (const pooled of [...pool.idle.keys()]) endConnection(pool, pooled)
    for (const waiter of pool.waiters.splice(0)) waiter.resolve(err('unreachable'))
  }

  let listedDatabases: ReadonlyMap<DatabaseId, DirectoryDatabase> = new Map()

  function tick (listed: ReadonlyMap<DatabaseId, DirectoryDatabase>): void {
    listedDatabases = listed
    const now = clock.now()
    for (const [id, pool] of pools) {
      const database = listed.get(id)
      if (database === undefined || database.weight === 0 || database.address !== pool.address) closeIdleAndRefuseWaiters(pool)
      if (database === undefined) {
        if (pool.all.size === 0 && pool.openingCount === 0) pools.delete(id)
        continue
      }
      let surplus = pool.all.size + pool.openingCount - computeOwnLimit(database)
      for (const [pooled, since] of [...pool.idle]) {
        const isOld = now - since >= IDLE_CLOSE_MS
        const isSurplus = surplus > 0 && (now - since >= SURPLUS_CLOSE_MS || options.shouldCloseSurplus(database))
        if (!isOld && !isSurplus) continue
        endConnection(pool, pooled)
        surplus--
      }
    }
  }

  return {
    connectionAvailability,
    acquire,
    expectedWaitMs: () => 0,
    slotQueue: () => null,
    release,
    discard,
    closeIdle,
    tick,
    counts: () => {
      const counts = { open: 0, idle: 0, waiting: 0 }
      for (const pool of pools.values()) {
        counts.open += pool.all.size
        counts.idle += pool.idle.size
        counts.waiting += pool.waiters.length
      }
      return counts
    },
    close: () => {
      for (const pool of pools.values()) {
        closeIdleAndRefuseWaiters(pool)
        for (const pooled of [...pool.all]) endConnection(pool, pooled)
      }
    }
  }
}
