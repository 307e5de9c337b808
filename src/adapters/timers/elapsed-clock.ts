import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'

/**
 * Creates a clock for the age of what this process holds. It counts the time in which the machine was suspended, which the monotonic
 * clock leaves out; a step of the time of day ahead makes things look older than they are, which is safe for a holder.
 * It must not be used to decide that something granted to another process has run out.
 * @param monotonicNow - monotonic time in milliseconds
 * @param wallNow - time of day in milliseconds
 */
export function createElapsedClock (monotonicNow: () => number = () => performance.now(), wallNow: () => number = () => Date.now()): Clock {
  let monotonicAt = monotonicNow()
  let wallAt = wallNow()
  let elapsed = monotonicAt

  function now (): Milliseconds {
    const monotonic = monotonicNow()
    const wall = wallNow()
    const monotonicStep = monotonic - monotonicAt
    const wallStep = wall - wallAt
    // Below a millisecond the two clocks differ by their resolution only.
    elapsed += wallStep > monotonicStep + 1 ? wallStep : monotonicStep
    monotonicAt = monotonic
    wallAt = wall
    return milliseconds(elapsed)
  }

  return { now }
}
