import type { InstanceId, WorkspaceId } from '../../types/ids.js'
import { rankByKey } from '../../utils/rank-by-key.js'

/** Up to this many instances each hold a share of every rate: they need no hop for a token, and the leader divides few shares. */
const LARGEST_FLEET_OF_HOLDERS = 16
/** Holders of one rate in larger fleets: the loss of one leaves most of the rate in use. */
const HOLDERS_PER_RATE = 3

/** What decides about holders of rates. */
export interface RateHolderCandidate {
  instance: InstanceId
  draining: boolean
}

/**
 * Names the instances among which the rate of a workspace is divided. The leader and all instances compute the same from one directory.
 * @returns null when every instance holds a share of its own
 */
export function rateHolders (workspace: WorkspaceId, instances: readonly RateHolderCandidate[]): InstanceId[] | null {
  if (instances.length <= LARGEST_FLEET_OF_HOLDERS) return null
  const candidates = instances.filter(({ draining }) => !draining)
  return rankByKey(workspace, candidates, ({ instance }) => instance).slice(0, HOLDERS_PER_RATE).map(({ instance }) => instance)
}
