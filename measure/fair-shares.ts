/** Demand of one workspace for a shared capacity, and its weight. */
export interface WeightedDemand {
  demand: number
  weight: number
}

/**
 * Computes weighted max-min fair shares: capacity that one workspace does not use goes to the others by weight.
 * @param capacity - in the same unit as each demand
 * @returns the share of each workspace, in the order of `demands`
 */
export function computeFairShares (capacity: number, demands: readonly WeightedDemand[]): number[] {
  const shares = demands.map(() => 0)
  let unallocated = demands.map((_, index) => index)
  let remaining = capacity
  while (unallocated.length > 0) {
    const totalWeight = unallocated.reduce((sum, index) => sum + (demands[index]?.weight ?? 0), 0)
    const capacityPerWeight = remaining / totalWeight
    const satisfied = unallocated.filter((index) => demandAt(index).demand <= capacityPerWeight * demandAt(index).weight)
    for (const index of satisfied.length === 0 ? unallocated : satisfied) {
      shares[index] = Math.min(demandAt(index).demand, capacityPerWeight * demandAt(index).weight)
      remaining -= shares[index] ?? 0
    }
    unallocated = satisfied.length === 0 ? [] : unallocated.filter((index) => !satisfied.includes(index))
  }
  return shares

  function demandAt (index: number): WeightedDemand {
    return demands[index] ?? { demand: 0, weight: 0 }
  }
}
