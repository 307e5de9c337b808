import type { LeasedShare } from '../../blackboard/entry-instance-entries.js'
import { manifestEntry, sharesEntry } from '../../blackboard/entry-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import { addTime, milliseconds } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { RequestId, WorkspaceId } from '../../types/ids.js'
import type { Refusal } from '../../types/outcome.js'
import { refuse } from '../../types/result-code.js'
import type { DemandReport } from './demand-report.js'
import type { WaitingRequest, WorkspaceLimit } from './workspace-limit.js'
import { addWaiting, createWorkspaceLimit, demandOf, isSettled, noteMet, noteUnmet, removeWaiting, waitForToken } from './workspace-limit.js'
import type { WorkspaceLimiterOptions } from './workspace-limiter-options.js'
import { resolveWorkspaceLimiterOptions } from './workspace-limiter-options.js'

export type LimiterMessage =
  | { kind: 'admit', requestId: RequestId, workspace: WorkspaceId, deadline: Milliseconds }
  /** The caller is gone; a request that waits is dropped without an effect. */
  | { kind: 'cancel', requestId: RequestId, workspace: WorkspaceId }

export type LimiterEffect =
  | { kind: 'admitted', requestId: RequestId, waitedMs: number }
  /**
   * `wrongful`: the leader has not answered to the demand yet, and the demand here is within the rate of the workspace.
   * The count is a lower bound, since one instance can't see that others leave rate unused.
   */
  | { kind: 'refused', requestId: RequestId, workspace: WorkspaceId, refusal: Refusal, wrongful: boolean }
  /** Demand exceeds the share; tell the share holder that demand changed. */
  | { kind: 'ask-for-share' }

/** Admits requests of each workspace at the rate of the shares that this instance holds. */
export interface WorkspaceLimiter extends Controller<LimiterMessage, LimiterEffect> {
  /** @returns demand for the rate of each workspace that sends or waits */
  demand: () => DemandReport[]
  /** @returns when the next tick is due for a waiting request, or null when none waits */
  nextTickAt: () => Milliseconds | null
}

/** Retry time for an instance without a share: one heartbeat interval. */
const noShareRetryMs = 500

/** Longest retry time while shares may still move and the whole rate gives tokens sooner, in milliseconds: several moves of shares by the leader. */
const longestRetryMs = 1000

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

  function limitOf (workspace: WorkspaceId): WorkspaceLimit {
    const known = limits.get(workspace)
    if (known !== undefined) return known
    const limit = createWorkspaceLimit(workspace, demandWindowMs)
    limits.set(workspace, limit)
    return limit
  }

  const shareOf = (limit: WorkspaceLimit): LeasedShare | undefined => shares.read().get(limit.resource)

  function isWrongful (limit: WorkspaceLimit, share: LeasedShare | undefined): boolean {
    const fleetRate = rates.get(limit.workspace) ?? 0
    return !isSettled(limit, share) && limit.arrivals.rate(clock.now()) <= fleetRate
  }

  function refuseRequest (limit: WorkspaceLimit, requestId: RequestId, deadline: Milliseconds): LimiterEffect {
    const share = shareOf(limit)
    const wrongful = isWrongful(limit, share)
    limit.lastRefusedAt = clock.now()
    const { workspace } = limit
    const refused = (refusal: Refusal): LimiterEffect => ({ kind: 'refused', requestId, workspace, refusal, wrongful })
    if (share === undefined) return refused(refuse('notFresh', 'not-run', 'The instance holds no share of the rate of the workspace.', noShareRetryMs))
    if (deadline <= clock.now()) return refused(refuse('deadlineExceeded', 'not-run', 'The deadline passed while the request waited for the rate of its workspace.'))
    const wait = waitForToken(limit, buckets.count(limit.resource), share.amount)
    // While the leader has not answered to the demand, the share in force tells little of what will be there.
    const longest = isSettled(limit, share) ? Infinity : Math.max(longestRetryMs, 1000 / (rates.get(workspace) ?? Infinity))
    const retryAfterMs = Number.isFinite(wait) ? Math.max(1, Math.ceil(Math.min(wait, longest))) : noShareRetryMs
    return refused(refuse('rateExceeded', 'not-run', 'The workspace has used its rate and burst.', retryAfterMs))
  }

  /** The rate at which tokens may come: the share in force, or the whole rate while the leader may still move share here. */
  function reachableRate (limit: WorkspaceLimit): number {
    const share = shareOf(limit)
    const fleetRate = rates.get(limit.workspace) ?? 0
    return isSettled(limit, share) ? share?.amount ?? 0 : Math.max(share?.amount ?? 0, fleetRate)
  }

  function admit (requestId: RequestId, workspace: WorkspaceId, deadline: Milliseconds): LimiterEffect[] {
    const now = clock.now()
    const limit = limitOf(workspace)
    limit.arrivals.add(now)
    const admitted = admitWaiting(limit)
    if (limit.waiting.size === 0 && buckets.take(limit.resource)) {
      noteMet(limit, now)
      return [...admitted, { kind: 'admitted', requestId, waitedMs: 0 }, ...askIfRunningOut(limit)]
    }
    noteUnmet(limit, now)
    const waitsUntil = milliseconds(Math.min(deadline, addTime(now, maxWaitMs)))
    const wait = waitForToken(limit, buckets.count(limit.resource), reachableRate(limit))
    if (limit.waiting.size >= maxWaiting || addTime(now, wait) > waitsUntil) {
      return [...admitted, refuseRequest(limit, requestId, deadline), { kind: 'ask-for-share' }]
    }
    addWaiting(limit, { requestId, arrivedAt: now, deadline, waitsUntil })
    return [...admitted, { kind: 'ask-for-share' }]
  }

  function askIfRunningOut (limit: WorkspaceLimit): LimiterEffect[] {
    return reportDemand(limit).unmet ? [{ kind: 'ask-for-share' }] : []
  }

  function refuseOverdue (limit: WorkspaceLimit): LimiterEffect[] {
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
    const effects = refuseOverdue(limit)
    for (const { requestId, arrivedAt } of limit.waiting.values()) {
      if (!buckets.take(limit.resource)) break
      removeWaiting(limit, requestId)
      effects.push({ kind: 'admitted', requestId, waitedMs: clock.now() - arrivedAt })
      if (limit.waiting.size === 0) noteMet(limit, clock.now())
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
    return demandOf(limit, shareOf(limit), buckets.count(limit.resource), catchUpMs, clock.now())
  }

  function nextTickFor (limit: WorkspaceLimit): number {
    const firstExpiry = limit.expiries.peek()
    if (firstExpiry === undefined) return Infinity
    const missing = Math.max(0, 1 - buckets.count(limit.resource))
    const tokenInMs = missing * 1000 / (shareOf(limit)?.amount ?? 0)
    return Math.min(firstExpiry.priority, addTime(clock.now(), tokenInMs))
  }

  function nextTickAt (): Milliseconds | null {
    let next = Infinity
    for (const limit of limits.values()) next = Math.min(next, nextTickFor(limit))
    return next === Infinity ? null : milliseconds(next)
  }

  return { handle, tick, demand: () => [...limits.values()].map(reportDemand).filter(({ amount }) => amount > 0), nextTickAt }
}
