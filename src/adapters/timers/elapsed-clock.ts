import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'

/**
 * Creates a clock that never goes backwards and also counts time in which the host was suspended, which `monotonicClock` omits.
 * A process measures the age of its own leases and data with it. A forward step of the wall clock makes the age too large, which is
 * safe for the process that holds the lease.
 * Do not use it to decide that a lease granted to another process has expired: a forward step would end that lease too early.
 * @param monotonicNow - monotonic time in milliseconds
 * @param wallNow - wall clock time in milliseconds
 */
export function createElapsedClock (monotonicNow: () => number = () => performance.now(), wallNow: () => number = () => Date.now()): Clock {
  let lastMonotonic = monotonicNow()
  let lastWall = wallNow()
  let elapsed = lastMonotonic

  function now (): Milliseconds {
    const monotonic = monotonicNow()
    const wall = wallNow()
    const monotonicStep = monotonic - lastMonotonic
    const wallStep = wall - lastWall
    // A difference of up to 1 ms between the steps of the two clocks comes from their resolution.
    elapsed += wallStep > monotonicStep + 1 ? wallStep : monotonicStep
    lastMonotonic = monotonic
    lastWall = wall
    return milliseconds(elapsed)
  }

  return { now }
}
