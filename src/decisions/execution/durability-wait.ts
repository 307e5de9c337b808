import type { Clock } from '../../types/clock.js'
import type { DatabaseId, IncarnationId } from '../../types/ids.js'
import { isAtOrPast, type LogPosition } from '../../types/log-position.js'
import type { Outcome, Success } from '../../types/outcome.js'
import { groupMajority } from '../../utils/group-majority.js'
import type { GroupView } from './group-view.js'
import { buildNotDurableRefusal } from './operation-outcome.js'
import type { RequestRecord } from './request-table.js'

/** A write that the primary has committed and the executor has not acknowledged yet. */
export interface PendingWrite {
  record: RequestRecord
  /** Term of the group when the executor sent the write. */
  term: number
  /** Position of the write in the log of the primary. */
  position: LogPosition
  primary: DatabaseId
  /** Incarnation of the primary that answered. */
  incarnation: IncarnationId
  success: Success
}

/** Delays the acknowledgement of each write until a majority of the group's databases holds it. */
export interface DurabilityWait {
  add: (write: PendingWrite) => void
  /** Removes a write without an answer. */
  cancel: (record: RequestRecord) => void
  /** Answers durable writes with their success, and writes that can no longer be acknowledged with `notDurable`. */
  check: () => void
  /** @returns the number of writes that wait */
  size: () => number
}

export interface DurabilityWaitOptions {
  clock: Clock
  view: GroupView
  /** Answers the request of a write. */
  end: (record: RequestRecord, outcome: Outcome) => void
}

export function createDurabilityWait ({ clock, view, end }: DurabilityWaitOptions): DurabilityWait {
  const pending = new Map<RequestRecord, PendingWrite>()

  function isHeldBy (database: DatabaseId, write: PendingWrite): boolean {
    const status = view.observed(database)?.status
    if (status === undefined || status.term !== write.term || status.fencedTerm > write.term) return false
    return isAtOrPast(status.position, write.position)
  }

  function isHeldByMajority (write: PendingWrite): boolean {
    const databases = view.databases()
    const holding = databases.filter(({ database }) => isHeldBy(database, write))
    return holding.length >= groupMajority(databases.length)
  }

  /** @returns why the write can no longer be acknowledged, or null */
  function findFailure (write: PendingWrite): string | null {
    const group = view.group()
    if (group?.term !== write.term || group.phase === 'electing') return `term ${write.term} ended before a majority confirmed the write`
    // A restarted primary may have lost the write and used its position for another one.
    if (view.observed(write.primary)?.status.incarnation !== write.incarnation) return 'the primary restarted before a majority confirmed the write'
    if (clock.now() >= write.record.deadline) return 'a majority did not confirm the write before the deadline'
    return null
  }

  function check (): void {
    for (const write of [...pending.values()]) {
      const failure = findFailure(write)
      // Without a valid freshness lease the group may have a later term already that this instance does not know.
      // The write then waits until the lease is renewed or the deadline passes.
      if (failure === null && !(view.isFresh() && isHeldByMajority(write))) continue
      pending.delete(write.record)
      end(write.record, failure === null ? write.success : buildNotDurableRefusal(failure))
    }
  }

  function add (write: PendingWrite): void {
    write.record.stage = 'awaiting-majority'
    pending.set(write.record, write)
  }

  return { add, cancel: (record) => { pending.delete(record) }, check, size: () => pending.size }
}
