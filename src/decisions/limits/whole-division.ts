import type { DivisionMember } from './rate-division.js'

/** Part of a resource that is kept for instances without demand while demand exceeds the resource. */
const spareRatio = 0.1

/** Gives `count` units one at a time to the member with the highest claim; ties go to the one that holds more now. */
function giveOut (parts: number[], count: number, held: readonly number[], claim: (index: number) => number): void {
  for (let given = 0; given < count; given++) {
    let best = -1
    for (let index = 0; index < parts.length; index++) {
      if (claim(index) <= 0) continue
      if (best === -1 || claim(index) > claim(best) || (claim(index) === claim(best) && isHeldMore(index, best, parts, held))) best = index
    }
    if (best === -1) return
    parts[best] = (parts[best] as number) + 1
  }
}

function isHeldMore (left: number, right: number, parts: readonly number[], held: readonly number[]): boolean {
  return (held[left] as number) - (parts[left] as number) > (held[right] as number) - (parts[right] as number)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/**
 * Divides a resource of whole units. Each instance with demand gets one unit while there are enough.
 * When demand exceeds the resource, the rest follows demand; otherwise what is left over is spread evenly.
 * @param units - whole units to divide
 * @param held - what each member holds now; breaks ties, so that shares don't move without need
 * @returns whole parts; the sum is `units` if any member takes spare units, and at most `units` otherwise
 */
export function divideWhole (units: number, members: readonly DivisionMember[], held: readonly number[]): number[] {
  const total = Math.max(0, Math.floor(units))
  const demands = members.map(({ demand }) => Math.ceil(demand))
  const parts = members.map(() => 0)
  const demandOf = (index: number) => demands[index] as number
  const partOf = (index: number) => parts[index] as number
  const isSpare = (index: number) => (members[index] as DivisionMember).spare
  if (sum(demands) > total) {
    giveOut(parts, Math.floor(total * spareRatio), held, (index) => isSpare(index) && demandOf(index) === 0 && partOf(index) === 0 ? 1 : 0)
    giveOut(parts, total - sum(parts), held, (index) => partOf(index) === 0 ? demandOf(index) : 0)
    // Highest claim by demand per unit held, which is division by the Sainte-Laguë method.
    giveOut(parts, total - sum(parts), held, (index) => partOf(index) < demandOf(index) ? demandOf(index) / (2 * partOf(index) + 1) : 0)
    return parts
  }
  for (let index = 0; index < parts.length; index++) parts[index] = demandOf(index)
  giveOut(parts, total - sum(parts), held, (index) => isSpare(index) ? 1 / (1 + partOf(index) - demandOf(index)) : 0)
  return parts
}
