import { NO_WORKSPACE } from '../decisions/caller-sessions/endpoint-index.js'
import type { PeerCalls } from '../decisions/caller-sessions/borrowed-session.js'
import { buildRefusalPromisingNothingKept } from '../decisions/caller-sessions/session-services.js'
import { SHARE_LEASE_MS } from '../decisions/limits/share-lease.js'
import { orderRateHolders } from '../decisions/limits/order-rate-holders.js'
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

/** Longest wait for the answer to a token request, in milliseconds: the wait for a token at the rate holder, and the round trip. */
const TOKEN_REQUEST_TIMEOUT_MS = 150
/** Retry time of a refusal when no rate holder was reachable, in milliseconds: the time within which the leader grants the share of a lost instance to others. */
const NO_RATE_HOLDER_RETRY_MS = 500

export interface SessionAdmissionOptions {
  clock: Clock
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
  /** Called when the demand for the rate of a workspace exceeds the share of this instance. */
  onDemandRise: () => void
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
export function createSessionAdmission ({ clock, instance, failureDomain, limiter, calls, instances, rateOf, confirmedAt, onDemandRise }: SessionAdmissionOptions): SessionAdmission {
  const pending = new Map<RequestId, (refusal: SessionRefusal | null) => void>()
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
      resolve?.(effect.kind === 'admitted' ? null : buildRefusal(effect))
    }
  }

  function buildRefusal ({ refusal }: Extract<LimiterEffect, { kind: 'refused' }>): SessionRefusal {
    return { result: resultNameOf(refusal.code), promise: 'nothing-kept', message: refusal.message, retryAfterMs: refusal.retryAfterMs }
  }

  function admitFromOwnShare (workspace: WorkspaceId, deadline: Milliseconds): Promise<SessionRefusal | null> {
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
    if (clock.now() - confirmedAt() > SHARE_LEASE_MS) return buildRefusalPromisingNothingKept('notFresh', 'control has not confirmed the configuration of this instance for too long', NO_RATE_HOLDER_RETRY_MS)
    const rateHolders = findRateHolders(workspace)
    if (rateHolders === null) return await admitFromOwnShare(workspace, deadline)
    let lastRefusal = buildRefusalPromisingNothingKept('notFresh', 'no instance that holds a share of the rate of the workspace could be reached', NO_RATE_HOLDER_RETRY_MS)
    let refusalCount = 0
    const reachable = rateHolders.filter((holder) => holder.instance === instance || calls.canRequest(holder.instance))
    for (const holder of orderRateHolders({ instance, failureDomain }, reachable, ++counter)) {
      if (refusalCount === MAX_RATE_HOLDER_REFUSALS) break
      const refusal = holder.instance === instance ? await admitFromOwnShare(workspace, deadline) : await requestToken(holder, workspace, deadline)
      if (refusal === null) return null
      if (refusal === 'unreachable') continue
      lastRefusal = refusal
      refusalCount++
    }
    return lastRefusal
  }

  async function requestToken (holder: DirectoryInstance, workspace: WorkspaceId, deadline: Milliseconds): Promise<SessionRefusal | null | 'unreachable'> {
    const limitMs = Math.min(TOKEN_REQUEST_TIMEOUT_MS, deadline - clock.now())
    const answer = await calls.call(holder, { kind: 'ask-token', workspace, limitMs }, limitMs)
    return answer.isErr() || answer.value.kind !== 'token' ? 'unreachable' : answer.value.refusal
  }

  return {
    admit,
    takeToken: async ({ workspace, limitMs }) => ({ kind: 'token', refusal: await admitFromOwnShare(workspace, addTime(clock.now(), limitMs)) }),
    tick: () => { carryOut(limiter.tick()) }
  }
}
