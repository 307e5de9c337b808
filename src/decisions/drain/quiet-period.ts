import type { Clock, Milliseconds } from '../../types/clock.js'

export interface QuietPeriodOptions {
  clock: Clock
  /** Time without unfinished work after which connections that their callers keep open are given up, in milliseconds. */
  lengthMs: number
}

/**
 * Creates the check of whether a stopping instance has served all callers.
 * @returns a function that takes the numbers of unfinished answers and of open connections, and returns true once all connections are
 * closed, or no answer has been unfinished for the whole period. A caller that keeps its connection open may not have read its last answer yet.
 */
export function createQuietPeriod ({ clock, lengthMs }: QuietPeriodOptions): (unfinished: number, open: number) => boolean {
  let quietSince: Milliseconds | null = null

  return (unfinished, open) => {
    if (unfinished > 0) {
      quietSince = null
      return false
    }
    quietSince ??= clock.now()
    return open === 0 || clock.now() - quietSince >= lengthMs
  }
}
