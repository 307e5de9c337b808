import type { Clock } from '../../types/clock.js'
import type { WorkspaceId } from '../../types/ids.js'

export interface WeightedFairQueueOptions {
  clock: Clock
  /** Weight of a workspace. Weights below 0.001 count as 0.001. Default: 1 for all. */
  weightOf?: (workspace: WorkspaceId) => number
  /** Largest number of queued entries per workspace. Default: 200. */
  maxPerWorkspace?: number
  /**
   * Largest lag that a workspace may catch up after its entries could not run, in units of cost.
   * Without a bound, the workspace would receive all service for as long as it had been blocked. Default: 250.
   */
  catchUpCost?: number
  /** Largest number of entries per workspace that one dequeue passes to the predicate. Default: 32. */
  scanLimit?: number
}

/** Smallest weight. A weight of zero would make tags infinite. */
const MIN_WEIGHT = 0.001

/** @returns the options with defaults filled in */
export function resolveWeightedFairQueueOptions (options: WeightedFairQueueOptions): Required<WeightedFairQueueOptions> {
  const weightOf = options.weightOf ?? (() => 1)
  return {
    clock: options.clock,
    weightOf: (workspace) => Math.max(MIN_WEIGHT, weightOf(workspace)),
    maxPerWorkspace: options.maxPerWorkspace ?? 200,
    catchUpCost: options.catchUpCost ?? 250,
    scanLimit: options.scanLimit ?? 32
  }
}
