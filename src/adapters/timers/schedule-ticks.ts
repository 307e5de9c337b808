/** Stops a repeated call. */
export type StopTicks = () => void

/**
 * Calls `tick` repeatedly until stopped.
 * @param intervalMs - time between calls in milliseconds
 * @param tick - called with nothing; must not throw
 */
export function scheduleTicks (intervalMs: number, tick: () => void): StopTicks {
  const timer = setInterval(tick, intervalMs)
  return () => { clearInterval(timer) }
}
