import type { Clock, Milliseconds } from '../../types/clock.js'

/** Time without a call of `observe` above which the process counts as paused, in milliseconds: several ticks of an instance. */
const MIN_PAUSE_MS = 300

export interface PauseDetector {
  /** Records that the process runs. Call it at each tick; ticks must be much more frequent than the shortest pause. */
  observe: () => void
}

/**
 * Detects that the process stood still.
 * @param clock - a clock that also counts time in which the host is suspended
 * @param onPaused - called after each pause with its length in milliseconds
 */
export function createPauseDetector (clock: Clock, onPaused: (durationMs: number) => void): PauseDetector {
  let lastObservedAt: Milliseconds = clock.now()

  return {
    observe: () => {
      const now = clock.now()
      const gapMs = now - lastObservedAt
      lastObservedAt = now
      if (gapMs >= MIN_PAUSE_MS) onPaused(gapMs)
    }
  }
}
