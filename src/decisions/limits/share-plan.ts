/** One instance in the plan for one quantity (rate, burst, slots or connections). */
export interface PlanMember {
  /** Granted now. */
  current: number
  /** Most that the instance may still hold. */
  mostHeld: number
  target: number
  /** Whether the instance lacks share and others are to give up theirs for it. */
  needy: boolean
  /** Whether the instance gives up what is above its target even if nobody needs it. */
  givesBack: boolean
  /** Whether an answer is due to the instance. A raise for another one would be kept from use until its next heartbeat. */
  answered: boolean
  /** Whether the instance may be asked now to give up share for a needy one. */
  mayReduce: boolean
}

function sumOf (members: readonly PlanMember[], value: (member: PlanMember, index: number) => number): number {
  return members.reduce((sum, member, index) => sum + value(member, index), 0)
}

/** Takes from the greatest excesses first, so that few instances have to acknowledge. */
function reduceDonors (members: readonly PlanMember[], next: number[], shortage: number, ignoredExcess: number, isDonor: (member: PlanMember) => boolean): void {
  const donors = members
    .map((member, index) => ({ index, excess: isDonor(member) ? (next[index] as number) - member.target : 0 }))
    .filter(({ excess }) => excess > ignoredExcess)
    .sort((left, right) => right.excess - left.excess)
  let missing = shortage
  for (const { index, excess } of donors) {
    if (missing <= 0) return
    const taken = Math.min(excess, missing)
    next[index] = (next[index] as number) - taken
    missing -= taken
  }
}

/** Raises members towards their targets out of `free`; in proportion, or for whole units the most wanting first. */
function raise (members: readonly PlanMember[], next: number[], free: number, whole: boolean, chosen: (member: PlanMember) => boolean): number {
  const wants = members.map((member, index) => chosen(member) ? Math.max(0, member.target - (next[index] as number)) : 0)
  const costs = members.map((member, index) => Math.max(0, (next[index] as number) + (wants[index] as number) - Math.max(member.mostHeld, next[index] as number)))
  const cost = costs.reduce((sum, value) => sum + value, 0)
  const ratio = cost <= free ? 1 : free / cost
  let left = free
  const order = wants.map((_, index) => index).sort((a, b) => (wants[b] as number) - (wants[a] as number))
  for (const index of order) {
    const cost = costs[index] as number
    const paid = whole ? Math.min(cost, Math.floor(left)) : cost * ratio
    left -= paid
    if ((members[index] as PlanMember).answered) next[index] = (next[index] as number) + (wants[index] as number) - cost + paid
  }
  return Math.max(0, left)
}

export interface SharePlan {
  /** Next share of each member. */
  next: number[]
  /** Whether the members have been granted more than the total, which then must shrink. */
  overcommitted: boolean
  /** Whether a need is still unfilled or share is left over. */
  unsettled: boolean
  /** Share that is free for needy members, before the raises of this plan. */
  free: number
}

/**
 * Plans the next shares of one quantity. Shares only move for a needy instance, so that fluctuations of demand
 * cause no messages. Raises come out of what nobody may hold; what donors give up follows once they acknowledged it.
 * @param total - what the members may hold together
 */
export function planShares (members: readonly PlanMember[], total: number, whole: boolean): SharePlan {
  const next = members.map(({ current, target, givesBack }) => givesBack ? Math.min(current, target) : current)
  const needed = sumOf(members, (member, index) => member.needy ? Math.max(0, member.target - (next[index] as number)) : 0)
  const granted = next.reduce((sum, value) => sum + value, 0)
  const overcommitted = granted > total * (1 + 1e-9)
  const ignoredExcess = whole || overcommitted ? 0 : total * 0.002
  const isDonor = ({ needy, mayReduce }: PlanMember) => !needy && (mayReduce || overcommitted)
  reduceDonors(members, next, needed + granted - total, ignoredExcess, isDonor)
  const held = sumOf(members, (member, index) => Math.max(member.mostHeld, next[index] as number))
  const free = Math.max(0, total - held)
  const left = raise(members, next, free, whole, (member) => member.needy)
  const worthRaising = whole ? left >= 1 : left > total * 0.02
  if (worthRaising) raise(members, next, left, whole, () => true)
  const unfilled = members.some((member, index) => member.needy && (next[index] as number) < member.target * 0.99)
  return { next, overcommitted, free, unsettled: unfilled || overcommitted || worthRaising }
}
