import type { Clock } from '../../types/clock.js'

/** Weight of a new response time in the recent mean. Crowds last some seconds, in which a lender gets some dozens of answers of a kind. */
const RECENT_WEIGHT = 0.1
/** Weight of a new response time in the mean from which the unloaded time is taken. The lowest value of a shorter mean would be far below the true mean. */
const STEADY_WEIGHT = 0.05
/** Answers of a kind before its times are compared. */
const MIN_SAMPLES = 10
/** Rise of the unloaded time towards the mean per second, as a part of their difference: it follows a change of the work within a minute. */
const BASELINE_RISE_PER_S = 0.05
/**
 * The limit falls while recent answers take longer than the unloaded time by this factor. In the crowd of the test slot-scheduler, 98% of the
 * urgent operations are in time with 1.5, and 94% with 2.
 */
const TOLERATED_SLOWDOWN = 1.5
/** Factor by which one slow answer lowers the limit. */
const FALL_FACTOR = 0.95
/** Answers that the database was busy within this time in milliseconds are one signal. */
const BUSY_INTERVAL_MS = 50
const MS_PER_SECOND = 1000

export interface ConcurrencyLimitOptions {
  clock: Clock
  /** @returns lowest limit, at least 1 */
  minimum: () => number
  /** @returns highest limit, which is also the first one */
  maximum: () => number
}

/**
 * Limits the statements that one lender has in flight at a database (a gradient limit). Several lenders share the slots of a database
 * without messages: each follows the response times that it measures, which grow when the database queues.
 */
export interface ConcurrencyLimit {
  /** @returns statements that may be in flight */
  current: () => number
  /**
   * Records the response time of a statement. Times are compared within a kind, so that a changed mix of kinds does not change the limit.
   * @param hasWaiting - whether other statements wait for the limit
   */
  recordAnswer: (kind: string, durationMs: number, hasWaiting: boolean) => void
  /** Records that the database had no room for a statement. */
  recordBusy: () => void
}

interface KindTimes {
  samples: number
  recentMs: number
  steadyMs: number
  unloadedMs: number
  updatedAt: number
}

export function createConcurrencyLimit ({ clock, minimum, maximum }: ConcurrencyLimitOptions): ConcurrencyLimit {
  const timesByKind = new Map<string, KindTimes>()
  let limit = Infinity
  let lastBusyAt = -Infinity

  const clamp = (value: number): number => Math.max(1, minimum(), Math.min(maximum(), value))

  function recordTime (kind: string, durationMs: number): KindTimes {
    const now = clock.now()
    const times = timesByKind.get(kind) ?? { samples: 0, recentMs: durationMs, steadyMs: durationMs, unloadedMs: Infinity, updatedAt: now }
    timesByKind.set(kind, times)
    times.samples++
    // Until there are enough samples, the means are plain ones.
    times.recentMs += (durationMs - times.recentMs) * Math.max(RECENT_WEIGHT, 1 / times.samples)
    times.steadyMs += (durationMs - times.steadyMs) * Math.max(STEADY_WEIGHT, 1 / times.samples)
    if (times.samples < MIN_SAMPLES) return times
    const rise = Math.min(1, (now - times.updatedAt) / MS_PER_SECOND * BASELINE_RISE_PER_S)
    const risenMs = times.unloadedMs === Infinity ? Infinity : times.unloadedMs + (times.steadyMs - times.unloadedMs) * rise
    times.unloadedMs = Math.min(times.steadyMs, risenMs)
    times.updatedAt = now
    return times
  }

  function recordAnswer (kind: string, durationMs: number, hasWaiting: boolean): void {
    const { samples, recentMs, unloadedMs } = recordTime(kind, durationMs)
    limit = clamp(limit)
    if (samples >= MIN_SAMPLES && recentMs > unloadedMs * TOLERATED_SLOWDOWN) limit = clamp(limit * FALL_FACTOR)
    else if (hasWaiting) limit = clamp(limit + 1 / limit)
  }

  return {
    current: () => Math.floor(clamp(limit)),
    recordAnswer,
    recordBusy: () => {
      if (clock.now() - lastBusyAt < BUSY_INTERVAL_MS) return
      lastBusyAt = clock.now()
      limit = clamp(clamp(limit) / 2)
    }
  }
}
