import type { Blackboard } from '../blackboard/blackboard.js'
import { sharesEntry } from '../blackboard/entry-instance-entries.js'
import type { DemandReport } from '../decisions/limits/demand-report.js'
import type { HeartbeatShares, ShareHolder } from '../decisions/limits/share-holder.js'
import { createShareHolder } from '../decisions/limits/share-holder.js'
import { createTokenBuckets } from '../decisions/limits/token-buckets.js'
import type { WorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import { createWorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import type { DatabaseId, ResourceId } from '../types/ids.js'
import type { ShareDemand } from '../types/share.js'
import type { GroupExecutors } from './group-executors.js'

/** The shares of this instance and the limiter that spends them. */
export interface EntryShares {
  limiter: WorkspaceLimiter
  holder: ShareHolder
}

/** Steps of reported demand for rate in requests per second; finer changes would be sent in each heartbeat and move no share. */
const DEMAND_STEP = 0.5
/** A holder whose demand stays above its share asks again after this time, in milliseconds; the resource itself may be too small. */
const ASK_AGAIN_MS = 1000

interface AskedDemand {
  amount: number
  at: Milliseconds
}

export function createEntryShares (clock: Clock, blackboard: Blackboard, executors: GroupExecutors): EntryShares {
  const buckets = createTokenBuckets(clock)
  const shares = blackboard.reader(sharesEntry)
  const limiter = createWorkspaceLimiter({ clock, blackboard, buckets })

  const asked = new Map<ResourceId, AskedDemand>()

  function isUnmet ({ resource, amount }: ShareDemand): boolean {
    if (amount <= (shares.read().get(resource)?.amount ?? 0)) return false
    const last = asked.get(resource)
    return last === undefined || amount > last.amount || clock.now() - last.at >= ASK_AGAIN_MS
  }

  function executorDemand (): DemandReport[] {
    return executors.demand().map((demand) => ({ ...demand, unmet: isUnmet(demand) }))
  }

  /** Demand of slots and connections rises and falls with each request, so what was asked for is remembered for a while. */
  function composeHeartbeat (sequence: number): HeartbeatShares {
    for (const { resource, amount, unmet } of executorDemand()) {
      if (unmet) asked.set(resource, { amount, at: clock.now() })
    }
    return holder.composeHeartbeat(sequence)
  }

  function limiterDemand (): DemandReport[] {
    return limiter.demand().map((demand) => ({ ...demand, amount: Math.round(demand.amount / DEMAND_STEP) * DEMAND_STEP }))
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
  return { limiter, holder: { ...holder, composeHeartbeat } }
}
