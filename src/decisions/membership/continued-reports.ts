import type { Clock, Milliseconds } from '../../types/clock.js'
import type { Announcement, DatabaseIncarnation } from '../../types/database-status.js'
import type { Address, DatabaseId } from '../../types/ids.js'

/** Time between two announcements of a database in milliseconds, where the settings name none. */
export const DEFAULT_ANNOUNCEMENT_INTERVAL_MS = 1000
/** Announcement intervals after its last announcement for which a database counts as running. */
export const RUNNING_INTERVALS = 3
/** Intervals over which the announcements of an incarnation must extend. A pause of this length begins the count anew. */
const CONTINUED_INTERVALS = 3
/** Announcements that must be counted over that time. */
const MIN_CONTINUED_REPORTS = 4
/** An announcement counts if it arrives this part of an interval after the last counted one. Late announcements often arrive together. */
const MIN_SPACING_INTERVALS = 0.5
/** Incarnations that are followed at most; several times the databases of the largest deployment. */
const MAX_FOLLOWED = 8192

export interface ContinuedReportsOptions {
  clock: Clock
  /** Time between two announcements of a database, in milliseconds. */
  announcementIntervalMs: number
}

/** Announcements that contradict what is known, counted until they show that their sender is running. */
export interface ContinuedReports {
  /**
   * Counts an announcement.
   * @returns whether its incarnation has gone on announcing itself, each time with a higher sequence
   */
  record: (announcement: Announcement, run: DatabaseIncarnation) => boolean
  /** Ends all counts. */
  reset: () => void
}

interface FollowedIncarnation {
  startedAt: number
  address: Address
  sequence: number
  count: number
  firstAt: Milliseconds
  lastAt: Milliseconds
}

/** Creates an empty count. */
export function createContinuedReports ({ clock, announcementIntervalMs }: ContinuedReportsOptions): ContinuedReports {
  const followed = new Map<DatabaseId, FollowedIncarnation>()

  function count (known: FollowedIncarnation, sequence: number, now: Milliseconds): FollowedIncarnation {
    if (sequence <= known.sequence) return known
    if (now - known.lastAt < announcementIntervalMs * MIN_SPACING_INTERVALS) return { ...known, sequence }
    return { ...known, sequence, count: known.count + 1, lastAt: now }
  }

  function record ({ database, address }: Announcement, { startedAt, sequence }: DatabaseIncarnation): boolean {
    const now = clock.now()
    const known = followed.get(database)
    const isFollowed = known?.startedAt === startedAt && known.address === address && now - known.lastAt < announcementIntervalMs * CONTINUED_INTERVALS
    const next = isFollowed ? count(known, sequence, now) : { startedAt, address, sequence, count: 1, firstAt: now, lastAt: now }
    followed.delete(database)
    followed.set(database, next)
    const oldest = followed.keys().next().value
    if (followed.size > MAX_FOLLOWED && oldest !== undefined) followed.delete(oldest)
    return next.count >= MIN_CONTINUED_REPORTS && next.lastAt - next.firstAt >= announcementIntervalMs * CONTINUED_INTERVALS
  }

  return { record, reset: () => { followed.clear() } }
}
