export interface ShareAllocatorOptions {
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
    unresponsiveAfterMs: options.unresponsiveAfterMs ?? 1200,
    maxImmediateHolders: options.maxImmediateHolders ?? 64
  }
}
