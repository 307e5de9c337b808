import { ok } from 'neverthrow'
import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { DirectoryDatabase, DirectoryInstance } from '../../types/directory.js'
import type { DatabaseId, InstanceId, WorkspaceId } from '../../types/ids.js'
import type { BorrowedSession, PeerCalls } from './borrowed-session.js'
import { createBorrowedSession } from './borrowed-session.js'
import { selectLendingHolders, selectSlotLenders, rankHolders } from './connection-holders.js'
import type { DatabaseHealth } from './database-health.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionPool } from './session-pool.js'

export interface ConnectionPlacementOptions {
  blackboard: Blackboard
  /** @returns number of connections that the database accepts from all instances together */
  connectionLimit: (database: DirectoryDatabase) => number
  /** Whether only as many holders lend the connections of a database as it has slots. Default: all lend. */
  hasSlotLenders?: boolean
}

/** The connection holders of each database, according to the directory and the manifest in force. */
export interface ConnectionPlacement {
  /** @returns the connection holders in the order in which they get loan requests for the workspace; null when every instance holds its own connections */
  holders: (database: DirectoryDatabase, workspace: WorkspaceId) => readonly DirectoryInstance[] | null
  /** @returns number of instances that share the connections of the database */
  count: (database: DirectoryDatabase) => number
  /** @returns whether the connections of any database are lent */
  isLending: () => boolean
  /** @returns number of statements that the database runs at a time, as far as an announcement said; null when none did */
  slots: (database: DirectoryDatabase) => number | null
}

/** Creates the placement. It is recomputed after each change of the directory or manifest. */
export function createConnectionPlacement ({ blackboard, connectionLimit, hasSlotLenders = false }: ConnectionPlacementOptions): ConnectionPlacement {
  const directory = blackboard.reader(directoryEntry)
  const manifest = blackboard.reader(manifestEntry)
  const holdersByDatabase = new Map<DatabaseId, DirectoryInstance[] | null>()
  const lendersByDatabase = new Map<DatabaseId, DirectoryInstance[]>()
  const rankedHolders = new Map<string, readonly DirectoryInstance[]>()
  /** Slots of each database by the last announcement that gave them. A new leader publishes none before the database announces itself again. */
  let knownSlots = new Map<DatabaseId, number>()

  function recordSlots (): void {
    const databases = directory.read()?.databases ?? []
    knownSlots = new Map(databases.flatMap(({ database, slots = knownSlots.get(database) }) => slots === undefined ? [] : [[database, slots] as const]))
  }

  const slots = ({ database }: DirectoryDatabase): number | null => knownSlots.get(database) ?? null

  function clearCaches (): void {
    holdersByDatabase.clear()
    lendersByDatabase.clear()
    rankedHolders.clear()
  }

  function findHolders (database: DirectoryDatabase): DirectoryInstance[] | null {
    const cached = holdersByDatabase.get(database.database)
    if (cached !== undefined) return cached
    const holders = selectLendingHolders({
      database,
      instances: directory.read()?.instances ?? [],
      connectionLimit: connectionLimit(database),
      workspaceCount: manifest.read()?.manifest.workspaces.length ?? 0
    })
    holdersByDatabase.set(database.database, holders)
    return holders
  }

  /** @param all - connection holders of the database */
  function findLenders (database: DirectoryDatabase, all: DirectoryInstance[]): DirectoryInstance[] {
    const slotCount = hasSlotLenders ? slots(database) : null
    if (slotCount === null) return all
    const cached = lendersByDatabase.get(database.database)
    if (cached !== undefined) return cached
    const lenders = selectSlotLenders(all, database, slotCount)
    lendersByDatabase.set(database.database, lenders)
    return lenders
  }

  /** The other connection holders follow the lenders, for a borrower that can reach none of these. */
  function rankForWorkspace (database: DirectoryDatabase, all: DirectoryInstance[], workspace: WorkspaceId): DirectoryInstance[] {
    const lenders = findLenders(database, all)
    const ranked = rankHolders(lenders, database, workspace)
    return lenders === all ? ranked : [...ranked, ...rankHolders(all.filter((holder) => !lenders.includes(holder)), database, workspace)]
  }

  function holders (database: DirectoryDatabase, workspace: WorkspaceId): readonly DirectoryInstance[] | null {
    const all = findHolders(database)
    if (all === null) return null
    const key = `${database.database} ${workspace}`
    const cached = rankedHolders.get(key)
    if (cached !== undefined) return cached
    const ranking = rankForWorkspace(database, all, workspace)
    rankedHolders.set(key, ranking)
    return ranking
  }

  function count (database: DirectoryDatabase): number {
    const all = findHolders(database)
    return (all === null ? directory.read()?.instances : findLenders(database, all))?.length ?? 1
  }

  directory.onWrite(() => {
    recordSlots()
    clearCaches()
  })
  manifest.onWrite(clearCaches)
  recordSlots()
  return { holders, count, slots, isLending: () => directory.read()?.databases.some((database) => findHolders(database) !== null) === true }
}

