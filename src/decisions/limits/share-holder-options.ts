import type { Blackboard } from '../../blackboard/blackboard.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { DemandSource } from './demand-report.js'
import type { TokenBuckets } from './token-buckets.js'

export interface ShareHolderOptions {
  clock: Clock
  blackboard: Blackboard
  /** Buckets of the rate shares, shared with the limiter. */
  buckets: TokenBuckets
  /** Sources of demand: the limiter for rates, executors for slots and connections. */
  demandSources: readonly DemandSource[]
  /**
   * Units of a whole-number resource in use. A reduction is acknowledged only once the use fits into it.
   * Default: nothing is in use.
   */
  usedOf?: (resource: ResourceId) => number
  /** Since when this run has certainly admitted nothing. Default: the creation of the holder. */
  startedAt?: Milliseconds
  /** Shortest time between extra heartbeats that ask for share, in milliseconds. Default: 20. */
  askGapMs?: number
  /** Extra heartbeats per second that may ask for share, on average. Default: 10. */
  asksPerSecond?: number
  /** Extra heartbeats that may be saved up. Default: 12. */
  askBurst?: number
}

/** @returns the options with defaults filled in */
export function resolveShareHolderOptions (options: ShareHolderOptions): Required<ShareHolderOptions> {
  return {
    ...options,
    startedAt: options.startedAt ?? options.clock.now(),
    usedOf: options.usedOf ?? (() => 0),
    askGapMs: options.askGapMs ?? 20,
    asksPerSecond: options.asksPerSecond ?? 10,
    askBurst: options.askBurst ?? 12
  }
}
