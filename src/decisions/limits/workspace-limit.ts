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
import { shareLeaseMs } from './share-lease.js'

export interface WaitingRequest {
  requestId: RequestId
  arrivedAt: Milliseconds
  deadline: Milliseconds
  /** The request is refused at this time. */
  waitsUntil: Milliseconds
}

/** What the limiter knows of one workspace. */
export interface WorkspaceLimit {
  workspace: WorkspaceId
  resource: ResourceId
  arrivals: ArrivalWindow
  /** In order of arrival. */
  waiting: Map<RequestId, WaitingRequest>
  /** The same requests by the time at which they are refused. */
  expiries: IndexedHeap<RequestId>
  /** Since when requests have found no token. */
  unmetSince: Milliseconds
  lastUnmetAt: Milliseconds
  lastRefusedAt: Milliseconds
}

/** Without a refusal, or an arrival that found no token, for this long, the share is taken to be sufficient again. */
const metAfterMs = 300

/** Time in which the leader learns that demand has left other instances and moves their share here. */
const moveMs = 250

/** @returns the state of a workspace that has sent nothing */
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

/** Appends a request to the waiting ones. */
export function addWaiting (limit: WorkspaceLimit, request: WaitingRequest): void {
  limit.waiting.set(request.requestId, request)
  limit.expiries.set(request.requestId, request.waitsUntil)
}

/** Removes a request from the waiting ones, if it is among them. */
export function removeWaiting (limit: WorkspaceLimit, requestId: RequestId): void {
  limit.waiting.delete(requestId)
  limit.expiries.remove(requestId)
}

/** Notes that a request found no token. */
export function noteUnmet (limit: WorkspaceLimit, now: Milliseconds): void {
  if (now - limit.lastUnmetAt > metAfterMs) limit.unmetSince = now
  limit.lastUnmetAt = now
}

/** Notes that no request waits any more. While requests are refused, that says nothing about the demand. */
export function noteMet (limit: WorkspaceLimit, now: Milliseconds): void {
  if (now - limit.lastRefusedAt > metAfterMs) limit.lastUnmetAt = milliseconds(-Infinity)
}

/**
 * @returns whether the leader has answered a heartbeat that was sent long enough after demand became unmet;
 * the share in force is then what the workspace's rate allows this instance
 */
export function isSettled (limit: WorkspaceLimit, share: LeasedShare | undefined): boolean {
  if (share === undefined || limit.lastUnmetAt === -Infinity) return false
  const renewedAt = share.validUntil - shareLeaseMs
  return renewedAt >= addTime(limit.unmetSince, moveMs)
}

/**
 * @param tokens - tokens at present
 * @param rate - tokens per second
 * @returns milliseconds until a request behind all waiting ones would find a token
 */
export function waitForToken (limit: WorkspaceLimit, tokens: number, rate: number): number {
  const missing = limit.waiting.size + 1 - tokens
  if (missing <= 0) return 0
  return rate > 0 ? missing * 1000 / rate : Infinity
}

/** Part of the burst below which an instance whose demand exceeds its share reports that share runs out. */
const lowTokenRatio = 0.25

/** A smaller burst is at a low level after any request; then only waiting requests show a need. */
const minBurstForLevel = 4

/**
 * Part of its share that an instance reports at most while it has tokens: the burst covers the fluctuation,
 * and the leader need not take share from others. Below the shortage at which the leader does so.
 */
const coveredRatio = 1.2

/** Time in which the missing tokens of a bucket that runs out should be made up, in milliseconds. */
const refillMs = 500

/**
 * @param tokens - tokens at present
 * @param catchUpMs - time in which waiting requests should be caught up
 * @returns the demand to report to the leader
 */
export function demandOf (limit: WorkspaceLimit, share: LeasedShare | undefined, tokens: number, catchUpMs: number, now: Milliseconds): DemandReport {
  const { resource, waiting } = limit
  const arriving = limit.arrivals.rate(now)
  const { amount: rate, burst } = share ?? { amount: 0, burst: 0 }
  const runsOut = arriving > rate && burst >= minBurstForLevel && tokens < burst * lowTokenRatio
  const unmet = waiting.size > 0 || runsOut
  if (!unmet) return { resource, amount: Math.min(arriving, rate * coveredRatio), unmet }
  const missing = runsOut ? burst / 2 - tokens : 0
  return { resource, amount: Math.ceil(arriving + missing * 1000 / refillMs + waiting.size * 1000 / catchUpMs), unmet }
}
