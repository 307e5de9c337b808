/** Resolves after `durationMs`, or as soon as the signal is aborted. */
export async function sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
  if (durationMs <= 0 || signal?.aborted === true) return
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, durationMs)
    signal?.addEventListener('abort', finish)
  })
}
