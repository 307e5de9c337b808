/** One of the instances among which a resource is divided. */
export interface DivisionMember {
  /** Demand in requests per second, slots or connections. */
  demand: number
  /** Whether the instance gets a share beyond its demand. Draining and ineligible instances do not. */
  canHoldSpare: boolean
}

/** Ratio of a rate that the leader does not divide. The tokens of this part accrue in the leader's reserve. The leader grants them to instances whose demand exceeds their share. */
export const RATE_RESERVE_RATIO = 0.05

/** Ratio of a burst that the leader does not divide. This part leaves room for the tokens of the reserve. */
export const BURST_RESERVE_RATIO = 0.1

/** Ratio of a rate that counts as surplus even when demand exceeds the rate, so that instances without demand keep a small share. */
const MIN_SURPLUS_RATIO = 0.01

/** Ratio of the surplus that is divided by demand, as headroom for fluctuations. The rest is divided evenly. */
const HEADROOM_RATIO = 0.7

/**
 * Divides a rate by demand. A part of the surplus also follows demand, as headroom for fluctuations.
 * The rest of the surplus is divided evenly, so that an instance whose demand rises from zero can serve at once.
 * @param rate - requests per second to divide
 * @param members - instances among which the rate is divided
 * @returns one share per member, in requests per second; the sum is at most `rate`
 */
export function divideRate (rate: number, members: readonly DivisionMember[]): number[] {
  const spareMemberCount = members.filter((member) => member.canHoldSpare).length
  const demand = members.reduce((sum, member) => sum + member.demand, 0)
  if (rate <= 0) return members.map(() => 0)
  if (demand === 0) return members.map(({ canHoldSpare }) => canHoldSpare ? rate / spareMemberCount : 0)
  const surplus = Math.max(rate - demand, rate * MIN_SURPLUS_RATIO)
  const evenShare = spareMemberCount === 0 ? 0 : surplus * (1 - HEADROOM_RATIO) / spareMemberCount
  const ratio = (rate - surplus * (1 - HEADROOM_RATIO)) / demand
  return members.map((member) => member.demand * ratio + (member.canHoldSpare ? evenShare : 0))
}

/**
 * Divides a burst in step with a rate. A bucket that can't hold a whole token never admits a request.
 * Each served instance therefore gets one token first, and the rest of the burst follows the rate.
 * Instances with the greatest demand are served first. Instances without demand are served only
 * while the first tokens take at most half of the burst.
 * @param burst - requests to divide
 * @param members - instances among which the burst is divided
 * @param rateShares - shares of the rate, in the same order as `members`
 * @returns one share per member, in requests; the sum is at most `burst`
 */
export function divideBurst (burst: number, members: readonly DivisionMember[], rateShares: readonly number[]): number[] {
  const order = members.map((_, index) => index).filter((index) => (rateShares[index] as number) > 0)
  order.sort((left, right) => (members[right] as DivisionMember).demand - (members[left] as DivisionMember).demand)
  const demandingCount = order.filter((index) => (members[index] as DivisionMember).demand > 0).length
  const servedCount = Math.min(Math.floor(burst), Math.max(demandingCount, Math.min(order.length, Math.floor(burst / 2))))
  const shares = members.map(() => 0)
  const servedIndexes = order.slice(0, servedCount)
  const servedRate = servedIndexes.reduce((sum, index) => sum + (rateShares[index] as number), 0)
  for (const index of servedIndexes) shares[index] = 1 + (burst - servedCount) * (rateShares[index] as number) / servedRate
  return shares
}
