import type { Repeat } from '../../types/repeat.js'

/** Repeats a task at a fixed interval with a timer of the process. */
export const repeatByTimer: Repeat = (intervalMs, task) => {
  const timer = setInterval(task, intervalMs)
  return () => clearInterval(timer)
}
