import type { Clock } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'

/** Monotonic clock of this process. It may omit time in which the host was suspended. */
export const monotonicClock: Clock = { now: () => milliseconds(performance.now()) }
