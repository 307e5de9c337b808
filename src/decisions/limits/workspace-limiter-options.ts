import type { Blackboard } from '../../blackboard/blackboard.js'
import type { Clock } from '../../types/clock.js'
import type { TokenBuckets } from './token-buckets.js'

export interface WorkspaceLimiterOptions {
  clock: Clock
  blackboard: Blackboard
  /** Token buckets of the rate shares. The share holder uses the same ones. */
  buckets: TokenBuckets
  /** Longest wait for a token, in milliseconds. Default: 250. */
  maxWaitMs?: number
  /** Largest number of waiting requests per workspace. Default: 1,000. */
  maxWaiting?: number
  /** Longest time over which the arrival rate is averaged, in milliseconds. Default: 200. */
  demandWindowMs?: number
  /** Time within which all waiting requests should be admitted, in milliseconds. The shorter it is, the more demand the limiter reports. Default: 100. */
  catchUpMs?: number
}

/** @returns the options with defaults filled in */
export function resolveWorkspaceLimiterOptions (options: WorkspaceLimiterOptions): Required<WorkspaceLimiterOptions> {
  return {
    ...options,
    maxWaitMs: options.maxWaitMs ?? 250,
    maxWaiting: options.maxWaiting ?? 1000,
    demandWindowMs: options.demandWindowMs ?? 200,
    catchUpMs: options.catchUpMs ?? 100
  }
}
