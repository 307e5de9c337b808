/** @returns a promise that resolves after the time */
export async function pause (durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
}

const POLL_MS = 10

/**
 * Waits for a condition.
 * @returns the time that it took in milliseconds; null when it did not hold within `limitMs`
 */
export async function waitFor (isDone: () => boolean, limitMs: number): Promise<number | null> {
  const startedAt = performance.now()
  while (!isDone()) {
    if (performance.now() - startedAt > limitMs) return null
    await pause(POLL_MS)
  }
  return performance.now() - startedAt
}
