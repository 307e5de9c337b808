import type { ConnectionMode } from '../../types/executor-message.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { ConnectionTarget } from '../connections/pooled-connection.js'
import type { ExecutorParts } from './executor-parts.js'
import type { Placer } from './placement.js'

/** Tells the connection pool what to hold for each database. */
export interface ConnectionTargets {
  list: () => ConnectionTarget[]
}

/** Connections opened ahead of demand, per mode in use: opening one takes about 10 ms. */
const SPARE_CONNECTIONS = 1

export function createConnectionTargets (parts: ExecutorParts, placer: Placer): ConnectionTargets {
  const { view, slots } = parts

  function isModeUsed (database: DatabaseId, mode: ConnectionMode): boolean {
    return mode === 'read' || view.findWritePrimary()?.database === database
  }

  function countMissing (database: DatabaseId, mode: ConnectionMode): number {
    return Math.min(placer.countMissing(database, mode), slots.countFree(database))
  }

  // More connections than free slots can't be used.
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

  // A database without weight gets no new work, and one that was never observed can't be judged.
  function canReceiveWork (entry: DirectoryDatabase): boolean {
    return entry.weight > 0 && view.observed(entry.database) !== null
  }

  return {
    list: () => view.databases().filter(canReceiveWork).map(buildTarget)
  }
}
