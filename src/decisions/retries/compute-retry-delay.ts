export interface RetryDelayOptions {
  /** Longest delay before the first retry, in milliseconds. Default: 10. */
  firstMs?: number
  /** Longest delay before any retry, in milliseconds. Default: 1,000. */
  maxMs?: number
  /** @returns a random number of at least 0 and below 1 */
  random: () => number
}

/** Limits the power of 2, which would overflow to infinity for large retry numbers. Any sensible bound is reached far below it. */
const MAX_EXPONENT = 30

/**
 * Computes the delay before a retry: uniformly random between half of a bound and the bound, which doubles with each retry.
 * The random part prevents callers that failed together from retrying together.
 * @param retry - number of the retry, from 1
 * @returns the delay in milliseconds
 */
export function computeRetryDelayMs (retry: number, options: RetryDelayOptions): number {
  const exponent = Math.min(MAX_EXPONENT, Math.max(0, retry - 1))
  const bound = Math.min(options.maxMs ?? 1000, (options.firstMs ?? 10) * 2 ** exponent)
  return bound / 2 + options.random() * bound / 2
}
