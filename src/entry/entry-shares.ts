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

export function createEntryShares (clock: Clock, blackboard: Blackboard, executors: GroupExecutors): EntryShares {
  const buckets = createTokenBuckets(clock)
  const shares = blackboard.reader(sharesEntry)
  const limiter = createWorkspaceLimiter({ clock, blackboard, buckets })

  function executorDemand (): DemandReport[] {
    return executors.demand().map((demand) => ({ ...demand, unmet: demand.amount > (shares.read().get(demand.resource)?.amount ?? 0) }))
  }

  function usedOf (resource: ResourceId): number {
    const separator = resource.indexOf(':')
    const kind = resource.slice(0, separator)
    const name = resource.slice(separator + 1) as DatabaseId
    if (kind === 'slots') return executors.usedSlots(name)
    if (kind === 'connections') return executors.usedConnections(name)
    return 0
  }

  const holder = createShareHolder({ clock, blackboard, buckets, demandSources: [limiter.demand, executorDemand], usedOf })
  return { limiter, holder }
}
