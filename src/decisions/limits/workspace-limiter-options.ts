import type { Blackboard } from '../../blackboard/blackboard.js'
import type { Clock } from '../../types/clock.js'
import type { TokenBuckets } from './token-buckets.js'

export interface WorkspaceLimiterOptions {
  clock: Clock
  blackboard: Blackboard
  /** Buckets of the rate shares, shared with the share holder. */
  buckets: TokenBuckets
  /** Longest wait for a token, in milliseconds. Default: 250. */
  maxWaitMs?: number
  /** Requests of one workspace that may wait. Default: 1,000. */
  maxWaiting?: number
  /** Length of the window over which arrivals are counted, in milliseconds. Default: 200. */
  demandWindowMs?: number
  /** Time in which waiting requests should be caught up, in milliseconds; the shorter, the more share is asked for. Default: 100. */
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
