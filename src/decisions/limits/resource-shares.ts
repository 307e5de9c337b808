import type { Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { ShareAmount } from '../../types/share.js'
import type { ResourceSize } from '../../types/share-allocator.js'
import type { DivisionMember } from './rate-division.js'
import { burstReserveRatio, divideBurst, divideRate, rateReserveRatio } from './rate-division.js'
import type { ShareAccount, ShareClient } from './share-account.js'
import { currentShare, issueGrant, mostHeld } from './share-account.js'
import type { PlanMember, SharePlan } from './share-plan.js'
import { planShares } from './share-plan.js'
import { divideWhole } from './whole-division.js'

/** What the leader knows of one resource. */
export interface ResourceShares {
  resource: ResourceId
  /** Null once the resource is gone; its shares are then taken back. */
  size: ResourceSize | null
  accounts: Set<ShareAccount>
  /** Tokens that the leader keeps: given back by instances, or earned by the rate that nobody may hold. */
  tokens: number
  /** Rate that nobody may hold, in tokens per second. */
  freeRate: number
  /** When the tokens were counted last. */
  countedAt: Milliseconds
  /** Whether a report or an expiry may have changed the division. */
  dirty: boolean
  /** Whether an instance lacks share, or share is left over. */
  unsettled: boolean
  balancedAt: Milliseconds
  reducedAt: Milliseconds
}

/** @returns a resource of which nothing is granted */
export function newResourceShares (resource: ResourceId, size: ResourceSize | null): ResourceShares {
  return { resource, size, accounts: new Set(), tokens: 0, freeRate: 0, countedAt: milliseconds(0), dirty: true, unsettled: false, balancedAt: milliseconds(0), reducedAt: milliseconds(-Infinity) }
}

/** An account whose instance reported lately. */
interface Participant {
  account: ShareAccount
  eligible: boolean
  member: DivisionMember
  current: Readonly<ShareAmount>
  most: Readonly<ShareAmount>
}

interface Target extends ShareAmount {
  needy: boolean
}

/**
 * Part of its demand and target below which an instance counts as needy. A smaller shortage is covered by the burst
 * until the instance reports more; moving share for each fluctuation of demand would multiply the heartbeats.
 */
const needyRatio = 0.8

/** Shortest time between reductions for needy instances, so that fluctuating reports don't each cause messages. */
const reductionGapMs = 10

/** The same for one instance: each of its acknowledgements is a heartbeat, whose answer could reduce its share again. */
const repeatedReductionGapMs = 50

function participantOf (account: ShareAccount, size: ResourceSize | null, resource: ResourceId): Participant {
  const eligible = size !== null && (size.eligible === null || size.eligible.includes(account.client.instance))
  const demand = eligible ? account.client.demand.get(resource) ?? 0 : 0
  const member = { demand, spare: eligible && !account.client.draining }
  return { account, eligible, member, current: currentShare(account), most: mostHeld(account) }
}

function rateTargets (participants: readonly Participant[], rate: number, burst: number): Target[] {
  const members = participants.map(({ member }) => member)
  const parts = divideRate(rate, members)
  const bursts = divideBurst(burst, members, parts)
  return participants.map(({ member, current }, index) => {
    const amount = parts[index] as number
    const targetBurst = bursts[index] as number
    const lacksToken = targetBurst >= 1 && current.burst < 1
    const wanted = Math.min(amount, member.demand)
    const lacksRate = current.amount < needyRatio * wanted
    return { amount, burst: targetBurst, needy: lacksRate || lacksToken }
  })
}

/** Units that an instance must be short of its exact part by; fluctuating queues would otherwise move units to and fro. */
const notableUnits = 0.75

function wholeTargets (participants: readonly Participant[], units: number): Target[] {
  const members = participants.map(({ member }) => member)
  const parts = divideWhole(units, members, participants.map(({ current }) => current.amount))
  const demand = members.reduce((sum, member) => sum + member.demand, 0)
  const exactRatio = demand > units ? units / demand : 1
  return participants.map(({ member, current }, index) => {
    const amount = parts[index] as number
    const isShort = current.amount < Math.min(amount, Math.ceil(member.demand))
    const isNotable = current.amount === 0 || member.demand * exactRatio >= current.amount + notableUnits
    return { amount, burst: 0, needy: isShort && isNotable }
  })
}

function planMembers (participants: readonly Participant[], targets: readonly Target[], quantity: keyof ShareAmount, isAnswered: (account: ShareAccount) => boolean, mayReduce: (account: ShareAccount) => boolean): PlanMember[] {
  return participants.map(({ account, eligible, current, most }, index) => {
    const target = targets[index] as Target
    return {
      current: current[quantity],
      mostHeld: most[quantity],
      target: target[quantity],
      needy: target.needy,
      givesBack: !eligible || account.client.draining,
      answered: isAnswered(account),
      mayReduce: mayReduce(account)
    }
  })
}

/** What a division depends on besides the resource. */
export interface DivisionContext {
  now: Milliseconds
  /** Whether an instance reported lately. The share of another one is left with it until it runs out. */
  isResponsive: (account: ShareAccount) => boolean
  /** Numbers a grant. */
  nextGrant: () => number
  /** The instance whose heartbeat is being answered, if any; only its share is raised. */
  reporter: ShareClient | null
  /** Whether shares are raised without a reporter; they then wait for the next heartbeats. */
  raiseAll: boolean
}

interface Division {
  participants: Participant[]
  targets: Target[]
  amounts: SharePlan
  bursts: SharePlan
}

/** Separates the instances that take part from what others may still hold. */
function collectParticipants (shares: ResourceShares, isResponsive: (account: ShareAccount) => boolean): { participants: Participant[], total: ShareAmount } {
  const { size, resource } = shares
  const participants: Participant[] = []
  const total = { amount: size?.amount ?? 0, burst: size?.burst ?? 0 }
  for (const account of shares.accounts) {
    if (isResponsive(account)) {
      participants.push(participantOf(account, size, resource))
      continue
    }
    const held = mostHeld(account)
    total.amount -= held.amount
    total.burst -= held.burst
  }
  return { participants, total: { amount: Math.max(0, total.amount), burst: Math.max(0, total.burst) } }
}

function divide (shares: ResourceShares, { now, isResponsive, reporter, raiseAll }: DivisionContext): Division {
  const { participants, total } = collectParticipants(shares, isResponsive)
  const whole = shares.size?.whole ?? true
  const amount = whole ? total.amount : total.amount * (1 - rateReserveRatio)
  const burst = total.burst * (1 - burstReserveRatio)
  const targets = whole ? wholeTargets(participants, amount) : rateTargets(participants, amount, burst)
  const isAnswered = (account: ShareAccount): boolean => reporter === null ? raiseAll : account.client === reporter
  const mayReduce = (account: ShareAccount): boolean => account.client === reporter
    ? now - account.reducedAt >= repeatedReductionGapMs
    : now - shares.reducedAt >= reductionGapMs
  const amounts = planShares(planMembers(participants, targets, 'amount', isAnswered, mayReduce), amount, whole)
  const bursts = planShares(planMembers(participants, targets, 'burst', isAnswered, mayReduce), burst, false)
  return { participants, targets, amounts, bursts }
}

/** Whether demand exceeds the share by so much that other instances are to be asked for a heartbeat. */
function isWanting ({ member, current }: Participant, { needy }: Target): boolean {
  return needy && current.amount < member.demand * needyRatio
}

/** Asks instances for a heartbeat whose shares can be raised now. */
function askForReports ({ participants, targets, amounts }: Division, { now, reporter }: DivisionContext): void {
  participants.forEach((participant, index) => {
    const { account, current } = participant
    const target = targets[index] as Target
    if (account.client === reporter || !isWanting(participant, target)) return
    const isWorth = amounts.free > (target.amount - current.amount) * worthAskingRatio
    if (!isWorth || now - account.askedAt < askGapMs) return
    account.client.urgent = true
    account.askedAt = now
  })
}

function issueGrants (shares: ResourceShares, division: Division, { now, nextGrant, reporter }: DivisionContext): void {
  const { participants, targets, amounts, bursts } = division
  const isPressing = amounts.overcommitted || bursts.overcommitted ||
    participants.some((participant, index) => isWanting(participant, targets[index] as Target))
  const next = participants.map((_, index) => ({ amount: amounts.next[index] as number, burst: bursts.next[index] as number }))
  const tokens = passTokens(shares, participants, next, reporter)

  participants.forEach(({ account, current, eligible }, index) => {
    const share = next[index] as ShareAmount
    const passed = tokens[index] as number
    if (share.amount === current.amount && share.burst === current.burst && passed === 0) return
    const givesUp = share.amount < current.amount || share.burst < current.burst
    issueGrant(account, share, passed, nextGrant(), now)
    if (!givesUp) return
    account.reducedAt = now
    // The reporter gets its share with the answer that follows.
    if (account.client === reporter) return
    shares.reducedAt = now
    account.client.urgent ||= isPressing || !eligible
  })
}

/** Divides a resource again and issues the grants that follow. */
export function rebalance (shares: ResourceShares, context: DivisionContext): void {
  fillReserve(shares, context.now)
  shares.dirty = false
  shares.balancedAt = context.now
  const division = divide(shares, context)
  shares.unsettled = division.amounts.unsettled || division.bursts.unsettled
  askForReports(division, context)
  issueGrants(shares, division, context)
  recountReserve(shares, context.now)
}

/** Part of its need that must be free before an instance is asked for a heartbeat, which raises its share. */
const worthAskingRatio = 0.25

/** Shortest time between two such requests to one instance, in milliseconds. */
const askGapMs = 15

/** Time for which an instance gets the tokens that its demand exceeds its share by, in milliseconds. */
const tokenAdvanceMs = 100

/**
 * Passes tokens on: along with raised bursts, since the burst leaves no room to keep them,
 * and to the reporter if its demand exceeds its share. What others reported is out of date.
 */
function passTokens (shares: ResourceShares, participants: readonly Participant[], next: readonly ShareAmount[], reporter: ShareClient | null): number[] {
  const raises = participants.map(({ current }, index) => Math.max(0, (next[index] as ShareAmount).burst - current.burst))
  const raised = raises.reduce((sum, raise) => sum + raise, 0)
  const along = raised === 0 ? 0 : Math.min(1, shares.tokens / raised)
  return participants.map(({ account, member, current }, index) => {
    const missing = account.client === reporter ? Math.ceil((member.demand - current.amount) * tokenAdvanceMs / 1000) : 0
    const wanted = Math.max(missing, (raises[index] as number) * along)
    const passed = Math.max(0, Math.min((next[index] as ShareAmount).burst, wanted, shares.tokens))
    shares.tokens -= passed
    return passed
  })
}

/** Counts the tokens that the free rate earned. Call before anything is granted, acknowledged or run out. */
export function fillReserve (shares: ResourceShares, now: Milliseconds): void {
  shares.tokens += shares.freeRate * Math.max(0, now - shares.countedAt) / 1000
  shares.countedAt = now
  keepTokensWithinBurst(shares)
}

/** Determines the free rate after grants, acknowledgements or expiry. */
export function recountReserve (shares: ResourceShares, now: Milliseconds): void {
  let free = shares.size === null || shares.size.whole ? 0 : shares.size.amount
  for (const account of shares.accounts) free -= mostHeld(account).amount
  shares.freeRate = Math.max(0, free)
  shares.countedAt = now
  keepTokensWithinBurst(shares)
}

/** The tokens that the leader keeps and all that instances may hold stay within the burst together. */
function keepTokensWithinBurst (shares: ResourceShares): void {
  let free = shares.size?.burst ?? 0
  for (const account of shares.accounts) free -= mostHeld(account).burst
  shares.tokens = Math.max(0, Math.min(shares.tokens, free))
}
