import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { DemandReport } from './demand-report.js'

/** Decides when unmet demand justifies an extra heartbeat. */
export interface ShareRequests {
  /**
   * Decides whether to send an extra heartbeat now, and if so takes it from the budget.
   * @param collectDemands - called only when the budget permits an extra heartbeat
   * @returns whether an extra heartbeat should be sent
   */
  shouldRequest: (collectDemands: () => readonly DemandReport[]) => boolean
  /** Records that a heartbeat reports these demands. */
  recordHeartbeat: (demands: readonly DemandReport[]) => void
}

export interface ShareRequestsOptions {
  clock: Clock
  requestGapMs: number
  requestsPerSecond: number
  requestBurst: number
}

interface ReportedDemand {
  amount: number
  reportedAt: Milliseconds
  /** Heartbeats that have reported the demand since it became unmet. */
  reportCount: number
}

/** Growth factor above which an unmet demand is reported again at once. */
const IMMEDIATE_GROWTH_RATIO = 1.25

/** Number of heartbeats with an unmet demand after which only growth of the demand causes extra ones. */
const MAX_REPORTS = 5

/** Time after a heartbeat with an unmet demand before an extra one repeats that demand. */
const REPEAT_AFTER_MS = 60

/** @returns the policy of an instance that has not reported any demand */
export function createShareRequests (options: ShareRequestsOptions): ShareRequests {
  const { clock, requestGapMs, requestsPerSecond, requestBurst } = options
  const reportedDemands = new Map<ResourceId, ReportedDemand>()
  let savedRequests = requestBurst
  let countedAt = clock.now()
  let lastSentAt = milliseconds(-Infinity)

  function isWorthReporting ({ resource, amount, unmet }: DemandReport): boolean {
    if (!unmet) return false
    const last = reportedDemands.get(resource)
    if (last === undefined) return true
    if (amount > last.amount * IMMEDIATE_GROWTH_RATIO) return true
    return last.reportCount < MAX_REPORTS && clock.now() - last.reportedAt >= REPEAT_AFTER_MS
  }

  function shouldRequest (collectDemands: () => readonly DemandReport[]): boolean {
    const now = clock.now()
    savedRequests = Math.min(requestBurst, savedRequests + (now - countedAt) * requestsPerSecond / 1000)
    countedAt = now
    if (now - lastSentAt < requestGapMs || savedRequests < 1) return false
    if (!collectDemands().some(isWorthReporting)) return false
    savedRequests--
    return true
  }

  function recordHeartbeat (demands: readonly DemandReport[]): void {
    const now = clock.now()
    lastSentAt = now
    const unmet = demands.filter((demand) => demand.unmet)
    const unmetResources = new Set(unmet.map(({ resource }) => resource))
    for (const resource of reportedDemands.keys()) {
      if (!unmetResources.has(resource)) reportedDemands.delete(resource)
    }
    for (const { resource, amount } of unmet) {
      reportedDemands.set(resource, { amount, reportedAt: now, reportCount: (reportedDemands.get(resource)?.reportCount ?? 0) + 1 })
    }
  }

  return { shouldRequest, recordHeartbeat }
}
