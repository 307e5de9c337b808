/** Measures the time in which this program handled no events, which delays what it observes. Times are in milliseconds. */
export interface StallClock {
  totalMs: () => number
  longestMs: () => number
  stop: () => void
}

const PROBE_INTERVAL_MS = 10

/** Starts the clock. */
export function startStallClock (): StallClock {
  let probedAt = Date.now()
  let totalMs = 0
  let longestMs = 0
  const currentMs = (): number => Math.max(0, Date.now() - probedAt - PROBE_INTERVAL_MS)
  const timer = setInterval(() => {
    totalMs += currentMs()
    longestMs = Math.max(longestMs, currentMs())
    probedAt = Date.now()
  }, PROBE_INTERVAL_MS)
  return { totalMs: () => totalMs + currentMs(), longestMs: () => longestMs, stop: () => { clearInterval(timer) } }
}
