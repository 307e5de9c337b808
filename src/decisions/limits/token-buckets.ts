import type { Clock, Milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { ShareAmount } from '../../types/share.js'

/** Token buckets of the rate shares that this instance holds. A bucket is usable only until its lease expires. */
export interface TokenBuckets {
  /**
   * Puts a new share in force. A raise adds only the tokens that come with the grant. A reduction drops the tokens above the new burst.
   * @param tokens - tokens that come with the grant, in requests
   * @returns the dropped tokens
   */
  resize: (resource: ResourceId, share: ShareAmount, tokens: number, validUntil: Milliseconds) => number
  /** Extends the lease of the share in force. */
  extend: (resource: ResourceId, validUntil: Milliseconds) => void
  remove: (resource: ResourceId) => void
  /** @returns the available tokens, in requests */
  count: (resource: ResourceId) => number
  /**
   * Takes one token if the bucket has one.
   * @returns whether a token was taken
   */
  take: (resource: ResourceId) => boolean
}

interface Bucket extends ShareAmount {
  tokens: number
  countedAt: Milliseconds
  validUntil: Milliseconds
}

/** Refills add up fractions with rounding errors. A token that is this close to whole counts as whole, so that it is usable at the time computed for it. */
export const TOKEN_TOLERANCE = 1e-9

/** @returns token buckets without shares */
export function createTokenBuckets (clock: Clock): TokenBuckets {
  const buckets = new Map<ResourceId, Bucket>()

  /** Adds the tokens accrued since the last call. A bucket with an expired lease is emptied, because other instances may hold its share by now. */
  function refill (bucket: Bucket): void {
    const now = clock.now()
    const isExpired = now >= bucket.validUntil
    const refilled = bucket.tokens + bucket.amount * Math.max(0, now - bucket.countedAt) / 1000
    bucket.tokens = isExpired ? 0 : Math.min(bucket.burst, refilled)
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
    if (bucket === undefined || count(resource) < 1 - TOKEN_TOLERANCE) return false
    bucket.tokens = Math.max(0, bucket.tokens - 1)
    return true
  }

  return { resize, extend, remove: (resource) => { buckets.delete(resource) }, count, take }
}
