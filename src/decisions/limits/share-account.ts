import type { Milliseconds } from '../../types/clock.js'
import type { Address, IncarnationId, InstanceId, ResourceId } from '../../types/ids.js'
import type { GrantedShare, HeldShare, ShareAmount } from '../../types/share.js'
import type { ShareLease } from './share-lease.js'
import { reduceToKeptPart } from './share-lease.js'

/** State of one incarnation of an instance at the control leader. */
export interface ShareClient {
  instance: InstanceId
  incarnation: IncarnationId
  address: Address | null
  /** The incarnation before this one at the same address, until its shares have been freed. */
  predecessor: ShareClient | null
  draining: boolean
  /** Whether the instance has reported under the term of this leader. The leader grants it nothing before. */
  hasReportedInTerm: boolean
  /** Time for which the instance held no share before its first report to this leader, in milliseconds. */
  idleMs: number
  /** Whether another incarnation of the instance has reported since. */
  isSuperseded: boolean
  /** Whether a report of this incarnation has arrived after that of the other one. */
  hasReportedSinceSuperseded: boolean
  reportedAt: Milliseconds
  demand: Map<ResourceId, number>
  /** Time by which the permitted average rate covers the heartbeat requests sent so far. A burst of requests moves it ahead of now. */
  requestBudgetUntil: Milliseconds
  accounts: Map<ResourceId, ShareAccount>
  /** Whether the leader should request a heartbeat because the share of the instance changes. */
  shouldRequestHeartbeat: boolean
}

/** The lease is on the leader's clock. It is meaningful only once the grant was sent. */
interface IssuedGrant extends ShareAmount, ShareLease {
  grant: number
  tokens: number
  /** Whether a heartbeat answer has carried the grant. The answer may or may not have arrived. */
  sent: boolean
  /** Whether the share was reduced to the part that the instance keeps. A share of a former leader counts as reduced, since it may be. */
  isReduced: boolean
}

/** The leader's grants of one resource to one incarnation of an instance. */
export interface ShareAccount {
  client: ShareClient
  /** Grants that the instance may hold, oldest first. The last one is in force. */
  grants: IssuedGrant[]
  /** When the leader last requested a heartbeat because the share can be raised. */
  heartbeatRequestedAt: Milliseconds
  /** When the leader last reduced the share. */
  reducedAt: Milliseconds
}

const noShare: ShareAmount = { amount: 0, burst: 0 }

/** @returns the share in force */
export function currentShareOf (account: ShareAccount): Readonly<ShareAmount> {
  return account.grants.at(-1) ?? noShare
}

/** @returns the largest share that the instance may hold, whichever messages were lost */
export function maxHeldOf (account: ShareAccount): Readonly<ShareAmount> {
  const [first] = account.grants
  if (first !== undefined && account.grants.length === 1) return first
  const maxHeld = { amount: 0, burst: 0 }
  for (const { amount, burst } of account.grants) {
    maxHeld.amount = Math.max(maxHeld.amount, amount)
    maxHeld.burst = Math.max(maxHeld.burst, burst)
  }
  return maxHeld
}

/** Puts a new grant in force. A grant that was not sent yet is changed in place, so that its tokens are not lost. */
export function issueGrant (account: ShareAccount, share: ShareAmount, tokens: number, grant: number, now: Milliseconds): void {
  const last = account.grants.at(-1)
  if (last !== undefined && !last.sent) {
    last.amount = share.amount
    last.burst = share.burst
    last.tokens = Math.min(share.burst, last.tokens + tokens)
    return
  }
  account.grants.push({ ...share, grant, tokens, sent: false, isReduced: false, fullUntil: now, validUntil: now })
}

/** Adopts a share that a former leader granted. Where leases have a kept part, the instance may report that part already, so it is not reduced further. */
export function adoptShare (account: ShareAccount, held: HeldShare, lease: ShareLease): void {
  account.grants = [{ amount: held.amount, burst: held.burst, grant: held.grant, tokens: 0, sent: true, isReduced: lease.validUntil > lease.fullUntil, ...lease }]
}

/** @returns whether a reported share shows that the instance no longer holds an earlier grant */
export function isAcknowledgement (account: ShareAccount, held: HeldShare): boolean {
  return account.grants.findIndex(({ grant, sent }) => sent && grant === held.grant) > 0
}

/**
 * Drops the grants before the reported one.
 * @returns tokens that the instance returned, at most the reduction of the burst
 */
export function acknowledgeGrant (account: ShareAccount, held: HeldShare): number {
  const before = maxHeldOf(account).burst
  account.grants = account.grants.slice(account.grants.findIndex(({ grant }) => grant === held.grant))
  return Math.max(0, Math.min(held.returnedTokens, before - maxHeldOf(account).burst))
}

/**
 * Drops grants whose lease has expired, and reduces those of which the instance keeps a part. A reduced grant keeps its number: the instance
 * has reduced it before, by its own clock. A later grant that was never sent is dropped with it, as it would reserve share for nobody.
 * @returns whether a grant changed
 */
export function expireGrants (account: ShareAccount, now: Milliseconds): boolean {
  let hasChanged = false
  for (const grant of account.grants) {
    if (!grant.sent || grant.isReduced || now < grant.fullUntil || grant.validUntil <= now) continue
    reduceToKeptPart(grant)
    grant.isReduced = true
    hasChanged = true
  }
  const isUnanswered = hasChanged && account.grants.every(({ sent, isReduced }) => !sent || isReduced)
  const kept = account.grants.filter(({ sent, validUntil }) => sent ? validUntil > now : !isUnanswered)
  hasChanged ||= kept.length < account.grants.length
  account.grants = kept
  return hasChanged
}

/**
 * Renews the share in force under a new lease. A reduced share gets a new number: the answer may be lost, and the instance then keeps the
 * reduced share under its former lease, which counts until the instance acknowledges the new number.
 * @returns the share for the heartbeat answer; null without a grant
 */
export function renewGrant (account: ShareAccount, resource: ResourceId, lease: ShareLease, nextGrantNumber: () => number): GrantedShare | null {
  let last = account.grants.at(-1)
  if (last === undefined) return null
  if (last.isReduced) {
    last = { ...last, grant: nextGrantNumber(), tokens: 0 }
    account.grants.push(last)
  }
  last.sent = true
  Object.assign(last, lease)
  last.isReduced = false
  return { resource, amount: last.amount, burst: last.burst, grant: last.grant, tokens: last.tokens }
}

/** @returns whether the instance can't hold any share */
export function isEmptyAccount (account: ShareAccount): boolean {
  const { amount, burst } = maxHeldOf(account)
  return amount === 0 && burst === 0
}
