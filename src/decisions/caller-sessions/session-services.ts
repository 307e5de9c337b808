import type { Clock, Milliseconds } from '../../types/clock.js'
import type { FailureDomainId, WorkspaceId } from '../../types/ids.js'
import type { LogEvent } from '../../types/log-event.js'
import type { SessionEndpoint } from '../../types/manifest.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import type { StopStage } from '../../types/stop-stage.js'
import { hasReached } from '../../types/stop-stage.js'
import type { BoundedHolding } from './bounded-holding.js'
import type { CrossDomainReads } from './cross-domain-reads.js'
import type { SessionMemory } from '../overload/session-memory.js'
import type { DatabaseHealth } from './database-health.js'
import type { GroupAccess } from './group-access.js'
import type { SessionPool } from './session-pool.js'

/** Endpoint and workspace that a session may use according to the manifest in force. */
export interface SessionGrant {
  endpoint: SessionEndpoint
  workspace: WorkspaceId
  /** Version of the manifest that allows it. */
  manifestVersion: number
}

/** One finished operation, for metrics and service levels. */
export interface FinishedOperation {
  workspace: WorkspaceId
  endpoint: SessionEndpoint
  refusal: SessionRefusal | null
  /** Role of the database that served the operation; null when no connection was acquired. */
  servedBy: 'primary' | 'replica' | null
  durationMs: number
}

/** Services that all sessions of one instance share. */
export interface SessionServices {
  clock: Clock
  /** Failure domain of this instance. */
  failureDomain: FailureDomainId
  access: GroupAccess
  pool: SessionPool
  health: DatabaseHealth
  /** Absent: reads leave the failure domain at fixed costs. */
  crossDomainReads?: CrossDomainReads
  /** Checks endpoint and key against the manifest in force. @param keyDigest - null when the caller sent no key */
  authorize: (endpointName: string, keyDigest: string | null) => SessionGrant | SessionRefusal
  /** Takes a token of the workspace's rate. @returns null when the operation may run, otherwise the refusal */
  admit: (workspace: WorkspaceId, deadline: Milliseconds) => Promise<SessionRefusal | null>
  /** @returns longest time between two statements of a transaction in milliseconds */
  idleTransactionMs: () => number
  /** Memory for values and prepared statements of all sessions; absent: no limit. */
  sessionMemory?: SessionMemory
  /** @returns the stage of a planned stop of this instance */
  stopStage: () => StopStage
  /** Calls back after a time in milliseconds. @returns a function that cancels the call */
  after: (durationMs: number, callback: () => void) => () => void
  logEvent: LogEvent
  onFinished: (finished: FinishedOperation) => void
  /** Called once for each operation that a database began to run. @param sentAt - when its first statement was sent */
  onBegan: (workspace: WorkspaceId, sentAt: Milliseconds) => void
  /** Absent: an operation may wait for room at the databases until its statement timeout. */
  boundedHolding?: BoundedHolding
}

/**
 * Builds a refusal which promises that nothing of the refused statement or transaction was kept. The caller may therefore repeat it.
 * @param retryAfterMs - when a repetition may succeed, in milliseconds; null when it can't
 */
export function buildRefusalPromisingNothingKept (result: SessionRefusal['result'], message: string, retryAfterMs: number | null): SessionRefusal {
  return { result, promise: 'nothing-kept', message, retryAfterMs }
}

/**
 * @returns the refusal of a statement that a stopping instance does not send to a database any more; null while it sends statements.
 * Other instances can serve the caller at once.
 */
export function refuseWhileStopping ({ stopStage }: Pick<SessionServices, 'stopStage'>, result: 'shuttingDown' | 'transactionAborted'): SessionRefusal | null {
  if (!hasReached(stopStage(), 'refusing')) return null
  return buildRefusalPromisingNothingKept(result, 'the instance is stopping and sends no more statements to databases', 0)
}
