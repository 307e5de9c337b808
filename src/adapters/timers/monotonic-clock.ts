import type { Clock } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'

/** Monotonic clock of this process. */
export const monotonicClock: Clock = { now: () => milliseconds(performance.now()) }
