import type { LeasedShare } from '../../blackboard/entry-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import { addTime, milliseconds } from '../../types/clock.js'
import type { RequestId, ResourceId, WorkspaceId } from '../../types/ids.js'
import { resourceId } from '../../types/ids.js'
import type { IndexedHeap } from '../../utils/indexed-heap.js'
import { createIndexedHeap } from '../../utils/indexed-heap.js'
import type { ArrivalWindow } from './arrival-window.js'
import { createArrivalWindow } from './arrival-window.js'
import type { DemandReport } from './demand-report.js'

export interface WaitingRequest {
  requestId: RequestId
  arrivedAt: Milliseconds
  deadline: Milliseconds
  /** Time at which the limiter refuses the request if no token became available. */
  waitsUntil: Milliseconds
}

/** State of one workspace in the limiter. */
export interface WorkspaceLimit {
  workspace: WorkspaceId
  resource: ResourceId
  arrivals: ArrivalWindow
  /** Requests without a token, in order of arrival. */
  waiting: Map<RequestId, WaitingRequest>
  /** The waiting requests, ordered by the time at which they are refused. */
  expiries: IndexedHeap<RequestId>
  /** Time since which requests have found no token. */
  unmetSince: Milliseconds
  lastUnmetAt: Milliseconds
  lastRefusedAt: Milliseconds
}

/** Time without a refusal, or without an arrival that found no token, after which the share counts as sufficient again. */
const DEMAND_MET_AFTER_MS = 300

/** Time in which the leader receives reports that demand has moved away from other instances, and reclaims their share for this one. */
const SHARE_MOVE_MS = 250

/** @returns the state of a workspace without requests */
export function createWorkspaceLimit (workspace: WorkspaceId, demandWindowMs: number): WorkspaceLimit {
  return {
    workspace,
    resource: resourceId('rate', workspace),
    arrivals: createArrivalWindow({ minLengthMs: 100, maxLengthMs: demandWindowMs }),
    waiting: new Map(),
    expiries: createIndexedHeap(),
    unmetSince: milliseconds(0),
    lastUnmetAt: milliseconds(-Infinity),
    lastRefusedAt: milliseconds(-Infinity)
  }
}

/** Appends a request to the waiting requests. */
export function addWaiting (limit: WorkspaceLimit, request: WaitingRequest): void {
  limit.waiting.set(request.requestId, request)
  limit.expiries.set(request.requestId, request.waitsUntil)
}

/** Removes a request from the waiting requests, if it is among them. */
export function removeWaiting (limit: WorkspaceLimit, requestId: RequestId): void {
  limit.waiting.delete(requestId)
  limit.expiries.remove(requestId)
}

/** Records that a request found no token. */
export function recordUnmetDemand (limit: WorkspaceLimit, now: Milliseconds): void {
  if (now - limit.lastUnmetAt > DEMAND_MET_AFTER_MS) limit.unmetSince = now
  limit.lastUnmetAt = now
}

/** Records that no request waits any more. While the limiter refuses requests, an empty queue does not mean that demand is met. */
export function recordMetDemand (limit: WorkspaceLimit, now: Milliseconds): void {
  if (now - limit.lastRefusedAt > DEMAND_MET_AFTER_MS) limit.lastUnmetAt = milliseconds(-Infinity)
}

/**
 * Decides whether the leader has reacted to unmet demand. It has done so once it has answered a heartbeat that was sent at least
 * `SHARE_MOVE_MS` after demand became unmet. The share in force is then all that the rate of the workspace leaves for this instance.
 * @param share - share in force; undefined without one
 */
export function hasLeaderReacted (limit: WorkspaceLimit, share: LeasedShare | undefined): boolean {
  if (share === undefined || limit.lastUnmetAt === -Infinity) return false
  return share.renewedAt >= addTime(limit.unmetSince, SHARE_MOVE_MS)
}

/** Time after its last renewal in which a share shows what the leader leaves for this instance: two heartbeat intervals. Later, others may hold tokens that the leader can't move. */
const RECENT_RENEWAL_MS = 1000

/** Decides whether the leader has renewed the share so recently that it is what the leader leaves for this instance. */
export function isRecentlyRenewed (share: LeasedShare | undefined, now: Milliseconds): boolean {
  return share !== undefined && now - share.renewedAt <= RECENT_RENEWAL_MS
}

/**
 * Computes when a request behind all waiting requests would find a token.
 * @param tokens - available tokens
 * @param rate - tokens per second
 * @returns the wait in milliseconds; infinite if the rate is 0
 */
export function computeTokenWaitMs (limit: WorkspaceLimit, tokens: number, rate: number): number {
  const missing = limit.waiting.size + 1 - tokens
  if (missing <= 0) return 0
  return rate > 0 ? missing * 1000 / rate : Infinity
}

/** Ratio of the burst below which an instance reports unmet demand if its arrivals exceed its share. */
const LOW_TOKEN_RATIO = 0.25

/** Smallest burst for which `LOW_TOKEN_RATIO` is meaningful. A smaller one falls below that ratio with any request, so only waiting requests show unmet demand. */
const SMALL_BURST_REQUESTS = 4

/**
 * Largest demand that an instance reports while it has tokens, as a ratio of its share. The burst covers the fluctuation,
 * and the leader does not reclaim share for so small a shortfall.
 */
const MAX_COVERED_DEMAND_RATIO = 1.2

/** Time within which a bucket that is running low should refill to half of its burst. */
const REFILL_MS = 500

/**
 * Computes the demand to report to the leader.
 * @param share - share in force; undefined without one
 * @param tokens - available tokens
 * @param catchUpMs - time within which all waiting requests should be admitted, in milliseconds
 * @returns the demand in requests per second, and whether it is unmet
 */
export function computeDemand (limit: WorkspaceLimit, share: LeasedShare | undefined, tokens: number, catchUpMs: number, now: Milliseconds): DemandReport {
  const { resource, waiting } = limit
  const arriving = limit.arrivals.rate(now)
  const { amount: rate, burst } = share ?? { amount: 0, burst: 0 }
  const isRunningLow = arriving > rate && burst >= SMALL_BURST_REQUESTS && tokens < burst * LOW_TOKEN_RATIO
  const unmet = waiting.size > 0 || isRunningLow
  if (!unmet) return { resource, amount: Math.min(arriving, rate * MAX_COVERED_DEMAND_RATIO), unmet }
  const missing = isRunningLow ? burst / 2 - tokens : 0
  return { resource, amount: Math.ceil(arriving + missing * 1000 / REFILL_MS + waiting.size * 1000 / catchUpMs), unmet }
}
