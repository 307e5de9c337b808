import { NO_WORKSPACE } from '../decisions/caller-sessions/endpoint-index.js'
import type { LimiterEffect, WorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { Milliseconds } from '../types/clock.js'
import type { RequestId, WorkspaceId } from '../types/ids.js'
import { requestId } from '../types/ids.js'
import { resultNameOf } from '../types/result-code.js'
import type { SessionRefusal } from '../types/session-statement.js'

/** Admission of session operations by the rate of their workspaces. */
export interface Admission {
  /** Resolves when the operation may run, or with the refusal. */
  admit: (workspace: WorkspaceId, deadline: Milliseconds) => Promise<SessionRefusal | null>
  tick: () => void
}

/** @param onDemand - called when demand exceeds the share of this instance */
export function createAdmission (limiter: WorkspaceLimiter, onDemand: () => void): Admission {
  const waiting = new Map<RequestId, (refusal: SessionRefusal | null) => void>()
  let count = 0

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

  return {
    admit: (workspace, deadline) => new Promise((resolve) => {
      // The manifest sets no rate for callers that belong to no workspace.
      if (workspace === NO_WORKSPACE) return resolve(null)
      const id = requestId(`s${++count}`)
      waiting.set(id, resolve)
      carryOut(limiter.handle({ kind: 'admit', requestId: id, workspace, deadline }))
    }),
    tick: () => { carryOut(limiter.tick()) }
  }
}
