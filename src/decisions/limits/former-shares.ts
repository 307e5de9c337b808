import type { Milliseconds } from '../../types/clock.js'
import type { InstanceId, ResourceId } from '../../types/ids.js'
import type { HeldShare, ShareAmount } from '../../types/share.js'
import { accrueReserveTokens, updateFreeRate } from './resource-shares.js'
import type { ResourceShares } from './resource-shares.js'
import type { ShareClient } from './share-account.js'
import type { ShareLease } from './share-lease.js'
import { computeLeaderLease, KEPT_SHARE_RATIO } from './share-lease.js'

/** Instances that may hold shares of an earlier leader. */
export interface ExpectedHolders {
  instances: ReadonlySet<InstanceId>
  /** @returns those that may hold a share of the resource; null: any of them */
  holdersOf: (resource: ResourceId) => readonly InstanceId[] | null
}

/** What a new leader knows of the shares that former leaders granted. */
export interface FormerSharesContext {
  now: Milliseconds
  /** Start of the leadership. Shares of former leaders end as if they had been renewed then. */
  ledSince: Milliseconds
  unconfirmedServiceMs: number
  /** Null while unknown. */
  expected: ExpectedHolders | null
  clients: ReadonlyMap<InstanceId, ShareClient>
}

/** Forgets everything that was known of the shares of former leaders. */
export function resetFormerShares (shares: ResourceShares): void {
  shares.adopted = { amount: 0, burst: 0 }
  shares.areFormerSharesKnown = false
  shares.unreported = computeUnreported(shares, 1)
}

/** Records that an instance reported a share of a former leader. */
export function recordAdoption (shares: ResourceShares, { amount, burst }: HeldShare, { now, ledSince, unconfirmedServiceMs }: FormerSharesContext): void {
  // After the share lease only the kept part is reported. The whole share is what the former leader had granted.
  const ratio = computeHeldRatio(computeLeaderLease(shares.resource, ledSince, unconfirmedServiceMs), now)
  shares.adopted.amount += amount / ratio
  shares.adopted.burst += burst / ratio
}

/** @returns the largest part of a share of a former leader that an instance may still hold without a renewal */
function computeHeldRatio ({ fullUntil, validUntil }: ShareLease, now: Milliseconds): number {
  return now < fullUntil || validUntil <= fullUntil ? 1 : KEPT_SHARE_RATIO
}

function computeUnreported ({ size, adopted }: ResourceShares, ratio: number): ShareAmount {
  return { amount: Math.max(0, (size?.amount ?? 0) - adopted.amount) * ratio, burst: Math.max(0, (size?.burst ?? 0) - adopted.burst) * ratio }
}

/** @returns the instances that may hold a share of former leaders; null: unknown */
function listFormerHolders (resource: ResourceId, expected: ExpectedHolders | null): readonly InstanceId[] | null {
  if (expected === null) return null
  return expected.holdersOf(resource)?.filter((instance) => expected.instances.has(instance)) ?? [...expected.instances]
}

/** @returns the time for which no instance can have held a share of the resource before the holders reported, in milliseconds; 0: unknown */
export function computeFormerIdleMs (resource: ResourceId, { expected, clients }: FormerSharesContext): number {
  const idleMs = listFormerHolders(resource, expected)?.reduce((least, instance) => Math.min(least, clients.get(instance)?.idleMs ?? 0), Infinity) ?? 0
  return Number.isFinite(idleMs) ? idleMs : 0
}

/**
 * Recomputes how much of a resource instances that have not reported may hold. The rest of the resource is certainly free or known to be held.
 * @returns whether the shares of former leaders became known by this call
 */
export function updateUnreported (shares: ResourceShares, context: FormerSharesContext): boolean {
  if (shares.areFormerSharesKnown) return false
  const { now, ledSince, unconfirmedServiceMs, expected, clients } = context
  const { resource, unreported } = shares
  const lease = computeLeaderLease(resource, ledSince, unconfirmedServiceMs)
  const haveAllReported = listFormerHolders(resource, expected)?.every((instance) => clients.get(instance)?.hasReportedInTerm === true)
  const isKnown = haveAllReported === true || now >= lease.validUntil
  const next = computeUnreported(shares, isKnown ? 0 : computeHeldRatio(lease, now))
  if (!isKnown && next.amount === unreported.amount && next.burst === unreported.burst) return false
  accrueReserveTokens(shares, now)
  shares.unreported = next
  shares.areFormerSharesKnown = isKnown
  shares.isDirty = true
  updateFreeRate(shares, now)
  return isKnown
}
