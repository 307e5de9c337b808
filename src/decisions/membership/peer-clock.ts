import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime, milliseconds } from '../../types/clock.js'

/** Assumed bound on how much faster this process's clock runs than the peer's, in milliseconds for each millisecond. */
const MAX_CLOCK_DRIFT = 0.0002

/**
 * Estimate of what the clock of a peer shows. It never runs ahead of that clock, so a time limit that is sent as a time of the peer's
 * clock never ends later for the peer than for the sender, however long the message takes or the peer is paused.
 */
export interface PeerClock {
  /** Records a reading of the peer's clock that a message from the peer carried. */
  record: (reading: Milliseconds) => void
  /** @returns a time that the peer's clock reaches within `durationMs` milliseconds from now; null before the first reading */
  timeAfter: (durationMs: number) => Milliseconds | null
}

/**
 * Creates the estimate, without a reading.
 * @param clock - a clock without forward steps. One that omits the time in which the process is suspended only makes the estimate earlier.
 */
export function createPeerClock (clock: Clock): PeerClock {
  /** Greatest known difference between the peer's clock and the own one. A reading is as old as its message, so each one shows less than the difference. */
  let offset: { value: number, at: Milliseconds } | null = null

  function readOffset (): number {
    return offset === null ? -Infinity : offset.value - (clock.now() - offset.at) * MAX_CLOCK_DRIFT
  }

  return {
    record: (reading) => {
      const now = clock.now()
      offset = { value: Math.max(readOffset(), reading - now), at: now }
    },
    timeAfter: (durationMs) => offset === null ? null : milliseconds(Math.floor(addTime(clock.now(), durationMs) + readOffset()))
  }
}
