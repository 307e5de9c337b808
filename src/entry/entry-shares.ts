import type { Blackboard } from '../blackboard/blackboard.js'
import { sharesEntry } from '../blackboard/entry-instance-entries.js'
import type { DemandReport } from '../decisions/limits/demand-report.js'
import type { ShareHolder } from '../decisions/limits/share-holder.js'
import { createShareHolder } from '../decisions/limits/share-holder.js'
import { createTokenBuckets } from '../decisions/limits/token-buckets.js'
import type { WorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import { createWorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { Clock } from '../types/clock.js'
import type { DatabaseId, ResourceId } from '../types/ids.js'
import type { GroupExecutors } from './group-executors.js'

/** The shares of this instance and the limiter that spends them. */
export interface EntryShares {
  limiter: WorkspaceLimiter
  holder: ShareHolder
}

/** Steps of reported demand by which it grows; finer changes would be sent in each heartbeat and move no share. */
const DEMAND_STEP = 1.25

/** @returns the next step at or above a demand for rate, in requests per second */
function roundDemand (amount: number): number {
  if (amount <= 1) return 1
  return Math.ceil(DEMAND_STEP ** Math.ceil(Math.log(amount) / Math.log(DEMAND_STEP)))
}

export function createEntryShares (clock: Clock, blackboard: Blackboard, executors: GroupExecutors): EntryShares {
  const buckets = createTokenBuckets(clock)
  const shares = blackboard.reader(sharesEntry)
  const limiter = createWorkspaceLimiter({ clock, blackboard, buckets })

  function executorDemand (): DemandReport[] {
    return executors.demand().map((demand) => ({ ...demand, unmet: demand.amount > (shares.read().get(demand.resource)?.amount ?? 0) }))
  }

  function limiterDemand (): DemandReport[] {
    return limiter.demand().map((demand) => ({ ...demand, amount: roundDemand(demand.amount) }))
  }

  function usedOf (resource: ResourceId): number {
    const separator = resource.indexOf(':')
    const kind = resource.slice(0, separator)
    const name = resource.slice(separator + 1) as DatabaseId
    if (kind === 'slots') return executors.usedSlots(name)
    if (kind === 'connections') return executors.usedConnections(name)
    return 0
  }

  const holder = createShareHolder({ clock, blackboard, buckets, demandSources: [limiterDemand, executorDemand], usedOf })
  return { limiter, holder }
}
