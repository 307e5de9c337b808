import type { DatabaseId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'

/** Counts the operations that run at each database against the slots leased there. */
export interface SlotAccounting {
  take: (database: DatabaseId) => void
  giveBack: (database: DatabaseId) => void
  running: (database: DatabaseId) => number
  /** @returns slots free for queued requests */
  free: (database: DatabaseId) => number
  /**
   * @returns whether an operation of an open transaction may run.
   * Open transactions keep one slot while the lease is valid, even if the share is reduced to nothing: a former holder
   * finishes its transactions, and the reduction is acknowledged only when `used` fits into it.
   */
  isFreeForTransaction: (database: DatabaseId) => boolean
  /** @returns slots in use, including the one that open transactions keep */
  used: (database: DatabaseId) => number
}

/** @param transactionsAt - number of open transactions at a database */
export function createSlotAccounting (view: GroupView, transactionsAt: (database: DatabaseId) => number): SlotAccounting {
  const counts = new Map<DatabaseId, number>()
  const running = (database: DatabaseId): number => counts.get(database) ?? 0
  const keptForTransactions = (database: DatabaseId): number => view.hasSlotShare(database) ? 1 : 0

  function giveBack (database: DatabaseId): void {
    const left = running(database) - 1
    if (left > 0) counts.set(database, left)
    else counts.delete(database)
  }

  return {
    take: (database) => { counts.set(database, running(database) + 1) },
    giveBack,
    running,
    free: (database) => Math.max(0, view.slots(database) - running(database)),
    isFreeForTransaction: (database) => running(database) < Math.max(view.slots(database), keptForTransactions(database)),
    used: (database) => Math.max(running(database), transactionsAt(database) > 0 ? 1 : 0)
  }
}
