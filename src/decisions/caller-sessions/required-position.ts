import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { GroupId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import { compareLogPositions } from '../../types/log-position.js'
import type { SessionEndpoint } from '../../types/manifest.js'
import type { PositionHistory, PositionSample } from './position-history.js'

/**
 * The last commit of a session. A session keeps no earlier one: at the same group the position includes the earlier commits, and at any
 * other group a position that was confirmed after `acknowledgedAt` does.
 */
export interface SessionCommit {
  /** Group of the database that committed. A change of the manifest can move the endpoint of the session to another one. */
  group: GroupId
  /** Term of the group under which the database served. */
  groupTerm: number
  /** Position in the log of `group`; null when the database reported none. */
  position: LogPosition | null
  /** When the acknowledgement of the database arrived. */
  acknowledgedAt: Milliseconds
}

/** A read to which a position applies. */
export interface PositionedRead {
  arrivedAt: Milliseconds
  /** Last commit of the session that reads; null before the first. */
  lastCommit: SessionCommit | null
}

/**
 * Finds the position that a read requires of its database. It includes every commit that was acknowledged before the allowed staleness,
 * and for `read-your-writes` also every commit of the session at the group of the endpoint.
 * @param history - positions of the group of the endpoint
 * @returns the position, with the time of the primary's answer that confirmed it; null when none is known that includes these commits
 */
export function findRequiredPosition (history: PositionHistory, endpoint: SessionEndpoint, { arrivedAt, lastCommit }: PositionedRead): PositionSample | null {
  const sample = history.oldestSince(addTime(arrivedAt, -endpoint.maxStalenessMs))
  if (sample === null || endpoint.consistency !== 'read-your-writes' || lastCommit === null) return sample
  const { group, groupTerm, position, acknowledgedAt } = lastCommit
  if (sample.confirmedAt > acknowledgedAt) return sample
  // Replicas would never reach the position of a commit that a failover has rolled back.
  const isUsable = group === endpoint.group && position !== null && history.isCurrent(position, groupTerm)
  if (!isUsable) return history.oldestAfter(acknowledgedAt)
  return compareLogPositions(position, sample.position) > 0 ? { ...sample, position } : sample
}
