import type { Milliseconds } from '../../types/clock.js'

export interface PaceOptions {
  /** Time between two runs while nothing is urgent, in milliseconds. */
  restMs: number
  /** The same after `hurry`, in milliseconds. */
  urgentMs: number
  /** How long a call of `hurry` holds, in milliseconds. */
  urgentForMs: number
  now: () => Milliseconds
  /** Calls back after a time in milliseconds; returns a function that prevents the call. */
  after: (durationMs: number, callback: () => void) => () => void
}

/** A task that is repeated more often while something waits for it. */
export interface PacedTask {
  hurry: () => void
  stop: () => void
}

/** Repeats a task by a timer of the process. A process at rest wakes up seldom, which counts where many of them share a machine. */
export function repeatAtPace (task: () => void, { restMs, urgentMs, urgentForMs, now, after }: PaceOptions): PacedTask {
  let urgentUntil = -Infinity
  let isResting = false
  let cancel = schedule()

  function schedule (): () => void {
    isResting = now() >= urgentUntil
    return after(isResting ? restMs : urgentMs, run)
  }

  function run (): void {
    cancel = schedule()
    task()
  }

  return {
    hurry: () => {
      urgentUntil = now() + urgentForMs
      if (!isResting) return
      cancel()
      cancel = schedule()
    },
    stop: () => { cancel() }
  }
}
