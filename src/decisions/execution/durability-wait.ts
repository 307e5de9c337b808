import type { Clock } from '../../types/clock.js'
import type { DatabaseId, IncarnationId } from '../../types/ids.js'
import { isAtOrPast, type LogPosition } from '../../types/log-position.js'
import type { Outcome, Success } from '../../types/outcome.js'
import { groupMajority } from '../../utils/group-majority.js'
import type { GroupView } from './group-view.js'
import { buildNotDurableRefusal } from './operation-outcome.js'
import type { RequestRecord } from './request-table.js'

/** A write that the primary has committed and that is not acknowledged yet. */
export interface PendingWrite {
  record: RequestRecord
  /** Term under which the write was sent. */
  term: number
  position: LogPosition
  primary: DatabaseId
  /** Incarnation of the primary that answered. */
  incarnation: IncarnationId
  success: Success
}

/** Holds back acknowledgements until a majority of the group holds the write. */
export interface DurabilityWait {
  add: (write: PendingWrite) => void
  /** Drops a write without an answer. */
  cancel: (record: RequestRecord) => void
  /** Answers the writes that are durable, and those that can't be acknowledged any more. */
  check: () => void
  size: () => number
}

export interface DurabilityWaitOptions {
  clock: Clock
  view: GroupView
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

  /** @returns why the write can't be acknowledged any more, or null */
  function findFailure (write: PendingWrite): string | null {
    const group = view.group()
    if (group?.term !== write.term || group.phase === 'electing') return `term ${write.term} ended before a majority confirmed the write`
    // After a restart the primary may have reused the position for another entry.
    if (view.observed(write.primary)?.status.incarnation !== write.incarnation) return 'the primary restarted before a majority confirmed the write'
    if (clock.now() >= write.record.deadline) return 'a majority did not confirm the write before the deadline'
    return null
  }

  function check (): void {
    for (const write of [...pending.values()]) {
      const failure = findFailure(write)
      // Without a valid lease the term may have ended elsewhere, so the write waits for the lease or the deadline.
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
