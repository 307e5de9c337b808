/**
 * Calls a task periodically until stopped.
 * @param intervalMs - time between calls, in milliseconds
 * @returns a function that stops the calls
 */
export type Repeat = (intervalMs: number, task: () => void) => () => void
