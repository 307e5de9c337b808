export interface RetryBudgetOptions {
  /** Retries earned per request. Default: 0.1. */
  ratio?: number
  /** Initial number of retries, so that the first failures of a process can be retried. Default: 3. */
  initialRetries?: number
  /** Largest number of unused retries that the budget keeps. Default: 10. */
  maxSaved?: number
}

/**
 * Bounds retries by the number of requests, so that retries do not overload a failing database.
 * At any time, the number of retries is at most `ratio` × requests counted so far + `initialRetries`.
 */
export interface RetryBudget {
  /** Counts one request of a caller. */
  countRequest: () => void
  /**
   * Takes one retry from the budget if it holds one.
   * @returns whether the retry may be sent now
   */
  takeRetry: () => boolean
}

/** The budget counts in billionths of a retry. Whole numbers avoid the rounding errors of many small additions. */
const UNITS_PER_RETRY = 1_000_000_000

/** @returns a budget with its initial number of retries */
export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const unitsPerRequest = Math.floor((options.ratio ?? 0.1) * UNITS_PER_RETRY)
  const maxUnits = (options.maxSaved ?? 10) * UNITS_PER_RETRY
  let units = Math.min(maxUnits, (options.initialRetries ?? 3) * UNITS_PER_RETRY)

  function takeRetry (): boolean {
    if (units < UNITS_PER_RETRY) return false
    units -= UNITS_PER_RETRY
    return true
  }

  return {
    countRequest: () => { units = Math.min(maxUnits, units + unitsPerRequest) },
    takeRetry
  }
}
