import { NO_WORKSPACE } from '../decisions/caller-sessions/endpoint-index.js'
import type { PeerCalls } from '../decisions/caller-sessions/borrowed-session.js'
import { buildNothingKeptRefusal } from '../decisions/caller-sessions/session-services.js'
import { selectRateHolders } from '../decisions/limits/select-rate-holders.js'
import type { LimiterEffect, WorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import { addTime } from '../types/clock.js'
import type { DirectoryInstance } from '../types/directory.js'
import type { InstanceId, RequestId, WorkspaceId } from '../types/ids.js'
import { requestId } from '../types/ids.js'
import { resultNameOf } from '../types/result-code.js'
import type { SessionRefusal } from '../types/session-statement.js'
import type { AskToken, TokenAnswer } from '../types/session-peer-message.js'

/** Longest wait for a token of another instance in milliseconds: its own wait for a token, and the way there and back. */
const TOKEN_CALL_MS = 150
/** Holders of a rate that are asked for one operation; the leader moves shares to where demand is. */
const MAX_HOLDERS_ASKED = 2
/** Time in which the leader gives out the shares of a holder that is lost, in milliseconds. */
const NO_HOLDER_RETRY_MS = 500

export interface AdmissionOptions {
  clock: Clock
  instance: InstanceId
  limiter: WorkspaceLimiter
  calls: PeerCalls
  /** @returns the instances of the directory in force */
  instances: () => readonly DirectoryInstance[]
  /** Called when demand exceeds the share of this instance. */
  onDemand: () => void
}

/** Admission of session operations by the rate of their workspaces. */
export interface Admission {
  /** Resolves when the operation may run, or with the refusal. */
  admit: (workspace: WorkspaceId, deadline: Milliseconds) => Promise<SessionRefusal | null>
  /** Takes a token of this instance's share for an operation of another instance. */
  takeToken: (call: AskToken) => Promise<TokenAnswer>
  tick: () => void
}

/** Creates the admission; rates that this instance holds no share of are asked for at their holders. */
export function createAdmission ({ clock, instance, limiter, calls, instances, onDemand }: AdmissionOptions): Admission {
  const waiting = new Map<RequestId, (refusal: SessionRefusal | null) => void>()
  let count = 0
  let holdersOf = new Map<WorkspaceId, DirectoryInstance[] | null>()
  let holdersFrom: readonly DirectoryInstance[] | null = null

  function carryOut (effects: readonly LimiterEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'ask-for-share') {
        onDemand()
        continue
      }
      const settle = waiting.get(effect.requestId)
      waiting.delete(effect.requestId)
      settle?.(effect.kind === 'admitted' ? null : refusalOf(effect))
    }
  }

  function refusalOf ({ refusal }: Extract<LimiterEffect, { kind: 'refused' }>): SessionRefusal {
    return { result: resultNameOf(refusal.code), promise: 'nothing-kept', message: refusal.message, retryAfterMs: refusal.retryAfterMs }
  }

  function admitHere (workspace: WorkspaceId, deadline: Milliseconds): Promise<SessionRefusal | null> {
    return new Promise((resolve) => {
      const id = requestId(`s${++count}`)
      waiting.set(id, resolve)
      carryOut(limiter.handle({ kind: 'admit', requestId: id, workspace, deadline }))
    })
  }

  function holders (workspace: WorkspaceId): DirectoryInstance[] | null {
    const listed = instances()
    if (listed !== holdersFrom) {
      holdersFrom = listed
      holdersOf = new Map()
    }
    const known = holdersOf.get(workspace)
    if (known !== undefined) return known
    const named = selectRateHolders(workspace, listed)
    const found = named === null ? null : named.flatMap((name) => listed.filter((candidate) => candidate.instance === name))
    holdersOf.set(workspace, found)
    return found
  }

  /** Starts with another holder each time, so that all parts of the rate are used alike. */
  function order (found: readonly DirectoryInstance[]): DirectoryInstance[] {
    const own = found.filter((holder) => holder.instance === instance)
    const others = found.filter((holder) => holder.instance !== instance && calls.canRequest(holder.instance))
    const first = ++count % Math.max(1, others.length)
    return [...own, ...others.slice(first), ...others.slice(0, first)]
  }

  async function admit (workspace: WorkspaceId, deadline: Milliseconds): Promise<SessionRefusal | null> {
    // The manifest sets no rate for callers that belong to no workspace.
    if (workspace === NO_WORKSPACE) return null
    const found = holders(workspace)
    if (found === null) return await admitHere(workspace, deadline)
    let last = buildNothingKeptRefusal('notFresh', 'no instance that holds the rate of the workspace could be asked', NO_HOLDER_RETRY_MS)
    let asked = 0
    for (const holder of order(found)) {
      if (asked === MAX_HOLDERS_ASKED) break
      const refusal = holder.instance === instance ? await admitHere(workspace, deadline) : await askHolder(holder, workspace, deadline)
      if (refusal === null) return null
      if (refusal === 'unreachable') continue
      last = refusal
      asked++
    }
    return last
  }

  async function askHolder (holder: DirectoryInstance, workspace: WorkspaceId, deadline: Milliseconds): Promise<SessionRefusal | null | 'unreachable'> {
    const limitMs = Math.min(TOKEN_CALL_MS, deadline - clock.now())
    const answer = await calls.call(holder, { kind: 'ask-token', workspace, limitMs }, limitMs)
    return answer.isErr() || answer.value.kind !== 'token' ? 'unreachable' : answer.value.refusal
  }

  return {
    admit,
    takeToken: async ({ workspace, limitMs }) => ({ kind: 'token', refusal: await admitHere(workspace, addTime(clock.now(), limitMs)) }),
    tick: () => { carryOut(limiter.tick()) }
  }
}
