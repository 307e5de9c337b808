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

/** The shares of this instance, and the limiter that admits requests by them. */
export interface EntryShares {
  limiter: WorkspaceLimiter
  shareHolder: ShareHolder
}

/** Reported demand for rate is rounded to multiples of this value, in requests per second. Finer changes would be sent with each heartbeat without moving any share. */
const DEMAND_STEP_PER_SECOND = 0.5
/** A reported demand above the share counts as unmet again after this time, in milliseconds, or at once when it grows. The resource may be too small to meet it, and unmet demand can request a heartbeat at each change. */
const REPEATED_REQUEST_DELAY_MS = 1000

interface ReportedDemand {
  amount: number
  at: Milliseconds
}

/** Creates a share holder and a limiter that share the token buckets. The demand of the executors for slots and connections is reported with that of the limiter for rate. */
export function createEntryShares (clock: Clock, blackboard: Blackboard, executors: GroupExecutors): EntryShares {
  const buckets = createTokenBuckets(clock)
  const shares = blackboard.reader(sharesEntry)
  const limiter = createWorkspaceLimiter({ clock, blackboard, buckets })

  const reportedDemands = new Map<ResourceId, ReportedDemand>()

  function isUnmet ({ resource, amount }: ShareDemand): boolean {
    if (amount <= (shares.read().get(resource)?.amount ?? 0)) return false
    const last = reportedDemands.get(resource)
    return last === undefined || amount > last.amount || clock.now() - last.at >= REPEATED_REQUEST_DELAY_MS
  }

  function reportExecutorDemand (): DemandReport[] {
    return executors.demand().map((demand) => ({ ...demand, unmet: isUnmet(demand) }))
  }

  /** Records the unmet demand that the heartbeat reports. Demand for slots and connections changes with each request. Without the record, each rise would request a heartbeat. */
  function composeHeartbeat (sequence: number): HeartbeatShares {
    for (const { resource, amount, unmet } of reportExecutorDemand()) {
      if (unmet) reportedDemands.set(resource, { amount, at: clock.now() })
    }
    return shareHolder.composeHeartbeat(sequence)
  }

  function reportLimiterDemand (): DemandReport[] {
    return limiter.demand().map((demand) => ({ ...demand, amount: Math.round(demand.amount / DEMAND_STEP_PER_SECOND) * DEMAND_STEP_PER_SECOND }))
  }

  function usedOf (resource: ResourceId): number {
    const separator = resource.indexOf(':')
    const kind = resource.slice(0, separator)
    const name = resource.slice(separator + 1) as DatabaseId
    if (kind === 'slots') return executors.countUsedSlots(name)
    if (kind === 'connections') return executors.countUsedConnections(name)
    return 0
  }

  const shareHolder = createShareHolder({ clock, blackboard, buckets, demandSources: [reportLimiterDemand, reportExecutorDemand], usedOf })
  return { limiter, shareHolder: { ...shareHolder, composeHeartbeat } }
}
