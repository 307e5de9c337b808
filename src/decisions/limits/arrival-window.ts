import type { Milliseconds } from '../../types/clock.js'

/** Estimates the arrival rate from the most recent arrivals. */
export interface ArrivalWindow {
  /** Records one arrival. */
  add: (now: Milliseconds) => void
  /** @returns the estimated arrivals per second */
  rate: (now: Milliseconds) => number
}

export interface ArrivalWindowOptions {
  /** Shortest time over which the estimate averages, in milliseconds. */
  minLengthMs: number
  /** Longest time over which the estimate averages, in milliseconds. */
  maxLengthMs: number
}

/** Arrivals that suffice for an estimate. Averaging over more of them only delays the reaction to a change. */
const SUFFICIENT_ARRIVALS = 20

/** Counting intervals in the shortest window. */
const INTERVALS_PER_MIN_LENGTH = 4

/**
 * Creates a window that counts arrivals in short intervals. An estimate covers at least the shortest window;
 * it extends up to the longest one until it covers enough arrivals.
 * @returns a window without arrivals
 */
export function createArrivalWindow (options: ArrivalWindowOptions): ArrivalWindow {
  const intervalMs = options.minLengthMs / INTERVALS_PER_MIN_LENGTH
  const intervalCount = Math.ceil(options.maxLengthMs / intervalMs)
  const counts = new Array<number>(intervalCount + 1).fill(0)
  let lastInterval = 0

  function advance (now: Milliseconds): void {
    const interval = Math.floor(now / intervalMs)
    for (let next = Math.max(lastInterval + 1, interval - intervalCount); next <= interval; next++) counts[next % counts.length] = 0
    lastInterval = Math.max(lastInterval, interval)
  }

  function add (now: Milliseconds): void {
    advance(now)
    const index = lastInterval % counts.length
    counts[index] = (counts[index] as number) + 1
  }

  function rate (now: Milliseconds): number {
    advance(now)
    let arrivals = 0
    let intervalsBack = 0
    while (intervalsBack <= intervalCount && (intervalsBack <= INTERVALS_PER_MIN_LENGTH || arrivals < SUFFICIENT_ARRIVALS)) {
      arrivals += counts[(lastInterval - intervalsBack + counts.length) % counts.length] as number
      intervalsBack++
    }
    const lengthMs = (intervalsBack - 1) * intervalMs + (now - lastInterval * intervalMs)
    return arrivals * 1000 / lengthMs
  }

  return { add, rate }
}
