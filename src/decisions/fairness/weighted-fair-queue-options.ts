import type { Clock } from '../../types/clock.js'
import type { WorkspaceId } from '../../types/ids.js'

export interface WeightedFairQueueOptions {
  clock: Clock
  /** Weight of a workspace in service; at least `minimumWeight`. Default: 1 for all. */
  weightOf?: (workspace: WorkspaceId) => number
  /** Entries that one workspace may have queued. Default: 200. */
  maxPerWorkspace?: number
  /**
   * Cost by which a workspace whose entries could not run may lag behind and later catch up, in units of cost.
   * Without a bound it would take all service for as long as it had been blocked. Default: 250.
   */
  catchUpCost?: number
  /** Entries of one workspace that are offered to the predicate per dequeue. Default: 32. */
  scanLimit?: number
}

/** A weight of zero would make tags infinite. */
const minimumWeight = 0.001

/** @returns the options with defaults filled in */
export function resolveWeightedFairQueueOptions (options: WeightedFairQueueOptions): Required<WeightedFairQueueOptions> {
  const weightOf = options.weightOf ?? (() => 1)
  return {
    clock: options.clock,
    weightOf: (workspace) => Math.max(minimumWeight, weightOf(workspace)),
    maxPerWorkspace: options.maxPerWorkspace ?? 200,
    catchUpCost: options.catchUpCost ?? 250,
    scanLimit: options.scanLimit ?? 32
  }
}
