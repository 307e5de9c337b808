import type { ConnectionMode } from '../../types/executor-message.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { ConnectionTarget } from '../connections/pooled-connection.js'
import type { ExecutorParts } from './executor-parts.js'
import type { Placer } from './placement.js'

/** Tells the connection pool what to hold for each database. */
export interface ConnectionTargets {
  current: () => ConnectionTarget[]
}

/** Connections opened ahead of demand, per mode in use: opening one takes about 10 ms. */
const SPARE_CONNECTIONS = 1

export function createConnectionTargets (parts: ExecutorParts, placer: Placer): ConnectionTargets {
  const { view, slots } = parts

  function isModeUsed (database: DatabaseId, mode: ConnectionMode): boolean {
    return mode === 'read' || view.writePrimary()?.database === database
  }

  function missing (database: DatabaseId, mode: ConnectionMode): number {
    return Math.min(placer.missing(database, mode), slots.free(database))
  }

  // More connections than free slots can't be used.
  function wanted (database: DatabaseId, mode: ConnectionMode): number {
    const spare = isModeUsed(database, mode) ? SPARE_CONNECTIONS : 0
    return Math.min(missing(database, mode) + spare, slots.free(database))
  }

  function targetOf (entry: DirectoryDatabase): ConnectionTarget {
    const { database, address } = entry
    return {
      database,
      address,
      incarnation: view.observed(database)?.status.incarnation ?? null,
      limit: view.connections(database),
      wanted: { read: wanted(database, 'read'), write: wanted(database, 'write') },
      missing: { read: missing(database, 'read'), write: missing(database, 'write') }
    }
  }

  // A database without weight gets no new work, and one that was never observed can't be judged.
  function isTarget (entry: DirectoryDatabase): boolean {
    return entry.weight > 0 && view.observed(entry.database) !== null
  }

  return {
    current: () => view.databases().filter(isTarget).map(targetOf)
  }
}
