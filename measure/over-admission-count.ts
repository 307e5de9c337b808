const MS_PER_SECOND = 1000
/** Token counts are sums of fractions; less than this part of a request is rounding. */
const ROUNDING = 1e-3

/**
 * Checks every window at once: a bucket of `burst` tokens that refills at `rate` is overdrawn by exactly the excess of the worst window.
 * @param times - times of the admissions in milliseconds, in any order
 * @param rate - requests per second
 * @param burst - requests
 * @returns requests above `rate x time + burst` in the worst window
 */
export function countOverAdmission (times: readonly number[], rate: number, burst: number): number {
  const sorted = [...times].sort((left, right) => left - right)
  let tokens = burst
  let lowest = burst
  let countedAt = sorted[0] ?? 0
  for (const time of sorted) {
    tokens = Math.min(burst, tokens + rate * (time - countedAt) / MS_PER_SECOND) - 1
    countedAt = time
    lowest = Math.min(lowest, tokens)
  }
  return Math.max(0, Math.ceil(-lowest - ROUNDING))
}
