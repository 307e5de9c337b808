/** Resolves after a time in milliseconds. */
export function sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, durationMs) })
}
