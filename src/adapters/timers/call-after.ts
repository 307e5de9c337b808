/** Calls back once after a time in milliseconds. @returns a function that cancels the call */
export function callAfter (durationMs: number, callback: () => void): () => void {
  const timer = setTimeout(callback, durationMs)
  return () => { clearTimeout(timer) }
}
