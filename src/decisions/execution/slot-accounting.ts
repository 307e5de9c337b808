import type { DatabaseId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'

/** Counts the operations that run at each database against the slots leased there. */
export interface SlotAccounting {
  occupy: (database: DatabaseId) => void
  release: (database: DatabaseId) => void
  countInFlight: (database: DatabaseId) => number
  /** @returns slots free for queued requests */
  countFree: (database: DatabaseId) => number
  /**
   * @returns whether an operation of an open transaction may run.
   * Open transactions keep one slot while the lease is valid, even if the share is reduced to nothing: a former holder
   * finishes its transactions, and the reduction is acknowledged only when `used` fits into it.
   */
  hasFreeForTransaction: (database: DatabaseId) => boolean
  /** @returns slots in use, including the one that open transactions keep */
  countUsed: (database: DatabaseId) => number
}

/** @param countTransactionsAt - number of open transactions at a database */
export function createSlotAccounting (view: GroupView, countTransactionsAt: (database: DatabaseId) => number): SlotAccounting {
  const counts = new Map<DatabaseId, number>()
  const countInFlight = (database: DatabaseId): number => counts.get(database) ?? 0
  const countReservedForTransactions = (database: DatabaseId): number => view.hasSlotLease(database) ? 1 : 0

  function release (database: DatabaseId): void {
    const remaining = countInFlight(database) - 1
    if (remaining > 0) counts.set(database, remaining)
    else counts.delete(database)
  }

  return {
    occupy: (database) => { counts.set(database, countInFlight(database) + 1) },
    release,
    countInFlight,
    countFree: (database) => Math.max(0, view.slots(database) - countInFlight(database)),
    hasFreeForTransaction: (database) => countInFlight(database) < Math.max(view.slots(database), countReservedForTransactions(database)),
    countUsed: (database) => Math.max(countInFlight(database), countTransactionsAt(database) > 0 ? 1 : 0)
  }
}
