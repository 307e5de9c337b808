import type { Milliseconds } from '../../types/clock.js'

export interface PaceOptions {
  /** Interval between two calls of the task while nothing is urgent, in milliseconds. */
  idleIntervalMs: number
  /** Interval after a call of `markUrgent`, in milliseconds. */
  urgentIntervalMs: number
  /** How long the shorter interval applies after a call of `markUrgent`, in milliseconds. */
  urgentDurationMs: number
  now: () => Milliseconds
  /** Calls back after a time in milliseconds; returns a function that cancels the call. */
  after: (durationMs: number, callback: () => void) => () => void
}

/** A task that runs at a longer interval while idle and at a shorter one while urgent. */
export interface PacedTask {
  /** Switches to the shorter interval for a time; cuts a longer pause short. */
  markUrgent: () => void
  stop: () => void
}

/** Repeats a task at two intervals. Idle processes wake up rarely, which saves processor time where many of them share a host. */
export function repeatAtPace (task: () => void, { idleIntervalMs, urgentIntervalMs, urgentDurationMs, now, after }: PaceOptions): PacedTask {
  let urgentUntil = -Infinity
  let isIdle = false
  let cancel = schedule()

  function schedule (): () => void {
    isIdle = now() >= urgentUntil
    return after(isIdle ? idleIntervalMs : urgentIntervalMs, run)
  }

  function run (): void {
    cancel = schedule()
    task()
  }

  return {
    markUrgent: () => {
      urgentUntil = now() + urgentDurationMs
      if (!isIdle) return
      cancel()
      cancel = schedule()
    },
    stop: () => { cancel() }
  }
}
