import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { ShareAmount } from '../../types/share.js'
import type { ShareLease } from './share-lease.js'
import { reduceToKeptPart } from './share-lease.js'

/** Token buckets of the rate shares that this instance holds. A bucket yields the whole share until `fullUntil` of its lease, and the kept part until the lease ends. */
export interface TokenBuckets {
  /**
   * Puts a new share in force. A raise adds only the tokens that come with the grant. A reduction drops the tokens above the new burst.
   * @param tokens - tokens that come with the grant, in requests
   * @returns the dropped tokens
   */
  resize: (resource: ResourceId, share: ShareAmount, tokens: number, lease: ShareLease) => number
  /** Extends the lease of the share in force. The amount in force, if it was reduced to the kept part, is the whole share of the new lease. */
  extend: (resource: ResourceId, lease: ShareLease) => void
  remove: (resource: ResourceId) => void
  /** @returns the available tokens, in requests */
  count: (resource: ResourceId) => number
  /**
   * Takes one token if the bucket has one.
   * @returns whether a token was taken
   */
  take: (resource: ResourceId) => boolean
}

interface Bucket extends ShareAmount, ShareLease {
  tokens: number
  countedAt: Milliseconds
  /** Whether the share was reduced to its kept part. */
  isReduced: boolean
}

/** Refills add up fractions with rounding errors. A token that is this close to whole counts as whole, so that it is usable at the time computed for it. */
export const TOKEN_TOLERANCE = 1e-9

/** @returns token buckets without shares */
export function createTokenBuckets (clock: Clock): TokenBuckets {
  const buckets = new Map<ResourceId, Bucket>()

  /** Adds the tokens accrued since the last call. A bucket with an expired lease is emptied, because other instances may hold its share by now. */
  function refill (bucket: Bucket): void {
    const now = clock.now()
    if (!bucket.isReduced && bucket.validUntil > bucket.fullUntil && now >= bucket.fullUntil) {
      accrue(bucket, bucket.fullUntil)
      reduceToKeptPart(bucket)
      bucket.isReduced = true
    }
    accrue(bucket, now)
    if (now >= bucket.validUntil) bucket.tokens = 0
  }

  function accrue (bucket: Bucket, until: Milliseconds): void {
    const refilled = bucket.tokens + bucket.amount * Math.max(0, until - bucket.countedAt) / 1000
    bucket.tokens = Math.min(bucket.burst, refilled)
    bucket.countedAt = milliseconds(Math.max(bucket.countedAt, until))
  }

  function resize (resource: ResourceId, share: ShareAmount, tokens: number, lease: ShareLease): number {
    const bucket = buckets.get(resource) ?? { amount: 0, burst: 0, tokens: 0, countedAt: clock.now(), isReduced: false, ...lease }
    buckets.set(resource, bucket)
    refill(bucket)
    const dropped = Math.max(0, bucket.tokens - share.burst)
    bucket.tokens = Math.min(share.burst, bucket.tokens + tokens)
    bucket.amount = share.amount
    bucket.burst = share.burst
    bucket.isReduced = false
    bucket.fullUntil = lease.fullUntil
    bucket.validUntil = lease.validUntil
    return dropped
  }

  function extend (resource: ResourceId, { fullUntil, validUntil }: ShareLease): void {
    const bucket = buckets.get(resource)
    if (bucket === undefined || validUntil <= bucket.validUntil) return
    refill(bucket)
    bucket.isReduced = false
    bucket.fullUntil = fullUntil
    bucket.validUntil = validUntil
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
