import type { Clock, Milliseconds } from '../../types/clock.js'
import type { FailureDomainId, WorkspaceId } from '../../types/ids.js'
import type { LogEvent } from '../../types/log-event.js'
import type { SessionEndpoint } from '../../types/manifest.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import type { DatabaseHealth } from './database-health.js'
import type { GroupAccess } from './group-access.js'
import type { SessionPool } from './session-pool.js'

/** Who a session runs for, by the manifest in force. */
export interface SessionGrant {
  endpoint: SessionEndpoint
  workspace: WorkspaceId
  /** Version of the manifest that grants it. */
  manifestVersion: number
}

/** One finished operation, for metrics and the service levels. */
export interface FinishedOperation {
  workspace: WorkspaceId
  endpoint: SessionEndpoint
  refusal: SessionRefusal | null
  servedBy: 'primary' | 'replica' | null
  durationMs: number
}

/** What all sessions of one instance share. */
export interface SessionServices {
  clock: Clock
  failureDomain: FailureDomainId
  access: GroupAccess
  pool: SessionPool
  health: DatabaseHealth
  /** Checks endpoint and key against the manifest in force. */
  authorize: (endpointName: string, keyDigest: string | null) => SessionGrant | SessionRefusal
  /** Takes a token of the workspace's rate; null: the operation may run. */
  admit: (workspace: WorkspaceId, deadline: Milliseconds) => Promise<SessionRefusal | null>
  /** @returns longest time that a transaction may run no statement, in milliseconds */
  idleTransactionMs: () => number
  /** Calls back after a time in milliseconds; returns a function that prevents the call. */
  after: (durationMs: number, callback: () => void) => () => void
  logEvent: LogEvent
  onFinished: (finished: FinishedOperation) => void
}

/** @returns a refusal of an operation of which nothing is kept */
export function refuseOperation (result: SessionRefusal['result'], message: string, retryAfterMs: number | null): SessionRefusal {
  return { result, promise: 'nothing-kept', message, retryAfterMs }
}
