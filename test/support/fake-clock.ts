import type { Clock } from '../../src/types/clock.js'
import { milliseconds } from '../../src/types/clock.js'

export interface FakeClock extends Clock {
  advance: (durationMs: number) => void
}

/** Creates a clock that moves only through `advance`. */
export function createFakeClock (startMs = 1000): FakeClock {
  let time = startMs
  return {
    now: () => milliseconds(time),
    advance: (durationMs) => { time += durationMs }
  }
}
