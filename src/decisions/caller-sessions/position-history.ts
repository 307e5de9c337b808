import type { Clock, Milliseconds } from '../../types/clock.js'
import type { LogPosition } from '../../types/log-position.js'
import { compareLogPositions } from '../../types/log-position.js'

/** Positions are kept at most this densely, in milliseconds. */
const SAMPLE_GAP_MS = 40
/** Positions older than this are of no use to any read, in milliseconds: twice the greatest staleness that is usual. */
const KEPT_MS = 6000

/** A position of the leading primary: every commit acknowledged before `provenAt` is at or before it. */
export interface PositionSample {
  position: LogPosition
  /** When the statement was sent whose answer told the position. */
  provenAt: Milliseconds
}

/** What the answers of one group's primary told of its log. */
export interface PositionHistory {
  /** Takes a position of an answer. @param sentAt - when its statement was sent, while the database was known to lead */
  add: (position: LogPosition, sentAt: Milliseconds) => void
  /** @returns the oldest position that holds every commit acknowledged before `since`, or null when none is known */
  oldestSince: (since: Milliseconds) => PositionSample | null
  /** @returns how long ago at least a database at `position` was as far as the primary, at the time `at`; in milliseconds */
  lagAt: (position: LogPosition, at: Milliseconds) => number
  /** @returns term of the newest position; 0 when none is known */
  term: () => number
}

/** Guards against stale replicas in any partition: what a read demands was learnt from the primary no longer ago than the allowed age. */
export function createPositionHistory (clock: Clock): PositionHistory {
  let samples: PositionSample[] = []
  let newestTerm = 0

  function add (position: LogPosition, sentAt: Milliseconds): void {
    if (position.term < newestTerm) return
    if (position.term > newestTerm) {
      // Positions of an earlier term may have been rolled back and would never be reached.
      samples = []
      newestTerm = position.term
    }
    const last = samples.at(-1)
    if (last !== undefined && sentAt - last.provenAt < SAMPLE_GAP_MS) return
    samples.push({ position, provenAt: sentAt })
    const oldest = clock.now() - KEPT_MS
    while (samples.length > 1 && (samples[0] as PositionSample).provenAt < oldest) samples.shift()
  }

  return {
    add,
    oldestSince: (since) => samples.find(({ provenAt }) => provenAt >= since) ?? null,
    lagAt: (position, at) => {
      const next = samples.find((sample) => compareLogPositions(sample.position, position) > 0)
      return next === undefined ? 0 : Math.max(0, at - next.provenAt)
    },
    term: () => newestTerm
  }
}
