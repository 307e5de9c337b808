/**
 * Calls a task again and again until stopped.
 * @param intervalMs - time between calls, in milliseconds
 * @returns stops the calls
 */
export type Repeat = (intervalMs: number, task: () => void) => () => void
