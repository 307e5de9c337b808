import { NO_WORKSPACE } from '../decisions/caller-sessions/endpoint-index.js'
import type { PeerCalls } from '../decisions/caller-sessions/borrowed-session.js'
import { buildRefusalPromisingNothingKept } from '../decisions/caller-sessions/session-services.js'
import { orderRateHolders } from '../decisions/limits/order-rate-holders.js'
import { createRateRefusals } from '../decisions/limits/rate-refusals.js'
import { MAX_RATE_HOLDER_REFUSALS, selectRateHolders } from '../decisions/limits/select-rate-holders.js'
import type { LimiterEffect, WorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import { addTime } from '../types/clock.js'
import type { DirectoryInstance } from '../types/directory.js'
import type { FailureDomainId, InstanceId, RequestId, WorkspaceId } from '../types/ids.js'
import { requestId } from '../types/ids.js'
import { resultNameOf } from '../types/result-code.js'
import type { SessionRefusal } from '../types/session-statement.js'
import type { TokenRequest, TokenAnswer } from '../types/session-peer-message.js'
import type { Random } from '../utils/create-random.js'

/** Longest wait for the answer to a token request, in milliseconds: the wait for a token at the rate holder, and the round trip. */
const TOKEN_REQUEST_TIMEOUT_MS = 150
/** Retry time of a refusal when no rate holder was reachable, in milliseconds: the time within which the leader grants the share of a lost instance to others. */
const NO_RATE_HOLDER_RETRY_MS = 500

export interface SessionAdmissionOptions {
  clock: Clock
  random: Random
  instance: InstanceId
  failureDomain: FailureDomainId
  limiter: WorkspaceLimiter
  calls: PeerCalls
  /** @returns the instances of the directory in force */
  instances: () => readonly DirectoryInstance[]
  /** @returns the rate of a workspace in requests per second by the manifest in force; 0 when the manifest does not name it */
  rateOf: (workspace: WorkspaceId) => number
  /** @returns when control last confirmed manifest and directory of this instance */
  confirmedAt: () => Milliseconds
  /** Time after the last confirmation for which this instance serves, in milliseconds. */
  unconfirmedServiceMs: number
  /** Called when the demand for the rate of a workspace exceeds the share of this instance. */
  onDemandRise: () => void
  /** Called for each operation that is refused by rate. `isLocal`: no rate holder was asked for it. */
  onRateRefused: (isLocal: boolean) => void
}

/** Admits the operations of sessions at the rate of their workspaces. */
export interface SessionAdmission {
  /** Resolves with null when the operation may run, otherwise with the refusal. */
  admit: (workspace: WorkspaceId, deadline: Milliseconds) => Promise<SessionRefusal | null>
  /** Takes a token from the share of this instance for an operation of another instance. */
  takeToken: (call: TokenRequest) => Promise<TokenAnswer>
  tick: () => void
}

/** Creates the admission. It requests tokens from the rate holders of a workspace where only a few instances hold shares of its rate. */
export function createSessionAdmission ({ clock, random, instance, failureDomain, limiter, calls, instances, rateOf, confirmedAt, unconfirmedServiceMs, onDemandRise, onRateRefused }: SessionAdmissionOptions): SessionAdmission {
  const refusals = createRateRefusals(clock, random)
  const pending = new Map<RequestId, (answer: TokenAnswer) => void>()
  let counter = 0
  let rateHoldersByWorkspace = new Map<WorkspaceId, { rate: number, rateHolders: DirectoryInstance[] | null }>()
  let indexedInstances: readonly DirectoryInstance[] | null = null

  function carryOut (effects: readonly LimiterEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'request-share') {
        onDemandRise()
        continue
      }
      const resolve = pending.get(effect.requestId)
      pending.delete(effect.requestId)
      resolve?.(effect.kind === 'admitted' ? { kind: 'token', refusal: null } : buildRefusal(effect))
    }
  }

  function buildRefusal ({ refusal, isUsedUp }: Extract<LimiterEffect, { kind: 'refused' }>): TokenAnswer {
    const { code, message, retryAfterMs } = refusal
    return { kind: 'token', refusal: { result: resultNameOf(code), promise: 'nothing-kept', message, retryAfterMs }, ...(isUsedUp ? { isUsedUp } : {}) }
  }

  function takeFromOwnShare (workspace: WorkspaceId, deadline: Milliseconds): Promise<TokenAnswer> {
    return new Promise((resolve) => {
      const id = requestId(`s${++counter}`)
      pending.set(id, resolve)
      carryOut(limiter.handle({ kind: 'admit', requestId: id, workspace, deadline }))
    })
  }

  function findRateHolders (workspace: WorkspaceId): DirectoryInstance[] | null {
    const listed = instances()
    if (listed !== indexedInstances) {
      indexedInstances = listed
      rateHoldersByWorkspace = new Map()
    }
    const rate = rateOf(workspace)
    const known = rateHoldersByWorkspace.get(workspace)
    if (known?.rate === rate) return known.rateHolders
    const names = selectRateHolders(workspace, rate, listed)
    const rateHolders = names === null ? null : names.flatMap((name) => listed.filter((candidate) => candidate.instance === name))
    rateHoldersByWorkspace.set(workspace, { rate, rateHolders })
    return rateHolders
  }

  async function admit (workspace: WorkspaceId, deadline: Milliseconds): Promise<SessionRefusal | null> {
    // The manifest sets no rate for callers that belong to no workspace.
    if (workspace === NO_WORKSPACE) return null
    // Own shares expire by then. Tokens of others do not, so without this limit a key withdrawn meanwhile would go on working here.
    if (clock.now() - confirmedAt() > unconfirmedServiceMs) return buildRefusalPromisingNothingKept('notFresh', 'control has not confirmed the configuration of this instance for too long', NO_RATE_HOLDER_RETRY_MS)
    const rateHolders = findRateHolders(workspace)
    const refusal = rateHolders === null ? (await takeFromOwnShare(workspace, deadline)).refusal : await requestFromHolders(rateHolders, workspace, deadline)
    if (refusal?.result !== 'rateExceeded' || refusal.retryAfterMs === null) return refusal
    return { ...refusal, retryAfterMs: refusals.spreadRetryMs(refusal.retryAfterMs) }
  }

  /** Requests a token from one rate holder after the other, until one grants it or the rate is used up. Holders whose refusals are in force are not asked. */
  async function requestFromHolders (rateHolders: readonly DirectoryInstance[], workspace: WorkspaceId, deadline: Milliseconds): Promise<SessionRefusal | null> {
    let lastRefusal = buildRefusalPromisingNothingKept('notFresh', 'no instance that holds a share of the rate of the workspace could be reached', NO_RATE_HOLDER_RETRY_MS)
    let refusalCount = 0
    let isLocal = true
    const reachable = rateHolders.filter((holder) => holder.instance === instance || calls.canRequest(holder.instance))
    for (const holder of orderRateHolders({ instance, failureDomain }, reachable, ++counter)) {
      const known = findRefusal(workspace, holder)
      isLocal &&= known !== null || holder.instance === instance
      const answer = known ?? await takeFromHolder(holder, workspace, deadline)
      if (answer === 'unreachable') continue
      if (answer.refusal === null) return null
      lastRefusal = answer.refusal
      // A holder without a share says nothing about the rate.
      if (answer.refusal.result === 'notFresh') continue
      refusalCount++
      if (answer.isUsedUp === true || refusalCount === MAX_RATE_HOLDER_REFUSALS) break
    }
    if (lastRefusal.result === 'rateExceeded') onRateRefused(isLocal)
    return lastRefusal
  }

  function findRefusal (workspace: WorkspaceId, { instance: holder }: DirectoryInstance): TokenAnswer | null {
    const known = refusals.find(workspace, holder)
    if (known === null) return null
    const { retryAfterMs, isUsedUp } = known
    return { kind: 'token', refusal: buildRefusalPromisingNothingKept('rateExceeded', 'The workspace has used its rate and burst.', Math.ceil(retryAfterMs)), ...(isUsedUp ? { isUsedUp } : {}) }
  }

  async function takeFromHolder (holder: DirectoryInstance, workspace: WorkspaceId, deadline: Milliseconds): Promise<TokenAnswer | 'unreachable'> {
    if (holder.instance === instance) return await takeFromOwnShare(workspace, deadline)
    const limitMs = Math.min(TOKEN_REQUEST_TIMEOUT_MS, deadline - clock.now())
    const answer = await calls.call(holder, { kind: 'ask-token', workspace, limitMs }, limitMs)
    if (answer.isErr() || answer.value.kind !== 'token') return 'unreachable'
    const { refusal, isUsedUp = false } = answer.value
    if (refusal?.result === 'rateExceeded') refusals.record(workspace, holder.instance, { retryAfterMs: refusal.retryAfterMs ?? 0, isUsedUp })
    return answer.value
  }

  return {
    admit,
    takeToken: ({ workspace, limitMs }) => takeFromOwnShare(workspace, addTime(clock.now(), limitMs)),
    tick: () => {
      refusals.tick()
      carryOut(limiter.tick())
    }
  }
}
