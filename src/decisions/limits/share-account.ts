import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { IncarnationId, InstanceId, ResourceId } from '../../types/ids.js'
import type { GrantedShare, HeldShare, ShareAmount } from '../../types/share.js'
import { leaderShareLeaseMs } from './share-lease.js'

/** One run of an instance, as the leader knows it. */
export interface ShareClient {
  instance: InstanceId
  incarnation: IncarnationId
  draining: boolean
  /** Whether the instance has reported under the term of this leader. Nothing is granted to it before. */
  termKnown: boolean
  /** Time without any share before its first report to this leader, in milliseconds. */
  idleMs: number
  /** Another incarnation of the instance has reported later. */
  superseded: boolean
  reportedAt: Milliseconds
  demand: Map<ResourceId, number>
  /** Requests for a heartbeat that were sent lately, as the time that they take at the permitted rate. */
  askedUntil: Milliseconds
  accounts: Map<ResourceId, ShareAccount>
  /** Whether the instance should be asked for a heartbeat because its share changes. */
  urgent: boolean
}

interface IssuedGrant extends ShareAmount {
  grant: number
  tokens: number
  /** Whether an answer may have carried it. */
  sent: boolean
  /** On the leader's clock; only of use once it was sent. */
  expiresAt: Milliseconds
}

/** What the leader granted of one resource to one run of an instance. */
export interface ShareAccount {
  client: ShareClient
  /** Grants that the instance may hold, oldest first; the last one is in force. */
  grants: IssuedGrant[]
  /** When the instance was asked last because its share can be raised. */
  askedAt: Milliseconds
  /** When its share was reduced last. */
  reducedAt: Milliseconds
}

const nothing: ShareAmount = { amount: 0, burst: 0 }

/** @returns the share in force */
export function currentShare (account: ShareAccount): Readonly<ShareAmount> {
  return account.grants.at(-1) ?? nothing
}

/** @returns the most that the instance may hold, whatever messages were lost */
export function mostHeld (account: ShareAccount): Readonly<ShareAmount> {
  const [first] = account.grants
  if (first !== undefined && account.grants.length === 1) return first
  const most = { amount: 0, burst: 0 }
  for (const { amount, burst } of account.grants) {
    most.amount = Math.max(most.amount, amount)
    most.burst = Math.max(most.burst, burst)
  }
  return most
}

/** Puts a new grant in force. One that was not sent yet is changed in place, so that its tokens aren't lost. */
export function issueGrant (account: ShareAccount, share: ShareAmount, tokens: number, grant: number, now: Milliseconds): void {
  const last = account.grants.at(-1)
  if (last !== undefined && !last.sent) {
    last.amount = share.amount
    last.burst = share.burst
    last.tokens = Math.min(share.burst, last.tokens + tokens)
    return
  }
  account.grants.push({ ...share, grant, tokens, sent: false, expiresAt: now })
}

/** Adopts a share that an earlier leader granted. */
export function adoptShare (account: ShareAccount, held: HeldShare, expiresAt: Milliseconds): void {
  account.grants = [{ amount: held.amount, burst: held.burst, grant: held.grant, tokens: 0, sent: true, expiresAt }]
}

/** @returns whether a report shows that an earlier grant is no longer held */
export function acknowledges (account: ShareAccount, held: HeldShare): boolean {
  return account.grants.findIndex(({ grant, sent }) => sent && grant === held.grant) > 0
}

/** Drops the grants before the reported one. @returns tokens given back */
export function acknowledgeGrant (account: ShareAccount, held: HeldShare): number {
  const before = mostHeld(account).burst
  account.grants = account.grants.slice(account.grants.findIndex(({ grant }) => grant === held.grant))
  return Math.max(0, Math.min(held.returnedTokens, before - mostHeld(account).burst))
}

/** @returns whether a grant ran out */
export function expireGrants (account: ShareAccount, now: Milliseconds): boolean {
  const kept = account.grants.filter(({ sent, expiresAt }) => !sent || expiresAt > now)
  if (kept.length === account.grants.length) return false
  account.grants = kept
  return true
}

/** Renews the lease of the share in force, counted from now. */
export function renewGrant (account: ShareAccount, resource: ResourceId, now: Milliseconds): GrantedShare | null {
  const last = account.grants.at(-1)
  if (last === undefined) return null
  last.sent = true
  last.expiresAt = addTime(now, leaderShareLeaseMs)
  return { resource, amount: last.amount, burst: last.burst, grant: last.grant, tokens: last.tokens }
}

/** @returns whether the share is zero and the instance can hold nothing else */
export function isEmptyAccount (account: ShareAccount): boolean {
  const { amount, burst } = mostHeld(account)
  return amount === 0 && burst === 0
}
