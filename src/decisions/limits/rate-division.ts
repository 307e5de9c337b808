/** An instance that takes part in a division. */
export interface DivisionMember {
  /** Requests per second, slots or connections wanted. */
  demand: number
  /** Whether the instance gets a part without demand; a draining one doesn't. */
  spare: boolean
}

/** Parts of a rate and of a burst that the leader keeps; it passes their tokens to instances that run out. */
export const rateReserveRatio = 0.05
export const burstReserveRatio = 0.1

/** Part of a rate that is spread evenly even when demand exceeds the rate. */
const minimumSpareRatio = 0.01

/** Of what demand leaves over, the part that follows demand, as headroom for its fluctuations. The rest is spread evenly. */
const headroomRatio = 0.7

/**
 * Divides a rate by demand. Of what demand leaves over, a part follows demand, as headroom for its fluctuations;
 * the rest is spread evenly, so that an instance whose demand jumps from nothing can serve at once.
 * @param rate - requests per second to divide
 * @returns one part per member; the sum is at most `rate`
 */
export function divideRate (rate: number, members: readonly DivisionMember[]): number[] {
  const spareMembers = members.filter((member) => member.spare).length
  const demand = members.reduce((sum, member) => sum + member.demand, 0)
  if (rate <= 0) return members.map(() => 0)
  if (demand === 0) return members.map(({ spare }) => spare ? rate / spareMembers : 0)
  const surplus = Math.max(rate - demand, rate * minimumSpareRatio)
  const evenPart = spareMembers === 0 ? 0 : surplus * (1 - headroomRatio) / spareMembers
  const ratio = (rate - surplus * (1 - headroomRatio)) / demand
  return members.map((member) => member.demand * ratio + (member.spare ? evenPart : 0))
}

/**
 * Divides a burst along with a rate. A bucket that holds less than one token never admits a request,
 * so instances get one token each before the rest follows the rate: those with the greatest demand first,
 * and those without demand only while that takes at most half of the burst.
 * @param burst - requests to divide
 * @param rateParts - the parts of the rate, in the same order as `members`
 * @returns one part per member; the sum is at most `burst`
 */
export function divideBurst (burst: number, members: readonly DivisionMember[], rateParts: readonly number[]): number[] {
  const order = members.map((_, index) => index).filter((index) => (rateParts[index] as number) > 0)
  order.sort((left, right) => (members[right] as DivisionMember).demand - (members[left] as DivisionMember).demand)
  const demanding = order.filter((index) => (members[index] as DivisionMember).demand > 0).length
  const served = Math.min(Math.floor(burst), Math.max(demanding, Math.min(order.length, Math.floor(burst / 2))))
  const parts = members.map(() => 0)
  const chosen = order.slice(0, served)
  const chosenRate = chosen.reduce((sum, index) => sum + (rateParts[index] as number), 0)
  for (const index of chosen) parts[index] = 1 + (burst - served) * (rateParts[index] as number) / chosenRate
  return parts
}
