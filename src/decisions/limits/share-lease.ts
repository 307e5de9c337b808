import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { ShareAmount } from '../../types/share.js'

/** Time for which an instance may use a whole share, by its own clock, after it sent the heartbeat that renewed the share. */
export const SHARE_LEASE_MS = 4000

/** Largest assumed relative difference in speed between two monotonic clocks. */
export const MAX_CLOCK_DRIFT_RATIO = 0.01

/** Time for which the leader counts a share as held, by its own clock, after it renewed the share. In milliseconds. */
export const LEADER_SHARE_LEASE_MS = SHARE_LEASE_MS * (1 + MAX_CLOCK_DRIFT_RATIO)

/**
 * Part of a rate share that an instance keeps between `SHARE_LEASE_MS` and the end of a longer lease. With two holders of a rate, this part
 * leaves the same ratio of the rate usable when control can't be reached (2/3 of both shares) as when one holder is lost (1 - 1/2 x 2/3).
 */
export const KEPT_SHARE_RATIO = 2 / 3

/** Times until which an instance, or the leader by its own clock, counts a share as held. */
export interface ShareLease {
  /** End of the whole share. */
  fullUntil: Milliseconds
  /** End of the part that is kept. Not before `fullUntil`. */
  validUntil: Milliseconds
}

/** Shares of slots and connections have no kept part, because the work that holds them can't be reduced in fractions. */
function hasKeptPart (resource: ResourceId): boolean {
  return resource.startsWith('rate:')
}

/**
 * @param start - when the heartbeat that renewed the share was sent, on the clock of the instance
 * @param unconfirmedServiceMs - time for which instances may serve without a confirmation by control, in milliseconds
 * @returns the lease of a share at the instance that holds it
 */
export function computeHolderLease (resource: ResourceId, start: Milliseconds, unconfirmedServiceMs: number): ShareLease {
  const keptMs = hasKeptPart(resource) ? Math.max(SHARE_LEASE_MS, unconfirmedServiceMs) : SHARE_LEASE_MS
  return { fullUntil: addTime(start, SHARE_LEASE_MS), validUntil: addTime(start, keptMs) }
}

/**
 * @param start - when the leader renewed the share, on its own clock
 * @returns the lease of a share at the leader; it ends later than the lease at the instance, whichever of the two clocks is faster
 */
export function computeLeaderLease (resource: ResourceId, start: Milliseconds, unconfirmedServiceMs: number): ShareLease {
  const { fullUntil, validUntil } = computeHolderLease(resource, start, unconfirmedServiceMs)
  const extend = (end: Milliseconds): Milliseconds => addTime(start, (end - start) * (1 + MAX_CLOCK_DRIFT_RATIO))
  return { fullUntil: extend(fullUntil), validUntil: extend(validUntil) }
}

/** @returns the longest time for which the leader counts any share as held, in milliseconds */
export function computeLongestLeaderLeaseMs (unconfirmedServiceMs: number): number {
  return Math.max(SHARE_LEASE_MS, unconfirmedServiceMs) * (1 + MAX_CLOCK_DRIFT_RATIO)
}

/** Reduces a share to the part that is kept after `fullUntil`. */
export function reduceToKeptPart (share: ShareAmount): void {
  share.amount *= KEPT_SHARE_RATIO
  share.burst *= KEPT_SHARE_RATIO
}
