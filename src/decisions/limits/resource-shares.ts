import type { Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { ShareAmount } from '../../types/share.js'
import type { ResourceSize } from '../../types/share-allocator.js'
import type { DivisionMember } from './rate-division.js'
import { BURST_RESERVE_RATIO, divideBurst, divideRate, RATE_RESERVE_RATIO } from './rate-division.js'
import type { ShareAccount, ShareClient } from './share-account.js'
import { currentShareOf, issueGrant, maxHeldOf } from './share-account.js'
import type { PlanMember, SharePlan } from './share-plan.js'
import { planShares } from './share-plan.js'
import { divideWhole } from './whole-division.js'

/** State of one resource at the control leader. */
export interface ResourceShares {
  resource: ResourceId
  /** Null once the resource was removed, or while its size is unknown. The leader reclaims the shares of a removed resource. */
  size: ResourceSize | null
  accounts: Set<ShareAccount>
  /** Tokens in the leader's reserve. They were returned by instances, or accrued from the free rate. */
  tokens: number
  /** Size of the resource less the most that all instances together may hold now, in tokens per second. The tokens of this rate accrue to the reserve. */
  freeRate: number
  /** When the reserve tokens were last accrued. */
  countedAt: Milliseconds
  /** The most that instances which this leader has not heard of may hold of shares of former leaders. */
  unreported: ShareAmount
  /** What instances have reported to hold of shares of former leaders. */
  adopted: ShareAmount
  /** Whether all shares of former leaders are known or have expired. */
  areFormerSharesKnown: boolean
  /** Whether a report, an expiry or a new size may have changed the division. */
  isDirty: boolean
  /** Whether the last division left an instance under-allocated, raised shares from a remainder, or exceeded the total. */
  isUnsettled: boolean
  /** When the resource was last divided. */
  balancedAt: Milliseconds
  /** When the leader last reduced the share of an instance other than the reporter. */
  reducedAt: Milliseconds
}

/** @returns a resource without grants */
export function createResourceShares (resource: ResourceId, size: ResourceSize | null): ResourceShares {
  return { resource, size, accounts: new Set(), unreported: { amount: 0, burst: 0 }, adopted: { amount: 0, burst: 0 }, areFormerSharesKnown: false, tokens: 0, freeRate: 0, countedAt: milliseconds(0), isDirty: true, isUnsettled: false, balancedAt: milliseconds(0), reducedAt: milliseconds(-Infinity) }
}

/** An account whose instance has reported recently, with its part in the current division. */
interface Participant {
  account: ShareAccount
  eligible: boolean
  member: DivisionMember
  current: Readonly<ShareAmount>
  maxHeld: Readonly<ShareAmount>
}

interface Target extends ShareAmount {
  isUnderAllocated: boolean
}

/**
 * An instance whose share is below this ratio of its demand and of its target counts as under-allocated. The burst covers
 * a smaller shortfall until the instance reports more demand. Moving share for every fluctuation would multiply the heartbeats.
 */
const UNDER_ALLOCATED_RATIO = 0.8

/** Shortest time between reductions of a resource in favour of under-allocated instances, apart from those of the reporter. Without it, every fluctuating report would cause messages. */
const REDUCTION_GAP_MS = 10

/** Shortest time between reductions of the reporter. The reporter acknowledges each reduction with a heartbeat, and the answer to that heartbeat could reduce its share again. */
const REPEATED_REDUCTION_GAP_MS = 50

function buildParticipant (account: ShareAccount, size: ResourceSize | null, resource: ResourceId): Participant {
  const eligible = size !== null && (size.eligible === null || size.eligible.includes(account.client.instance))
  const demand = eligible ? account.client.demand.get(resource) ?? 0 : 0
  const member = { demand, canHoldSpare: eligible && !account.client.draining }
  return { account, eligible, member, current: currentShareOf(account), maxHeld: maxHeldOf(account) }
}

function computeRateTargets (participants: readonly Participant[], rate: number, burst: number): Target[] {
  const members = participants.map(({ member }) => member)
  const shares = divideRate(rate, members)
  const bursts = divideBurst(burst, members, shares)
  return participants.map(({ member, current }, index) => {
    const amount = shares[index] as number
    const targetBurst = bursts[index] as number
    const needsFirstToken = targetBurst >= 1 && current.burst < 1
    const wanted = Math.min(amount, member.demand)
    const isRateShort = current.amount < UNDER_ALLOCATED_RATIO * wanted
    return { amount, burst: targetBurst, isUnderAllocated: isRateShort || needsFirstToken }
  })
}

/** Shortfall of slots or connections, against the exact proportional share, from which an instance is under-allocated. Below it, fluctuating queues would move units back and forth. */
const MIN_SHORTFALL_UNITS = 0.75

function computeWholeTargets (participants: readonly Participant[], units: number): Target[] {
  const members = participants.map(({ member }) => member)
  const shares = divideWhole(units, members, participants.map(({ current }) => current.amount))
  const demand = members.reduce((sum, member) => sum + member.demand, 0)
  const exactRatio = demand > units ? units / demand : 1
  return participants.map(({ member, current }, index) => {
    const amount = shares[index] as number
    const isBelowTarget = current.amount < Math.min(amount, Math.ceil(member.demand))
    const isAboveThreshold = current.amount === 0 || member.demand * exactRatio >= current.amount + MIN_SHORTFALL_UNITS
    return { amount, burst: 0, isUnderAllocated: isBelowTarget && isAboveThreshold }
  })
}

function buildPlanMembers (participants: readonly Participant[], targets: readonly Target[], quantity: keyof ShareAmount, isAnswered: (account: ShareAccount) => boolean, canReduce: (account: ShareAccount) => boolean, canReturn: boolean): PlanMember[] {
  return participants.map(({ account, eligible, current, maxHeld }, index) => {
    const target = targets[index] as Target
    return {
      current: current[quantity],
      maxHeld: maxHeld[quantity],
      target: target[quantity],
      isUnderAllocated: target.isUnderAllocated,
      shouldReturnExcess: canReturn && (!eligible || account.client.draining),
      answered: isAnswered(account),
      canReduce: canReduce(account)
    }
  })
}

/** Inputs of a division besides the resource. */
export interface DivisionContext {
  now: Milliseconds
  /** Whether the instance of an account has reported recently. An unresponsive instance keeps its share until the lease expires. */
  isResponsive: (account: ShareAccount) => boolean
  /** @returns the number of the next grant */
  nextGrantNumber: () => number
  /** The instance whose heartbeat the leader is answering; null at a tick. A division with a reporter raises no other share. */
  reporter: ShareClient | null
  /** Whether a division without a reporter raises shares. The instances receive the raises with their next heartbeat answers. */
  shouldRaiseAll: boolean
}

interface Division {
  participants: Participant[]
  targets: Target[]
  amounts: SharePlan
  bursts: SharePlan
}

/** Selects the responsive instances, and subtracts from the total what others may still hold: unresponsive instances, and those that have not reported to this leader. */
function collectParticipants (shares: ResourceShares, isResponsive: (account: ShareAccount) => boolean): { participants: Participant[], total: ShareAmount } {
  const { size, resource, unreported } = shares
  const participants: Participant[] = []
  const total = { amount: (size?.amount ?? 0) - unreported.amount, burst: (size?.burst ?? 0) - unreported.burst }
  for (const account of shares.accounts) {
    if (isResponsive(account)) {
      participants.push(buildParticipant(account, size, resource))
      continue
    }
    const held = maxHeldOf(account)
    total.amount -= held.amount
    total.burst -= held.burst
  }
  return { participants, total: { amount: Math.max(0, total.amount), burst: Math.max(0, total.burst) } }
}

function divide (shares: ResourceShares, { now, isResponsive, reporter, shouldRaiseAll }: DivisionContext): Division {
  const { participants, total } = collectParticipants(shares, isResponsive)
  const whole = shares.size?.whole ?? true
  // While shares of former leaders are unknown, the shares that instances have reported are kept as they are, and no reserve is deducted from them.
  const hasReserve = shares.areFormerSharesKnown
  const amount = whole || !hasReserve ? total.amount : total.amount * (1 - RATE_RESERVE_RATIO)
  const burst = hasReserve ? total.burst * (1 - BURST_RESERVE_RATIO) : total.burst
  const targets = whole ? computeWholeTargets(participants, amount) : computeRateTargets(participants, amount, burst)
  const isAnswered = (account: ShareAccount): boolean => reporter === null ? shouldRaiseAll : account.client === reporter
  const canReduce = (account: ShareAccount): boolean => shares.areFormerSharesKnown && (account.client === reporter
    ? now - account.reducedAt >= REPEATED_REDUCTION_GAP_MS
    : now - shares.reducedAt >= REDUCTION_GAP_MS)
  const amounts = planShares(buildPlanMembers(participants, targets, 'amount', isAnswered, canReduce, shares.areFormerSharesKnown), amount, whole)
  const bursts = planShares(buildPlanMembers(participants, targets, 'burst', isAnswered, canReduce, shares.areFormerSharesKnown), burst, false)
  return { participants, targets, amounts, bursts }
}

/** Whether the demand of an instance exceeds its share so far that the leader requests heartbeats without waiting for the next ones. */
function hasUnmetDemand ({ member, current }: Participant, { isUnderAllocated }: Target): boolean {
  return isUnderAllocated && current.amount < member.demand * UNDER_ALLOCATED_RATIO
}

/** Marks instances whose shares can be raised now, so that the leader requests heartbeats from them. The answers then raise the shares. */
function requestHeartbeats ({ participants, targets, amounts }: Division, { now, reporter }: DivisionContext): void {
  participants.forEach((participant, index) => {
    const { account, current } = participant
    const target = targets[index] as Target
    if (account.client === reporter || !hasUnmetDemand(participant, target)) return
    const isEnoughFree = amounts.free > (target.amount - current.amount) * MIN_FREE_SHORTFALL_RATIO
    if (!isEnoughFree || now - account.heartbeatRequestedAt < HEARTBEAT_REQUEST_GAP_MS) return
    account.client.shouldRequestHeartbeat = true
    account.heartbeatRequestedAt = now
  })
}

function issueGrants (shares: ResourceShares, division: Division, { now, nextGrantNumber, reporter }: DivisionContext): void {
  const { participants, targets, amounts, bursts } = division
  const isUrgent = amounts.isOvercommitted || bursts.isOvercommitted ||
    participants.some((participant, index) => hasUnmetDemand(participant, targets[index] as Target))
  const next = participants.map((_, index) => ({ amount: amounts.next[index] as number, burst: bursts.next[index] as number }))
  const tokens = distributeTokens(shares, participants, next, reporter)

  participants.forEach(({ account, current, eligible }, index) => {
    const share = next[index] as ShareAmount
    const issuedTokens = tokens[index] as number
    if (share.amount === current.amount && share.burst === current.burst && issuedTokens === 0) return
    const isReduced = share.amount < current.amount || share.burst < current.burst
    issueGrant(account, share, issuedTokens, nextGrantNumber(), now)
    if (!isReduced) return
    account.reducedAt = now
    // The reporter receives its new share with the answer to its heartbeat.
    if (account.client === reporter) return
    shares.reducedAt = now
    account.client.shouldRequestHeartbeat ||= isUrgent || !eligible
  })
}

/** Divides a resource and issues the resulting grants. */
export function rebalance (shares: ResourceShares, context: DivisionContext): void {
  accrueReserveTokens(shares, context.now)
  shares.isDirty = false
  shares.balancedAt = context.now
  const division = divide(shares, context)
  shares.isUnsettled = division.amounts.isUnsettled || division.bursts.isUnsettled
  requestHeartbeats(division, context)
  issueGrants(shares, division, context)
  updateFreeRate(shares, context.now)
}

/** Ratio of its shortfall that must be free before the leader requests a heartbeat from an under-allocated instance. */
const MIN_FREE_SHORTFALL_RATIO = 0.25

/** Shortest time between two heartbeat requests to an instance whose share can be raised. */
const HEARTBEAT_REQUEST_GAP_MS = 15

/** Time for which the leader covers the excess of a reporter's demand over its share with reserve tokens. */
const TOKEN_ADVANCE_MS = 100

/**
 * Distributes reserve tokens. An instance whose burst is raised receives a proportional part, because the raise lowers the cap of the
 * reserve. The reporter also receives tokens if its demand exceeds its share; the reports of other instances are out of date.
 * @returns tokens per participant
 */
function distributeTokens (shares: ResourceShares, participants: readonly Participant[], next: readonly ShareAmount[], reporter: ShareClient | null): number[] {
  const raises = participants.map(({ current }, index) => Math.max(0, (next[index] as ShareAmount).burst - current.burst))
  const raised = raises.reduce((sum, raise) => sum + raise, 0)
  const tokensPerBurst = raised === 0 ? 0 : Math.min(1, shares.tokens / raised)
  return participants.map(({ account, member, current }, index) => {
    const advance = account.client === reporter ? Math.ceil((member.demand - current.amount) * TOKEN_ADVANCE_MS / 1000) : 0
    const wanted = Math.max(advance, (raises[index] as number) * tokensPerBurst)
    const issuedTokens = Math.max(0, Math.min((next[index] as ShareAmount).burst, wanted, shares.tokens))
    shares.tokens -= issuedTokens
    return issuedTokens
  })
}

/** Adds the tokens that the free rate has accrued to the reserve. Call it before shares are granted, acknowledged or expired, because each of these changes the free rate. */
export function accrueReserveTokens (shares: ResourceShares, now: Milliseconds): void {
  shares.tokens += shares.freeRate * Math.max(0, now - shares.countedAt) / 1000
  shares.countedAt = now
  capReserveTokens(shares)
}

/** Recomputes the free rate. Call it after shares were granted, acknowledged or expired. */
export function updateFreeRate (shares: ResourceShares, now: Milliseconds): void {
  let free = shares.size === null || shares.size.whole ? 0 : shares.size.amount - shares.unreported.amount
  for (const account of shares.accounts) free -= maxHeldOf(account).amount
  shares.freeRate = Math.max(0, free)
  shares.countedAt = now
  capReserveTokens(shares)
}

/** Caps the reserve so that its tokens and the bursts that instances may hold never exceed the burst of the resource. */
function capReserveTokens (shares: ResourceShares): void {
  let free = (shares.size?.burst ?? 0) - shares.unreported.burst
  for (const account of shares.accounts) free -= maxHeldOf(account).burst
  shares.tokens = Math.max(0, Math.min(shares.tokens, free))
}
