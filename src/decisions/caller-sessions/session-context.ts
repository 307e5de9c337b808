import type { Result } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DatabaseReply } from '../../types/database-session.js'
import type { DatabaseId, GroupId, WorkspaceId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import type { AcquiredConnection, ConnectionRequirements } from './acquire-connection.js'
import { acquireConnection, recordOverload } from './acquire-connection.js'
import type { OperationTiming } from './operation-timing.js'
import { addStatementTiming, describeTiming } from './operation-timing.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionCommit } from './required-position.js'
import type { SessionGrant, SessionServices } from './session-services.js'
import { buildRefusalPromisingNothingKept, refuseWhileStopping } from './session-services.js'
import type { SessionValues } from './session-values.js'
import type { StatementLoss, StatementReply, StatementRequest } from './statement-runner.js'
import { runStatement } from './statement-runner.js'

/** A statement gets at least this time, even if less is left before its deadline: the shortest time in which a database answers. */
export const MIN_RUN_MS = 5
/** Pause before a refused statement is sent to the same database again. */
const REFUSED_STATEMENT_PAUSE_MS = 25

/** Fields that are logged with a decision. */
export type DecisionDetails = Record<string, string | number | boolean | null>

/** Why a lender or a database did not run a statement. */
export type DatabaseRefusal = Extract<DatabaseReply['outcome'], { kind: 'error' }>

/** State that the single statements and transactions of one session share. */
export interface SessionContext {
  readonly services: SessionServices
  readonly endpointName: string
  readonly keyDigest: string | null
  readonly values: SessionValues
  /** Time within which a database must answer a rollback, in milliseconds. */
  readonly rollbackTimeoutMs: number
  /** The session's last commit; null before the first. */
  lastCommit: SessionCommit | null
  /** Group of the last operation; null before the first. */
  group: GroupId | null
  /** Whether the statement in progress was given its last answer. Nothing is sent for it any more. */
  isInterrupted: boolean
  /** Database of the connection in use; null while the session uses none. */
  database: DatabaseId | null
  /** Timing of the operation in progress, or of the last one. */
  timing: OperationTiming
}

/** Starts an operation on the group of its grant. @returns the requirements of a statement that arrived at `arrivedAt` */
export function buildRequirements (context: SessionContext, grant: SessionGrant, kind: 'read' | 'write', arrivedAt: Milliseconds, transactionMode: ConnectionRequirements['transactionMode']): ConnectionRequirements {
  const { lastCommit, values } = context
  context.group = grant.endpoint.group
  return { grant, kind, arrivedAt, transactionMode, lastCommit, values, deadline: addTime(arrivedAt, grant.endpoint.statementTimeoutMs), excludedDatabases: new Set(), heldMs: 0, wasOffered: false, overloads: new Map() }
}

/** @returns time left until the deadline of a statement in milliseconds; negative after it */
export function computeRemainingMs ({ services }: SessionContext, requirements: ConnectionRequirements): number {
  return requirements.deadline - services.clock.now()
}

/**
 * Admits an operation: checks that the instance is not stopping, and endpoint and key against the manifest in force and takes a token of the workspace's rate.
 * Called for each single statement and each `begin`. The statements of a transaction take no further token.
 * @returns endpoint and workspace of the operation, or the refusal and whether it ends the session
 */
export async function admitOperation (context: SessionContext, id: string): Promise<SessionGrant | { refusal: SessionRefusal, ends: boolean }> {
  const { services, endpointName, keyDigest } = context
  const startedAt = services.clock.now()
  const grant = services.authorize(endpointName, keyDigest)
  if ('promise' in grant) {
    logRefusal(context, id, grant, startedAt, null)
    // Every later operation would get the same refusal, so the session ends.
    return { refusal: grant, ends: true }
  }
  const stopping = refuseWhileStopping(services, 'shuttingDown')
  if (stopping !== null) {
    logRefusal(context, id, stopping, startedAt, grant)
    return { refusal: stopping, ends: true }
  }
  const refusal = await services.admit(grant.workspace, addTime(startedAt, grant.endpoint.statementTimeoutMs))
  context.timing.admissionMs += services.clock.now() - startedAt
  if (refusal === null) return grant
  logRefusal(context, id, refusal, startedAt, grant)
  return { refusal, ends: false }
}

/** Logs an operation that was refused before a database was selected. */
export function logRefusal ({ services, endpointName }: SessionContext, id: string, refusal: SessionRefusal, startedAt: Milliseconds, grant: SessionGrant | null): void {
  services.logEvent('operationRefused', {
    requestId: id,
    endpoint: endpointName,
    workspace: grant?.workspace ?? null,
    manifestVersion: grant?.manifestVersion ?? null,
    result: refusal.result,
    promise: refusal.promise,
    message: refusal.message,
    retryAfterMs: refusal.retryAfterMs,
    durationMs: Math.round(services.clock.now() - startedAt)
  })
}

/**
 * Checks the key of an operation that has begun against the manifest in force. A change of the manifest can withdraw the key, or give it to
 * another workspace.
 * @param workspace - workspace for which the operation was admitted
 * @returns the grant in force, or why nothing more may be sent for the operation
 */
export function authorizeAgain ({ services, endpointName, keyDigest }: SessionContext, workspace: WorkspaceId): SessionGrant | SessionRefusal {
  const grant = services.authorize(endpointName, keyDigest)
  if ('promise' in grant || grant.workspace === workspace) return grant
  return buildRefusalPromisingNothingKept('transactionAborted', 'the key belongs to another workspace now', 0)
}

/**
 * Acquires a connection and adds the wait to the timing of the operation. The key may have changed hands meanwhile.
 * @see acquireConnection
 */
export async function acquireTimedConnection (context: SessionContext, requirements: ConnectionRequirements): Promise<AcquiredConnection | SessionRefusal> {
  const { services, timing } = context
  const startedAt = services.clock.now()
  const acquired = await acquireConnection(services, requirements)
  const slotMs = 'promise' in acquired ? 0 : acquired.pooled.slotWaitMs ?? 0
  timing.slotMs += slotMs
  timing.connectionMs += services.clock.now() - startedAt - slotMs
  if ('promise' in acquired) return acquired
  const current = authorizeAgain(context, requirements.grant.workspace)
  if (!('promise' in current)) return acquired
  if (acquired.hasGuardTransaction) rollBackAndRelease(context, acquired.pooled).catch(() => {})
  else services.pool.release(acquired.pooled)
  return current
}

/** Runs a statement of the caller and adds its time to the timing of the operation. @see runStatement */
export async function runTimedStatement ({ services, timing }: SessionContext, pooled: PooledSession, request: StatementRequest): Promise<Result<StatementReply, StatementLoss>> {
  const result = await runStatement(services, pooled, request)
  if (result.isOk()) addStatementTiming(timing, result.value.reply, services.clock.now() - result.value.sentAt)
  return result
}

/** Records the end of an operation in the metrics and the log, with the details of its decisions. */
export function recordFinishedOperation ({ services, isInterrupted, timing }: SessionContext, grant: SessionGrant, id: string, startedAt: Milliseconds, refusal: SessionRefusal | null, acquired: AcquiredConnection | null, details: DecisionDetails): void {
  // The interruption was logged in place of the end.
  if (isInterrupted) return
  const durationMs = services.clock.now() - startedAt
  const servedBy = acquired === null ? null : acquired.isPrimary ? 'primary' : 'replica'
  services.onFinished({ workspace: grant.workspace, endpoint: grant.endpoint, refusal, servedBy, durationMs })
  services.logEvent(refusal === null ? 'operationFinished' : 'operationRefused', {
    requestId: id,
    endpoint: grant.endpoint.name,
    workspace: grant.workspace,
    manifestVersion: grant.manifestVersion,
    database: acquired?.pooled.database ?? null,
    heldBy: acquired?.pooled.heldBy() ?? null,
    durationMs: Math.round(durationMs),
    ...describeTiming(timing),
    ...(refusal === null ? {} : { result: refusal.result, promise: refusal.promise, message: refusal.message, retryAfterMs: refusal.retryAfterMs }),
    ...details
  })
}

function formatPosition (position: LogPosition | null): string | null {
  return position === null ? null : `${position.term}.${position.offset}`
}

/** @returns log fields that explain why a statement ran on its database */
export function buildDecisionDetails ({ lastCommit }: SessionContext, kind: string, acquired: AcquiredConnection | null): DecisionDetails {
  const ageMs = acquired?.positionAgeMs ?? null
  return {
    kind,
    group: acquired?.group ?? null,
    after: formatPosition(acquired?.after ?? null),
    lastCommit: formatPosition(lastCommit?.position ?? null),
    lastCommitGroup: lastCommit?.group ?? null,
    positionAgeMs: ageMs === null ? null : Math.round(ageMs),
    groupTerm: acquired?.groupTerm ?? null,
    proven: acquired?.hadFreshnessLease ?? null
  }
}

/**
 * Records a commit of the session, and the position in a reply. Only a confirmed primary determines the required position of later reads: one covered by a
 * freshness lease, or one that has just committed a write.
 */
export function recordReplyPosition (context: SessionContext, acquired: AcquiredConnection, reply: DatabaseReply, sentAt: Milliseconds, canCommitWrite: boolean): void {
  const { clock, access } = context.services
  const { group, groupTerm, hadFreshnessLease } = acquired
  // Replicas confirm nothing.
  if (groupTerm === null) return
  const { position } = reply
  const hasCommitted = canCommitWrite && reply.outcome.kind === 'done'
  if (hasCommitted) context.lastCommit = { group, groupTerm, position, acknowledgedAt: clock.now() }
  if (position !== null && (hadFreshnessLease || hasCommitted)) access.history(group).add(position, sentAt, groupTerm)
}

/**
 * Records that a statement was not run, by the lender of its connection or by its database.
 * @param elapsedMs - time from sending the statement until the refusal
 * @returns pause before the next attempt in milliseconds
 */
export function recordDatabaseRefusal ({ services }: SessionContext, { error, overload }: DatabaseRefusal, requirements: ConnectionRequirements, acquired: AcquiredConnection, elapsedMs: number): number {
  // The wait for a database that does not answer is not a wait for room.
  const isSilent = services.health.silentForMs(acquired.pooled.database) > 0
  if (error !== 'not-sent') requirements.wasOffered = true
  else if (!isSilent) requirements.heldMs += elapsedMs
  if (overload !== undefined) recordOverload(requirements, acquired.pooled.database, overload)
  if (error === 'lagging') requirements.needsPrimary = true
  else if (requirements.kind === 'read') requirements.excludedDatabases.add(acquired.pooled.database)
  const hasOtherDatabases = requirements.kind === 'read' && services.access.databases(acquired.group).some(({ database }) => !requirements.excludedDatabases.has(database))
  if (!hasOtherDatabases) requirements.excludedDatabases.clear()
  // The next attempt goes to another database, or refuses the operation.
  if (overload !== undefined && services.boundedHolding !== undefined && !requirements.wasOffered) return 0
  return error === 'unknown-statement' || error === 'lagging' || hasOtherDatabases ? 0 : REFUSED_STATEMENT_PAUSE_MS
}

/** Releases a connection after a reply, or closes the connection when it is still inside a transaction. */
export function releaseOrDiscard ({ services }: SessionContext, pooled: PooledSession, reply: DatabaseReply): void {
  if (reply.state === 'idle') services.pool.release(pooled)
  else services.pool.discard(pooled)
}

/** Rolls back the open transaction of a connection and releases the connection. */
export async function rollBackAndRelease (context: SessionContext, pooled: PooledSession): Promise<void> {
  const result = await runStatement(context.services, pooled, { id: null, statement: { kind: 'rollback' }, after: null, values: context.values, limitMs: context.rollbackTimeoutMs, isLast: true })
  if (result.isOk()) releaseOrDiscard(context, pooled, result.value.reply)
}
