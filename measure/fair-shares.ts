/** What one of several workspaces could use of a capacity. */
export interface WeightedDemand {
  demand: number
  weight: number
}

/** @returns the weighted max-min fair part of each: what one leaves unused goes to the others by weight */
export function fairShares (capacity: number, demands: readonly WeightedDemand[]): number[] {
  const parts = demands.map(() => 0)
  let open = demands.map((_, index) => index)
  let left = capacity
  while (open.length > 0) {
    const weights = open.reduce((sum, index) => sum + (demands[index]?.weight ?? 0), 0)
    const perWeight = left / weights
    const satisfied = open.filter((index) => demandAt(index).demand <= perWeight * demandAt(index).weight)
    for (const index of satisfied.length === 0 ? open : satisfied) {
      parts[index] = Math.min(demandAt(index).demand, perWeight * demandAt(index).weight)
      left -= parts[index] ?? 0
    }
    open = satisfied.length === 0 ? [] : open.filter((index) => !satisfied.includes(index))
  }
  return parts

  function demandAt (index: number): WeightedDemand {
    return demands[index] ?? { demand: 0, weight: 0 }
  }
}
