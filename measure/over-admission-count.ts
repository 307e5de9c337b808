const MS_PER_SECOND = 1000
/** Token counts are sums of fractions. A deficit below this fraction of a request is a rounding error. */
const ROUNDING_TOLERANCE = 1e-3

/**
 * Counts admissions above a rate limit over all time windows at once. A bucket of `burst` tokens that refills at `rate` is overdrawn by
 * exactly the excess of the worst window.
 * @param times - times of the admissions in milliseconds, in any order
 * @param rate - requests per second
 * @param burst - requests
 * @returns requests above `rate x time + burst` in the worst window
 */
export function countOverAdmission (times: readonly number[], rate: number, burst: number): number {
  const sorted = [...times].sort((left, right) => left - right)
  let tokens = burst
  let lowestTokens = burst
  let refilledAt = sorted[0] ?? 0
  for (const time of sorted) {
    tokens = Math.min(burst, tokens + rate * (time - refilledAt) / MS_PER_SECOND) - 1
    refilledAt = time
    lowestTokens = Math.min(lowestTokens, tokens)
  }
  return Math.max(0, Math.ceil(-lowestTokens - ROUNDING_TOLERANCE))
}
