export interface RetryDelayOptions {
  /** Longest delay before the first retry, in milliseconds. Default: 10. */
  firstMs?: number
  /** Longest delay before any retry, in milliseconds. Default: 1,000. */
  maxMs?: number
  /** @returns a number from 0 up to, but not including, 1 */
  random: () => number
}

/** Exponents above this one overflow to infinity, and any sensible bound is reached far below it. */
const maxExponent = 30

/**
 * Delay before a retry: uniform between half of the bound and the bound, which doubles with each retry.
 * The random half keeps callers that failed together from returning together.
 * @param retry - number of the retry, from 1
 * @returns milliseconds
 */
export function retryDelay (retry: number, options: RetryDelayOptions): number {
  const exponent = Math.min(maxExponent, Math.max(0, retry - 1))
  const bound = Math.min(options.maxMs ?? 1000, (options.firstMs ?? 10) * 2 ** exponent)
  return bound / 2 + options.random() * bound / 2
}
