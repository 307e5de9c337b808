import type { DatabaseId } from '../../types/ids.js'
import type { GroupView } from './group-view.js'

/** Counts operations in flight to each database against this instance's share of its slots. */
export interface SlotAccounting {
  /** Occupies a slot of the database for one operation. */
  occupy: (database: DatabaseId) => void
  /** Frees the slot of one operation that has ended. */
  release: (database: DatabaseId) => void
  /** @returns the number of operations in flight to the database */
  countInFlight: (database: DatabaseId) => number
  /** @returns the number of slots free for queued requests */
  countFree: (database: DatabaseId) => number
  /**
   * @returns whether an operation of an open transaction may run.
   * One slot is reserved for open transactions while the lease is valid, even if the share is reduced to 0, so that a former
   * connection holder can finish its transactions. The instance acknowledges the reduced share only once `countUsed` fits into it.
   */
  hasFreeSlotForTransaction: (database: DatabaseId) => boolean
  /** @returns the number of slots in use; at least 1 while a transaction is open */
  countUsed: (database: DatabaseId) => number
}

/** @param countTransactionsAt - returns the number of open transactions at a database */
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
    hasFreeSlotForTransaction: (database) => countInFlight(database) < Math.max(view.slots(database), countReservedForTransactions(database)),
    countUsed: (database) => Math.max(countInFlight(database), countTransactionsAt(database) > 0 ? 1 : 0)
  }
}
