import type { Clock, Milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { ShareAmount } from '../../types/share.js'

/** Tokens of this instance for the rate shares that it holds. A bucket is usable before the end of its lease only. */
export interface TokenBuckets {
  /**
   * Puts a new share in force. A raise adds no tokens but those passed along; a reduction drops what is above the new burst.
   * @returns the tokens that were dropped
   */
  resize: (resource: ResourceId, share: ShareAmount, tokens: number, validUntil: Milliseconds) => number
  /** Extends the lease of the share in force. */
  extend: (resource: ResourceId, validUntil: Milliseconds) => void
  remove: (resource: ResourceId) => void
  /** @returns tokens at present, in requests */
  count: (resource: ResourceId) => number
  /** @returns whether a token was there; it is then used up */
  take: (resource: ResourceId) => boolean
}

interface Bucket extends ShareAmount {
  tokens: number
  countedAt: Milliseconds
  validUntil: Milliseconds
}

/** Refills are sums of fractions; a token that is this close to whole counts as whole for the time of the next one. */
export const tokenPrecision = 1e-9

/** @returns buckets for no share yet */
export function createTokenBuckets (clock: Clock): TokenBuckets {
  const buckets = new Map<ResourceId, Bucket>()

  /** Counts the refill since the last call. A bucket whose lease ran out is empty: its share may belong to others. */
  function refill (bucket: Bucket): void {
    const now = clock.now()
    const lapsed = now >= bucket.validUntil
    const refilled = bucket.tokens + bucket.amount * Math.max(0, now - bucket.countedAt) / 1000
    bucket.tokens = lapsed ? 0 : Math.min(bucket.burst, refilled)
    bucket.countedAt = now
  }

  function resize (resource: ResourceId, share: ShareAmount, tokens: number, validUntil: Milliseconds): number {
    const bucket = buckets.get(resource) ?? { amount: 0, burst: 0, tokens: 0, countedAt: clock.now(), validUntil }
    buckets.set(resource, bucket)
    refill(bucket)
    const dropped = Math.max(0, bucket.tokens - share.burst)
    bucket.tokens = Math.min(share.burst, bucket.tokens + tokens)
    bucket.amount = share.amount
    bucket.burst = share.burst
    bucket.validUntil = validUntil
    return dropped
  }

  function extend (resource: ResourceId, validUntil: Milliseconds): void {
    const bucket = buckets.get(resource)
    if (bucket === undefined) return
    refill(bucket)
    if (validUntil > bucket.validUntil) bucket.validUntil = validUntil
  }

  function count (resource: ResourceId): number {
    const bucket = buckets.get(resource)
    if (bucket === undefined) return 0
    refill(bucket)
    return bucket.tokens
  }

  function take (resource: ResourceId): boolean {
    const bucket = buckets.get(resource)
    if (bucket === undefined || count(resource) < 1 - tokenPrecision) return false
    bucket.tokens = Math.max(0, bucket.tokens - 1)
    return true
  }

  return { resize, extend, remove: (resource) => { buckets.delete(resource) }, count, take }
}