export interface SharedPoolOptions {
  instance: InstanceId
  /** Pool of the connections that this instance holds. */
  own: SessionPool
  placement: ConnectionPlacement
  calls: PeerCalls
  health: DatabaseHealth
}

/**
 * Creates a pool that borrows connections from the connection holders of a database. It uses connections of this instance when every
 * instance holds its own, when this instance comes first in the order for the workspace, or when no other holder accepts requests.
 */
export function createSharedPool ({ instance, own, placement, calls, health }: SharedPoolOptions): SessionPool {
  const borrowedSessions = new WeakMap<PooledSession, BorrowedSession>()
  let lastLoanNumber = 0

  /** @returns the other connection holders that accept requests, in order; null when this instance uses its own connection */
  function selectLenders (database: DirectoryDatabase, workspace: WorkspaceId): DirectoryInstance[] | null {
    const holders = placement.holders(database, workspace)
    if (holders === null) return null
    const usable = holders.filter((holder) => holder.instance === instance || calls.canRequest(holder.instance))
    return usable[0]?.instance === instance ? null : usable.filter((holder) => holder.instance !== instance)
  }

  function borrow (database: DirectoryDatabase, workspace: WorkspaceId, priority: number, waitMs: number): BorrowedSession {
    const session = createBorrowedSession({
      calls,
      loan: ++lastLoanNumber,
      terms: { database: database.database, workspace, priority, waitMs },
      holders: () => selectLenders(database, workspace) ?? [],
      onUnreachable: () => { health.recordConnectionFailure(database.database) },
      onQueue: (queue) => { health.recordQueue(database.database, priority, queue) }
    })
    borrowedSessions.set(session, session)
    return session
  }

  return {
    connectionAvailability: (database, workspace) => {
      const lenders = selectLenders(database, workspace)
      if (lenders === null) return own.connectionAvailability(database, workspace)
      // The state of the lenders' pools is not known here, so their connections count as idle.
      return lenders.length > 0 ? 'idle' : 'full'
    },
    acquire: async (database, workspace, priority, limitMs) => {
      const lenders = selectLenders(database, workspace)
      if (lenders === null || lenders.length === 0) return await own.acquire(database, workspace, priority, limitMs)
      return ok(borrow(database, workspace, priority, limitMs))
    },
    release: (pooled) => {
      const session = borrowedSessions.get(pooled)
      if (session === undefined) own.release(pooled)
      else session.endLoan(true)
    },
    discard: (pooled) => {
      const session = borrowedSessions.get(pooled)
      if (session === undefined) own.discard(pooled)
      else session.endLoan(false)
    },
    expectedWaitMs: own.expectedWaitMs,
    slotQueue: own.slotQueue,
    closeIdle: own.closeIdle,
    tick: own.tick,
    counts: own.counts,
    close: own.close
  }
}
