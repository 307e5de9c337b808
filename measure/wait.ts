/** Resolves after `durationMs` milliseconds. */
export async function pause (durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, durationMs) })
}

const POLL_INTERVAL_MS = 10

/**
 * Polls a condition until it holds.
 * @returns elapsed time in milliseconds; null if the condition did not hold within `timeoutMs`
 */
export async function waitFor (isDone: () => boolean, timeoutMs: number): Promise<number | null> {
  const startedAt = performance.now()
  while (!isDone()) {
    if (performance.now() - startedAt > timeoutMs) return null
    await pause(POLL_INTERVAL_MS)
  }
  return performance.now() - startedAt
}
