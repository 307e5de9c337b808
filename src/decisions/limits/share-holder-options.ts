import type { Blackboard } from '../../blackboard/blackboard.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { DemandSource } from './demand-report.js'
import { SHARE_LEASE_MS } from './share-lease.js'
import type { TokenBuckets } from './token-buckets.js'

export interface ShareHolderOptions {
  clock: Clock
  blackboard: Blackboard
  /** Token buckets of the rate shares. The limiter uses the same ones. */
  buckets: TokenBuckets
  /** Sources of demand. The limiter reports demand for rates, the executors for slots and connections. */
  demandSources: readonly DemandSource[]
  /**
   * Counts the units in use of a resource of slots or connections. A reduction is acknowledged only once the units in use fit into it.
   * Default: no unit is in use.
   */
  usedOf?: (resource: ResourceId) => number
  /** Start of this incarnation. The time from here to the first share counts as idle, since the incarnation admits nothing without a share. Default: the creation of the holder. */
  startedAt?: Milliseconds
  /** Time for which this instance may serve without a confirmation by control, in milliseconds. A part of each rate share lasts as long. Must be the leader's. Default: `SHARE_LEASE_MS`. */
  unconfirmedServiceMs?: number
  /** Shortest time between a heartbeat and an extra one that requests share, in milliseconds. Default: 20. */
  requestGapMs?: number
  /** Average number of extra heartbeats per second that may request share. Default: 10. */
  requestsPerSecond?: number
  /** Extra heartbeats that may accumulate unused. Default: 12. */
  requestBurst?: number
}

/** @returns the options with defaults filled in */
export function resolveShareHolderOptions (options: ShareHolderOptions): Required<ShareHolderOptions> {
  return {
    ...options,
    startedAt: options.startedAt ?? options.clock.now(),
    usedOf: options.usedOf ?? (() => 0),
    unconfirmedServiceMs: options.unconfirmedServiceMs ?? SHARE_LEASE_MS,
    requestGapMs: options.requestGapMs ?? 20,
    requestsPerSecond: options.requestsPerSecond ?? 10,
    requestBurst: options.requestBurst ?? 12
  }
}
