import type { FailureDomainId, InstanceId, WorkspaceId } from '../../types/ids.js'
import { rankByKey } from '../../utils/rank-by-key.js'

/** Rate holders of one workspace. With three, the loss of one leaves most of the rate usable. */
const HOLDERS_PER_RATE = 3
/** Rate holders of a workspace below `SMALL_RATE_PER_SECOND`. */
const HOLDERS_PER_SMALL_RATE = 2
/** Rate in requests per second below which a third of it is smaller than the fluctuation of its demand. */
const SMALL_RATE_PER_SECOND = 100

/** Number of rate holders that may refuse one operation before it is refused. More are not needed, because the leader moves shares to where demand is. */
export const MAX_RATE_HOLDER_REFUSALS = 2

/** An instance that can become a rate holder. */
export interface RateHolderCandidate {
  instance: InstanceId
  failureDomain: FailureDomainId
  draining: boolean
}

/**
 * Selects the rate holders of a workspace by rendezvous hashing. The leader and all instances select the same ones from the same directory
 * and manifest.
 *
 * Few holders pool the tokens of a rate. Divided among all instances, a small rate leaves parts that are smaller than the fluctuation of
 * their demand, so that requests within the rate are refused while tokens lie unused elsewhere.
 * @param rate - rate of the workspace in requests per second
 * @param instances - all instances of the fleet; draining ones are not selected
 * @returns the rate holders, or null when every instance holds a share
 */
export function selectRateHolders (workspace: WorkspaceId, rate: number, instances: readonly RateHolderCandidate[]): InstanceId[] | null {
  const count = rate < SMALL_RATE_PER_SECOND ? HOLDERS_PER_SMALL_RATE : HOLDERS_PER_RATE
  if (instances.length <= count) return null
  const candidates = instances.filter(({ draining }) => !draining)
  return spreadOverFailureDomains(rankByKey(workspace, candidates, ({ instance }) => instance)).slice(0, count).map(({ instance }) => instance)
}

/** Moves the first instance of each failure domain to the front, so that the loss of one failure domain leaves a part of every rate usable. */
function spreadOverFailureDomains (ranked: readonly RateHolderCandidate[]): RateHolderCandidate[] {
  const seenDomains = new Set<FailureDomainId>()
  const firsts = ranked.filter(({ failureDomain }) => {
    const isFirst = !seenDomains.has(failureDomain)
    seenDomains.add(failureDomain)
    return isFirst
  })
  return [...firsts, ...ranked.filter((candidate) => !firsts.includes(candidate))]
}
