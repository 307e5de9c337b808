import { ok } from 'neverthrow'
import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { DirectoryDatabase, DirectoryInstance } from '../../types/directory.js'
import type { DatabaseId, InstanceId, WorkspaceId } from '../../types/ids.js'
import type { BorrowedSession, PeerCalls } from './borrowed-session.js'
import { createBorrowedSession } from './borrowed-session.js'
import { connectionHolders, rankHolders } from './connection-holders.js'
import type { DatabaseHealth } from './database-health.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionPool } from './session-pool.js'

export interface ConnectionPlacementOptions {
  blackboard: Blackboard
  /** @returns connections that each database of a group accepts from all callers together */
  connectionLimit: (database: DirectoryDatabase) => number
}

/** Which instances hold the connections of a database, by the directory and manifest in force. */
export interface ConnectionPlacement {
  /** @returns holders of a workspace's connections in the order in which they are asked; null: every instance holds its own */
  holders: (database: DirectoryDatabase, workspace: WorkspaceId) => readonly DirectoryInstance[] | null
  /** @returns instances that share the connections of the database */
  count: (database: DirectoryDatabase) => number
}

/** Creates the placement; it is computed anew after a change of directory or manifest. */
export function createConnectionPlacement ({ blackboard, connectionLimit }: ConnectionPlacementOptions): ConnectionPlacement {
  const directory = blackboard.reader(directoryEntry)
  const manifest = blackboard.reader(manifestEntry)
  const byDatabase = new Map<DatabaseId, DirectoryInstance[] | null>()
  const ranked = new Map<string, readonly DirectoryInstance[]>()

  function forget (): void {
    byDatabase.clear()
    ranked.clear()
  }

  function holdersOf (database: DirectoryDatabase): DirectoryInstance[] | null {
    const known = byDatabase.get(database.database)
    if (known !== undefined) return known
    const holders = connectionHolders({
      database,
      instances: directory.read()?.instances ?? [],
      connectionLimit: connectionLimit(database),
      workspaceCount: manifest.read()?.manifest.workspaces.length ?? 0
    })
    byDatabase.set(database.database, holders)
    return holders
  }

  function holders (database: DirectoryDatabase, workspace: WorkspaceId): readonly DirectoryInstance[] | null {
    const all = holdersOf(database)
    if (all === null) return null
    const key = `${database.database} ${workspace}`
    const known = ranked.get(key)
    if (known !== undefined) return known
    const order = rankHolders(all, database, workspace)
    ranked.set(key, order)
    return order
  }

  directory.onWrite(forget)
  manifest.onWrite(forget)
  return { holders, count: (database) => (holdersOf(database) ?? directory.read()?.instances)?.length ?? 1 }
}

export interface SharedPoolOptions {
  instance: InstanceId
  /** Connections of this instance. */
  own: SessionPool
  placement: ConnectionPlacement
  calls: PeerCalls
  health: DatabaseHealth
}

/** Creates a pool that takes connections from this instance where it holds them, and borrows from their holders elsewhere. */
export function createSharedPool ({ instance, own, placement, calls, health }: SharedPoolOptions): SessionPool {
  const borrowed = new WeakMap<PooledSession, BorrowedSession>()
  let loanCount = 0

  /** @returns usable holders, or null where this instance takes a connection of its own */
  function lenders (database: DirectoryDatabase, workspace: WorkspaceId): DirectoryInstance[] | null {
    const holders = placement.holders(database, workspace)
    if (holders === null) return null
    const usable = holders.filter((holder) => holder.instance === instance || calls.isUsable(holder.instance))
    return usable[0]?.instance === instance ? null : usable.filter((holder) => holder.instance !== instance)
  }

  function borrow (database: DirectoryDatabase, workspace: WorkspaceId, priority: number, waitMs: number): BorrowedSession {
    const session = createBorrowedSession({
      calls,
      loan: ++loanCount,
      terms: { database: database.database, workspace, priority, waitMs },
      holders: () => lenders(database, workspace) ?? [],
      onUnreachable: () => { health.connectionFailed(database.database) }
    })
    borrowed.set(session, session)
    return session
  }

  return {
    outlook: (database, workspace) => {
      const from = lenders(database, workspace)
      if (from === null) return own.outlook(database, workspace)
      return from.length > 0 ? 'idle' : 'full'
    },
    acquire: async (database, workspace, priority, limitMs) => {
      const from = lenders(database, workspace)
      if (from === null || from.length === 0) return await own.acquire(database, workspace, priority, limitMs)
      return ok(borrow(database, workspace, priority, limitMs))
    },
    release: (pooled) => {
      const loan = borrowed.get(pooled)
      if (loan === undefined) own.release(pooled)
      else loan.giveBack(true)
    },
    discard: (pooled) => {
      const loan = borrowed.get(pooled)
      if (loan === undefined) own.discard(pooled)
      else loan.giveBack(false)
    },
    distrust: own.distrust,
    tick: own.tick,
    counts: own.counts,
    close: own.close
  }
}
