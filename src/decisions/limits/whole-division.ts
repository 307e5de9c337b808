import type { DivisionMember } from './rate-division.js'

/** Ratio of the units that go to instances without demand, one unit each, while demand exceeds the resource. These instances can then serve their first requests at once. */
const SPARE_RATIO = 0.1

/**
 * Assigns `count` units one at a time to the member with the highest priority above zero.
 * Of members with equal priority, the one whose held units exceed its new share by more receives the unit.
 */
function assignUnits (shares: number[], count: number, held: readonly number[], priorityOf: (index: number) => number): void {
  for (let assigned = 0; assigned < count; assigned++) {
    let best = -1
    for (let index = 0; index < shares.length; index++) {
      if (priorityOf(index) <= 0) continue
      if (best === -1 || priorityOf(index) > priorityOf(best) || (priorityOf(index) === priorityOf(best) && hasMoreHeldUnits(index, best, shares, held))) best = index
    }
    if (best === -1) return
    shares[best] = (shares[best] as number) + 1
  }
}

function hasMoreHeldUnits (left: number, right: number, shares: readonly number[], held: readonly number[]): boolean {
  return (held[left] as number) - (shares[left] as number) > (held[right] as number) - (shares[right] as number)
}

function sumOf (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/**
 * Divides a resource of whole units, such as slots. When demand exceeds the resource, a small part goes to instances without demand.
 * Each instance with demand then gets one unit while units remain, and the rest follows demand.
 * Otherwise each instance gets its demand, and the remainder is divided evenly.
 * @param units - whole units to divide
 * @param members - instances among which the units are divided
 * @param held - units that each member holds now; they break ties, so that shares do not move without need
 * @returns one whole share per member; the sum is `units` if any member can hold spare units, and at most `units` otherwise
 */
export function divideWhole (units: number, members: readonly DivisionMember[], held: readonly number[]): number[] {
  const total = Math.max(0, Math.floor(units))
  const demands = members.map(({ demand }) => Math.ceil(demand))
  const shares = members.map(() => 0)
  const demandOf = (index: number) => demands[index] as number
  const shareOf = (index: number) => shares[index] as number
  const canHoldSpareAt = (index: number) => (members[index] as DivisionMember).canHoldSpare
  if (sumOf(demands) > total) {
    assignUnits(shares, Math.floor(total * SPARE_RATIO), held, (index) => canHoldSpareAt(index) && demandOf(index) === 0 && shareOf(index) === 0 ? 1 : 0)
    assignUnits(shares, total - sumOf(shares), held, (index) => shareOf(index) === 0 ? demandOf(index) : 0)
    // Sainte-Laguë method: the next unit goes to the member with the highest demand / (2 × share + 1).
    assignUnits(shares, total - sumOf(shares), held, (index) => shareOf(index) < demandOf(index) ? demandOf(index) / (2 * shareOf(index) + 1) : 0)
    return shares
  }
  for (let index = 0; index < shares.length; index++) shares[index] = demandOf(index)
  assignUnits(shares, total - sumOf(shares), held, (index) => canHoldSpareAt(index) ? 1 / (1 + shareOf(index) - demandOf(index)) : 0)
  return shares
}
