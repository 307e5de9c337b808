import type { DatabaseId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'

/** Counts the operations that run at each database against the slots leased there. */
export interface SlotAccounting {
  take: (database: DatabaseId) => void
  giveBack: (database: DatabaseId) => void
  running: (database: DatabaseId) => number
  free: (database: DatabaseId) => number
}

export function createSlotAccounting (view: GroupView): SlotAccounting {
  const counts = new Map<DatabaseId, number>()
  const running = (database: DatabaseId): number => counts.get(database) ?? 0

  function giveBack (database: DatabaseId): void {
    const left = running(database) - 1
    if (left > 0) counts.set(database, left)
    else counts.delete(database)
  }

  return {
    take: (database) => { counts.set(database, running(database) + 1) },
    giveBack,
    running,
    free: (database) => Math.max(0, view.slots(database) - running(database))
  }
}
