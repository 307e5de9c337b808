export interface RetryBudgetOptions {
  /** Retries per request. Default: 0.1. */
  ratio?: number
  /** Retries allowed before any request was counted, so that the first failures of a process can be retried. Default: 3. */
  minimumBurst?: number
  /** Retries that may be saved up. Default: 10. */
  maxSaved?: number
}

/**
 * Bounds retries by the requests seen, so that a failing database isn't loaded further by repetitions.
 * At any time, retries are at most `ratio` of the requests seen so far plus the minimum burst.
 */
export interface RetryBudget {
  /** Counts one request of a caller. */
  countRequest: () => void
  /** @returns whether one retry may be sent now, and takes it from the budget */
  takeRetry: () => boolean
}

/** Billionths of a retry: whole numbers, so that many small deposits don't add up to a rounding error. */
const unitsPerRetry = 1_000_000_000

/** @returns a budget that holds the minimum burst */
export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const unitsPerRequest = Math.floor((options.ratio ?? 0.1) * unitsPerRetry)
  const maxUnits = (options.maxSaved ?? 10) * unitsPerRetry
  let units = Math.min(maxUnits, (options.minimumBurst ?? 3) * unitsPerRetry)

  function takeRetry (): boolean {
    if (units < unitsPerRetry) return false
    units -= unitsPerRetry
    return true
  }

  return {
    countRequest: () => { units = Math.min(maxUnits, units + unitsPerRequest) },
    takeRetry
  }
}
