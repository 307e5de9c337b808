/** Blocks this process, so that sockets deliver what was written and nothing reads it. @param durationMs - time in milliseconds */
export function blockEventLoop (durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs)
}
