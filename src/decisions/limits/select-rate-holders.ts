import type { InstanceId, WorkspaceId } from '../../types/ids.js'
import { rankByKey } from '../../utils/rank-by-key.js'

/** In fleets of up to this size, every instance holds a share of every rate. No request then needs a hop for a token, and the leader still divides few shares. */
const MAX_INSTANCES_WITHOUT_SELECTION = 16
/** Rate holders of one workspace in larger fleets. With three, the loss of one leaves most of the rate usable. */
const HOLDERS_PER_RATE = 3

/** An instance that can become a rate holder. */
export interface RateHolderCandidate {
  instance: InstanceId
  draining: boolean
}

/**
 * Selects the rate holders of a workspace by rendezvous hashing. The leader and all instances select the same ones from the same directory.
 * @param instances - all instances of the fleet; draining ones are not selected
 * @returns the rate holders, or null when every instance holds a share
 */
export function selectRateHolders (workspace: WorkspaceId, instances: readonly RateHolderCandidate[]): InstanceId[] | null {
  if (instances.length <= MAX_INSTANCES_WITHOUT_SELECTION) return null
  const candidates = instances.filter(({ draining }) => !draining)
  return rankByKey(workspace, candidates, ({ instance }) => instance).slice(0, HOLDERS_PER_RATE).map(({ instance }) => instance)
}
