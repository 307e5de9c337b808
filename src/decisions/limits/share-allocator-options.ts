import { SHARE_LEASE_MS } from './share-lease.js'

export interface ShareAllocatorOptions {
  /** Time for which instances may serve without a confirmation by control, in milliseconds. A part of each rate share lasts as long. Must be that of the instances. Default: `SHARE_LEASE_MS`. */
  unconfirmedServiceMs?: number
  /**
   * Time without a report after which an instance is unresponsive, in milliseconds. It can't acknowledge a reduction,
   * so the leader reclaims share from other instances. Default: 1,200, more than two heartbeat intervals.
   */
  unresponsiveAfterMs?: number
  /**
   * A resource with at most this many accounts is divided again as soon as a report requires it.
   * A larger one is divided at a later tick, to bound the work per heartbeat. Default: 64.
   */
  maxImmediateHolders?: number
}

/** @returns the options with defaults filled in */
export function resolveShareAllocatorOptions (options: ShareAllocatorOptions): Required<ShareAllocatorOptions> {
  return {
    unconfirmedServiceMs: options.unconfirmedServiceMs ?? SHARE_LEASE_MS,
    unresponsiveAfterMs: options.unresponsiveAfterMs ?? 1200,
    maxImmediateHolders: options.maxImmediateHolders ?? 64
  }
}
