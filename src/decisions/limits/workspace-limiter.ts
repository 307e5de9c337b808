import type { LeasedShare } from '../../blackboard/entry-instance-entries.js'
import { manifestEntry, sharesEntry } from '../../blackboard/entry-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import { addTime, milliseconds } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { RequestId, WorkspaceId } from '../../types/ids.js'
import type { Refusal } from '../../types/outcome.js'
import { buildRefusal } from '../../types/result-code.js'
import type { DemandReport } from './demand-report.js'
import type { WaitingRequest, WorkspaceLimit } from './workspace-limit.js'
import { addWaiting, computeDemand, computeTokenWaitMs, createWorkspaceLimit, hasLeaderReacted, isRecentlyRenewed, recordMetDemand, recordUnmetDemand, removeWaiting } from './workspace-limit.js'
import type { WorkspaceLimiterOptions } from './workspace-limiter-options.js'
import { resolveWorkspaceLimiterOptions } from './workspace-limiter-options.js'

export type LimiterMessage =
  | { kind: 'admit', requestId: RequestId, workspace: WorkspaceId, deadline: Milliseconds }
  /** The caller has disconnected. The limiter drops a waiting request without an effect. */
  | { kind: 'cancel', requestId: RequestId, workspace: WorkspaceId }

export type LimiterEffect =
  | { kind: 'admitted', requestId: RequestId, waitedMs: number }
  /**
   * `wrongful`: the leader has not reacted to the demand yet, and arrivals at this instance are within the rate of the workspace.
   * The number of such refusals is a lower bound, since an instance can't see that others leave rate unused.
   * `isUsedUp`: the rate is used up over all rate holders, as the leader has recently left this instance no more of it.
   */
  | { kind: 'refused', requestId: RequestId, workspace: WorkspaceId, refusal: Refusal, wrongful: boolean, isUsedUp: boolean }
  /** Demand exceeds the share, so the share holder has to be notified of the change. */
  | { kind: 'request-share' }

/** Admits the requests of each workspace at the rate of the share that this instance holds. */
export interface WorkspaceLimiter extends Controller<LimiterMessage, LimiterEffect> {
  /** @returns demand for the rate of each workspace with recent arrivals or waiting requests */
  demand: () => DemandReport[]
  /** @returns when the next tick is due for a waiting request, or null if none waits */
  nextTickAt: () => Milliseconds | null
}

/** Retry time that callers receive from an instance without a share or with a share of 0: one heartbeat interval. */
const NO_SHARE_RETRY_MS = 500

/** Longest retry time while the leader may still raise the share of this instance. The leader can move share several times within it. A rate that yields a token only later extends it. */
const MAX_UNSETTLED_RETRY_MS = 1000

