import type { ConnectionMode } from '../../types/executor-message.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { ConnectionTarget } from '../connections/pooled-connection.js'
import type { ExecutorParts } from './executor-parts.js'
import type { RequestPlacer } from './placement.js'

/** Computes which connections the pool should hold. */
export interface ConnectionTargets {
  /** @returns one target for each database that can receive work */
  list: () => ConnectionTarget[]
}

/** Idle connections kept ahead of demand for each mode in use, because opening a connection takes about 10 ms. */
const SPARE_CONNECTIONS = 1

/**
 * Creates the computation of the connections that the pool of a group should hold to each database, for reads and for writes.
 * It counts the requests that found a free slot but no idle connection, and adds spare connections up to the number of free slots.
 */
export function createConnectionTargets (parts: ExecutorParts, placer: RequestPlacer): ConnectionTargets {
  const { view, slots } = parts

  function isModeUsed (database: DatabaseId, mode: ConnectionMode): boolean {
    return mode === 'read' || view.findWritePrimary()?.database === database
  }

  function countMissing (database: DatabaseId, mode: ConnectionMode): number {
    return Math.min(placer.countMissing(database, mode), slots.countFree(database))
  }

  // Each operation needs a free slot, so connections beyond the number of free slots would stay idle.
  function countWanted (database: DatabaseId, mode: ConnectionMode): number {
    const spare = isModeUsed(database, mode) ? SPARE_CONNECTIONS : 0
    return Math.min(countMissing(database, mode) + spare, slots.countFree(database))
  }

  function buildTarget (entry: DirectoryDatabase): ConnectionTarget {
    const { database, address } = entry
    return {
      database,
      address,
      incarnation: view.observed(database)?.status.incarnation ?? null,
      limit: view.connections(database),
      wanted: { read: countWanted(database, 'read'), write: countWanted(database, 'write') },
      missing: { read: countMissing(database, 'read'), write: countMissing(database, 'write') }
    }
  }

  // Weight 0 means that a database receives no new work. Without a status, the incarnation to connect to is unknown.
  function canReceiveWork (entry: DirectoryDatabase): boolean {
    return entry.weight > 0 && view.observed(entry.database) !== null
  }

  return {
    list: () => view.databases().filter(canReceiveWork).map(buildTarget)
  }
}
