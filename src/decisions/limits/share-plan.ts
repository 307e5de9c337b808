/** One instance in the plan for one quantity: rate, burst, slots or connections. */
export interface PlanMember {
  /** Share in force. */
  current: number
  /** Largest share that the instance may still hold. */
  maxHeld: number
  target: number
  /** Whether the leader reclaims share from other instances for this one. */
  isUnderAllocated: boolean
  /** Whether the instance returns its share above the target even if no instance is under-allocated. */
  shouldReturnExcess: boolean
  /**
   * Whether the plan may raise the share: the instance is about to receive a heartbeat answer, or the plan raises all members.
   * Any other raise would stay unused until the next heartbeat of the instance.
   */
  answered: boolean
  /** Whether the leader may reduce the share now in favour of an under-allocated instance. */
  canReduce: boolean
}

function sumOf (members: readonly PlanMember[], value: (member: PlanMember, index: number) => number): number {
  return members.reduce((sum, member, index) => sum + value(member, index), 0)
}

/**
 * Reclaims share from the members with the greatest excess first, so that few instances have to acknowledge a reduction.
 * @param ignoredExcess - excess up to which a member is not reduced, because the gain is not worth a message
 */
function reduceDonorShares (members: readonly PlanMember[], next: number[], shortage: number, ignoredExcess: number, isDonor: (member: PlanMember) => boolean): void {
  const donors = members
    .map((member, index) => ({ index, excess: isDonor(member) ? (next[index] as number) - member.target : 0 }))
    .filter(({ excess }) => excess > ignoredExcess)
    .sort((left, right) => right.excess - left.excess)
  let missing = shortage
  for (const { index, excess } of donors) {
    if (missing <= 0) return
    const reclaimed = Math.min(excess, missing)
    next[index] = (next[index] as number) - reclaimed
    missing -= reclaimed
  }
}

/**
 * Raises members towards their targets out of `free`: in proportion to their shortfalls, or for whole units the greatest shortfall first.
 * A raise costs only its part above the largest share that the member may still hold, since `free` excludes that share already.
 * A member whose share the plan may not raise stays as it is, but the cost of its raise is deducted from `free`.
 * @returns what remains of `free`
 */
function raiseShares (members: readonly PlanMember[], next: number[], free: number, whole: boolean, isRaised: (member: PlanMember) => boolean): number {
  const shortfalls = members.map((member, index) => isRaised(member) ? Math.max(0, member.target - (next[index] as number)) : 0)
  const costs = members.map((member, index) => Math.max(0, (next[index] as number) + (shortfalls[index] as number) - Math.max(member.maxHeld, next[index] as number)))
  const cost = costs.reduce((sum, value) => sum + value, 0)
  const ratio = cost <= free ? 1 : free / cost
  let remaining = free
  const order = shortfalls.map((_, index) => index).sort((a, b) => (shortfalls[b] as number) - (shortfalls[a] as number))
  for (const index of order) {
    const cost = costs[index] as number
    const paid = whole ? Math.min(cost, Math.floor(remaining)) : cost * ratio
    remaining -= paid
    if ((members[index] as PlanMember).answered) next[index] = (next[index] as number) + (shortfalls[index] as number) - cost + paid
  }
  return Math.max(0, remaining)
}

export interface SharePlan {
  /** Next share of each member. */
  next: number[]
  /** Whether the grants of the members exceed the total, so that shares have to shrink. */
  isOvercommitted: boolean
  /** Whether a member stays under-allocated, the grants exceed the total, or a remainder was worth raising others. */
  isUnsettled: boolean
  /** Share that is free for under-allocated members, before the raises of this plan. */
  free: number
}

/**
 * Plans the next shares of one quantity. The plan moves shares only towards under-allocated members, so that fluctuations
 * of demand cause no messages. Raises use only what no instance can hold. Share that a donor returns becomes usable
 * once the donor has acknowledged the reduction.
 * @param total - largest sum of the shares of all members
 * @param whole - whether shares are whole numbers
 */
export function planShares (members: readonly PlanMember[], total: number, whole: boolean): SharePlan {
  const next = members.map(({ current, target, shouldReturnExcess }) => shouldReturnExcess ? Math.min(current, target) : current)
  const neededShare = sumOf(members, (member, index) => member.isUnderAllocated ? Math.max(0, member.target - (next[index] as number)) : 0)
  const granted = next.reduce((sum, value) => sum + value, 0)
  // The tolerance covers rounding errors of the sum.
  const isOvercommitted = granted > total * (1 + 1e-9)
  const ignoredExcess = whole || isOvercommitted ? 0 : total * 0.002
  const isDonor = ({ isUnderAllocated, canReduce }: PlanMember) => !isUnderAllocated && (canReduce || isOvercommitted)
  reduceDonorShares(members, next, neededShare + granted - total, ignoredExcess, isDonor)
  const held = sumOf(members, (member, index) => Math.max(member.maxHeld, next[index] as number))
  const free = Math.max(0, total - held)
  const remaining = raiseShares(members, next, free, whole, (member) => member.isUnderAllocated)
  // Distributing a smaller remainder would cause messages for almost no gain.
  const isWorthRaising = whole ? remaining >= 1 : remaining > total * 0.02
  if (isWorthRaising) raiseShares(members, next, remaining, whole, () => true)
  // A smaller shortfall is not worth another division.
  const hasShortfall = members.some((member, index) => member.isUnderAllocated && (next[index] as number) < member.target * 0.99)
  return { next, isOvercommitted, free, isUnsettled: hasShortfall || isOvercommitted || isWorthRaising }
}