/** @returns a limiter that reads the shares and the manifest from the blackboard */
export function createWorkspaceLimiter (options: WorkspaceLimiterOptions): WorkspaceLimiter {
  const { clock, blackboard, buckets, maxWaitMs, maxWaiting, demandWindowMs, catchUpMs } = resolveWorkspaceLimiterOptions(options)
  const shares = blackboard.reader(sharesEntry)
  const manifest = blackboard.reader(manifestEntry)
  const limits = new Map<WorkspaceId, WorkspaceLimit>()
  const rates = new Map<WorkspaceId, number>()
  manifest.onWrite(readRates)
  readRates()

  function readRates (): void {
    rates.clear()
    for (const { id, rate } of manifest.read()?.manifest.workspaces ?? []) rates.set(id, rate)
    for (const [workspace, { waiting }] of limits) {
      if (!rates.has(workspace) && waiting.size === 0) limits.delete(workspace)
    }
  }

  function findOrCreateLimit (workspace: WorkspaceId): WorkspaceLimit {
    const known = limits.get(workspace)
    if (known !== undefined) return known
    const limit = createWorkspaceLimit(workspace, demandWindowMs)
    limits.set(workspace, limit)
    return limit
  }

  const shareOf = (limit: WorkspaceLimit): LeasedShare | undefined => shares.read().get(limit.resource)

  function isWrongfulRefusal (limit: WorkspaceLimit, share: LeasedShare | undefined): boolean {
    const workspaceRate = rates.get(limit.workspace) ?? 0
    return !hasLeaderReacted(limit, share) && limit.arrivals.rate(clock.now()) <= workspaceRate
  }

  function refuseRequest (limit: WorkspaceLimit, requestId: RequestId, deadline: Milliseconds): LimiterEffect {
    const share = shareOf(limit)
    const wrongful = isWrongfulRefusal(limit, share)
    limit.lastRefusedAt = clock.now()
    const { workspace } = limit
    const isUsedUp = hasLeaderReacted(limit, share) && isRecentlyRenewed(share, clock.now())
    const refused = (refusal: Refusal): LimiterEffect => ({ kind: 'refused', requestId, workspace, refusal, wrongful, isUsedUp })
    if (share === undefined) return refused(buildRefusal('notFresh', 'not-run', 'The instance holds no share of the rate of the workspace.', NO_SHARE_RETRY_MS))
    if (deadline <= clock.now()) return refused(buildRefusal('deadlineExceeded', 'not-run', 'The deadline passed while the request waited for the rate of its workspace.'))
    const wait = computeTokenWaitMs(limit, buckets.count(limit.resource), share.amount)
    // Until the leader has reacted to the demand, the share in force does not predict when tokens will be available.
    const maxRetryMs = hasLeaderReacted(limit, share) ? Infinity : Math.max(MAX_UNSETTLED_RETRY_MS, 1000 / (rates.get(workspace) ?? Infinity))
    const retryAfterMs = Number.isFinite(wait) ? Math.max(1, Math.ceil(Math.min(wait, maxRetryMs))) : NO_SHARE_RETRY_MS
    return refused(buildRefusal('rateExceeded', 'not-run', 'The workspace has used its rate and burst.', retryAfterMs))
  }

  /** Computes the rate that this instance may reach: its share, or the whole rate of the workspace while the leader may still raise the share. */
  function computeReachableRate (limit: WorkspaceLimit): number {
    const share = shareOf(limit)
    const workspaceRate = rates.get(limit.workspace) ?? 0
    return hasLeaderReacted(limit, share) ? share?.amount ?? 0 : Math.max(share?.amount ?? 0, workspaceRate)
  }

  function admit (requestId: RequestId, workspace: WorkspaceId, deadline: Milliseconds): LimiterEffect[] {
    const now = clock.now()
    const limit = findOrCreateLimit(workspace)
    limit.arrivals.add(now)
    const admitted = admitWaiting(limit)
    if (limit.waiting.size === 0 && buckets.take(limit.resource)) {
      recordMetDemand(limit, now)
      return [...admitted, { kind: 'admitted', requestId, waitedMs: 0 }, ...requestShareIfRunningLow(limit)]
    }
    recordUnmetDemand(limit, now)
    const waitsUntil = milliseconds(Math.min(deadline, addTime(now, maxWaitMs)))
    const wait = computeTokenWaitMs(limit, buckets.count(limit.resource), computeReachableRate(limit))
    if (limit.waiting.size >= maxWaiting || addTime(now, wait) > waitsUntil) {
      return [...admitted, refuseRequest(limit, requestId, deadline), { kind: 'request-share' }]
    }
    addWaiting(limit, { requestId, arrivedAt: now, deadline, waitsUntil })
    return [...admitted, { kind: 'request-share' }]
  }

  function requestShareIfRunningLow (limit: WorkspaceLimit): LimiterEffect[] {
    return reportDemand(limit).unmet ? [{ kind: 'request-share' }] : []
  }

  function refuseExpired (limit: WorkspaceLimit): LimiterEffect[] {
    const effects: LimiterEffect[] = []
    for (;;) {
      const first = limit.expiries.peek()
      if (first === undefined || first.priority > clock.now()) return effects
      const request = limit.waiting.get(first.key) as WaitingRequest
      removeWaiting(limit, first.key)
      effects.push(refuseRequest(limit, first.key, request.deadline))
    }
  }

  function admitWaiting (limit: WorkspaceLimit): LimiterEffect[] {
    const effects = refuseExpired(limit)
    for (const { requestId, arrivedAt } of limit.waiting.values()) {
      if (!buckets.take(limit.resource)) break
      removeWaiting(limit, requestId)
      effects.push({ kind: 'admitted', requestId, waitedMs: clock.now() - arrivedAt })
      if (limit.waiting.size === 0) recordMetDemand(limit, clock.now())
    }
    return effects
  }

  function tick (): LimiterEffect[] {
    const effects: LimiterEffect[] = []
    for (const limit of limits.values()) {
      if (limit.waiting.size > 0) effects.push(...admitWaiting(limit))
    }
    return effects
  }

  function handle (message: LimiterMessage): LimiterEffect[] {
    if (message.kind === 'admit') return admit(message.requestId, message.workspace, message.deadline)
    const limit = limits.get(message.workspace)
    if (limit !== undefined) removeWaiting(limit, message.requestId)
    return []
  }

  function reportDemand (limit: WorkspaceLimit): DemandReport {
    return computeDemand(limit, shareOf(limit), buckets.count(limit.resource), catchUpMs, clock.now())
  }

  function computeNextTick (limit: WorkspaceLimit): number {
    const firstExpiry = limit.expiries.peek()
    if (firstExpiry === undefined) return Infinity
    const missing = Math.max(0, 1 - buckets.count(limit.resource))
    const tokenInMs = missing * 1000 / (shareOf(limit)?.amount ?? 0)
    return Math.min(firstExpiry.priority, addTime(clock.now(), tokenInMs))
  }

  function nextTickAt (): Milliseconds | null {
    let next = Infinity
    for (const limit of limits.values()) next = Math.min(next, computeNextTick(limit))
    return next === Infinity ? null : milliseconds(next)
  }

  return { handle, tick, demand: () => [...limits.values()].map(reportDemand).filter(({ amount }) => amount > 0), nextTickAt }
}
