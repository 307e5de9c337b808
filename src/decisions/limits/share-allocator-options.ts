export interface ShareAllocatorOptions {
  /**
   * An instance that has not reported for this long can't acknowledge a reduction; others are asked instead.
   * In milliseconds. Default: 1,200, more than two heartbeat intervals.
   */
  unresponsiveAfterMs?: number
  /**
   * Resources shared by at most this many instances are divided again as soon as a report calls for it;
   * larger ones at the next tick, to bound the work per heartbeat. Default: 64.
   */
  immediateMembers?: number
}

/** @returns the options with defaults filled in */
export function resolveShareAllocatorOptions (options: ShareAllocatorOptions): Required<ShareAllocatorOptions> {
  return {
    unresponsiveAfterMs: options.unresponsiveAfterMs ?? 1200,
    immediateMembers: options.immediateMembers ?? 64
  }
}
