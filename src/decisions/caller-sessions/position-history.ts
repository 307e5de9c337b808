import type { Clock, Milliseconds } from '../../types/clock.js'
import type { LogPosition } from '../../types/log-position.js'
import { compareLogPositions } from '../../types/log-position.js'

/** Shortest time between two kept positions. */
const MIN_SAMPLE_INTERVAL_MS = 40
/** Older positions are of no use to any read: this is twice the greatest usual staleness. */
const RETENTION_MS = 6000

/** A position that the primary confirmed: every commit acknowledged before `confirmedAt` is at or before this position. */
export interface PositionSample {
  position: LogPosition
  /** When the statement was sent whose answer reported the position. */
  confirmedAt: Milliseconds
}

/** Recent log positions that the primary of one group confirmed in its answers. */
export interface PositionHistory {
  /**
   * Adds the position of an answer. Positions of an earlier term, and those too close to the last one, are ignored.
   * @param sentAt - when the statement was sent; the database must have been confirmed as the primary at that time
   * @param groupTerm - term of the group under which the database served. Positions of two such terms are never compared: after a change
   * of the primary, the name of the group may stand for other databases, whose log begins anew.
   */
  add: (position: LogPosition, sentAt: Milliseconds, groupTerm: number) => void
  /** @returns the oldest known position that includes every commit acknowledged before `since`; null when none is known */
  oldestSince: (since: Milliseconds) => PositionSample | null
  /** @returns the oldest known position that was confirmed after `time`; null when none is known */
  oldestAfter: (time: Milliseconds) => PositionSample | null
  /** @returns lower bound in milliseconds of the lag at the time `at` of a database that was at `position` */
  computeLagMs: (position: LogPosition, at: Milliseconds) => number
  /** @returns whether the primary has confirmed nothing of a later term, so that its log still includes a position that was reported under `groupTerm` */
  isCurrent: (position: LogPosition, groupTerm: number) => boolean
}

/**
 * Creates an empty history. It protects reads from stale replicas, also in a network partition: the required position of a read was
 * confirmed by the primary within the allowed staleness.
 */
export function createPositionHistory (clock: Clock): PositionHistory {
  let samples: PositionSample[] = []
  let newestGroupTerm = 0
  let newestLogTerm = 0

  function isCurrent (position: LogPosition, groupTerm: number): boolean {
    return groupTerm === newestGroupTerm ? position.term >= newestLogTerm : groupTerm > newestGroupTerm
  }

  function add (position: LogPosition, sentAt: Milliseconds, groupTerm: number): void {
    if (!isCurrent(position, groupTerm)) return
    if (groupTerm > newestGroupTerm || position.term > newestLogTerm) {
      // A failover may have rolled back positions of an earlier term, so that no database would ever reach them.
      samples = []
      newestGroupTerm = groupTerm
      newestLogTerm = position.term
    }
    const last = samples.at(-1)
    if (last !== undefined && sentAt - last.confirmedAt < MIN_SAMPLE_INTERVAL_MS) return
    samples.push({ position, confirmedAt: sentAt })
    const oldestKept = clock.now() - RETENTION_MS
    while (samples.length > 1 && (samples[0] as PositionSample).confirmedAt < oldestKept) samples.shift()
  }

  return {
    add,
    oldestSince: (since) => samples.find(({ confirmedAt }) => confirmedAt >= since) ?? null,
    oldestAfter: (time) => samples.find(({ confirmedAt }) => confirmedAt > time) ?? null,
    computeLagMs: (position, at) => {
      const next = samples.find((sample) => compareLogPositions(sample.position, position) > 0)
      return next === undefined ? 0 : Math.max(0, at - next.confirmedAt)
    },
    isCurrent
  }
}
