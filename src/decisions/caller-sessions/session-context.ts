import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DatabaseErrorKind, DatabaseReply } from '../../types/database-session.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import type { Acquired, ConnectionNeed } from './acquire-connection.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionGrant, SessionServices } from './session-services.js'
import type { SessionValues } from './session-values.js'
import { runStatement } from './statement-runner.js'

/** A statement is not begun with less time than this left, in milliseconds: the shortest time in which a database answers. */
export const LEAST_RUN_MS = 5
/** Pause before a database that refused a statement is asked again, in milliseconds. */
const REFUSED_PAUSE_MS = 25

/** Values that go with a logged decision. */
export type DecisionDetails = Record<string, string | number | boolean | null>

/** What single statements and transactions of one session share. */
export interface SessionContext {
  readonly services: SessionServices
  readonly endpointName: string
  readonly keyDigest: string | null
  readonly values: SessionValues
  /** Time that the database gets for a rollback, in milliseconds. */
  readonly rollbackLimitMs: number
  /** Position of the last commit of the session. */
  position: LogPosition | null
}

/** @returns the need of a statement that has just arrived */
export function needOf (context: SessionContext, grant: SessionGrant, kind: 'read' | 'write', arrivedAt: Milliseconds, needsTransaction: ConnectionNeed['needsTransaction']): ConnectionNeed {
  const { position, values } = context
  return { grant, kind, arrivedAt, needsTransaction, position, values, giveUpAt: addTime(arrivedAt, grant.endpoint.statementTimeoutMs), tried: new Set() }
}

/** @returns time left for a statement in milliseconds */
export function remaining ({ services }: SessionContext, need: ConnectionNeed): number {
  return need.giveUpAt - services.clock.now()
}

/** Checks the session again and takes a token of the workspace's rate; every operation begins with it. */
export async function grantOperation (context: SessionContext, id: string): Promise<SessionGrant | { refusal: SessionRefusal, ends: boolean }> {
  const { services, endpointName, keyDigest } = context
  const startedAt = services.clock.now()
  const grant = services.authorize(endpointName, keyDigest)
  if ('promise' in grant) {
    logRefusedGrant(context, id, grant, startedAt, null)
    // The caller's next session gets the same answer, so this one has no further use.
    return { refusal: grant, ends: true }
  }
  const refusal = await services.admit(grant.workspace, addTime(startedAt, grant.endpoint.statementTimeoutMs))
  if (refusal === null) return grant
  logRefusedGrant(context, id, refusal, startedAt, grant)
  return { refusal, ends: false }
}

/** Logs an operation that was refused before a database was chosen. */
export function logRefusedGrant ({ services, endpointName }: SessionContext, id: string, refusal: SessionRefusal, startedAt: Milliseconds, grant: SessionGrant | null): void {
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

/** Counts and logs the end of an operation, with what decided it. */
export function finishOperation ({ services }: SessionContext, grant: SessionGrant, id: string, startedAt: Milliseconds, refusal: SessionRefusal | null, held: Acquired | null, details: DecisionDetails): void {
  const durationMs = services.clock.now() - startedAt
  const servedBy = held === null ? null : held.isPrimary ? 'primary' : 'replica'
  services.onFinished({ workspace: grant.workspace, endpoint: grant.endpoint, refusal, servedBy, durationMs })
  services.logEvent(refusal === null ? 'operationFinished' : 'operationRefused', {
    requestId: id,
    endpoint: grant.endpoint.name,
    workspace: grant.workspace,
    manifestVersion: grant.manifestVersion,
    database: held?.pooled.database ?? null,
    heldBy: held?.pooled.heldBy() ?? null,
    durationMs: Math.round(durationMs),
    ...(refusal === null ? {} : { result: refusal.result, promise: refusal.promise, message: refusal.message, retryAfterMs: refusal.retryAfterMs }),
    ...details
  })
}

/** @returns what decided where a statement ran */
export function evidenceOf (kind: string, held: Acquired | null): DecisionDetails {
  const after = held?.after ?? null
  const age = held?.positionAgeMs ?? null
  return {
    kind,
    after: after === null ? null : `${after.term}.${after.offset}`,
    positionAgeMs: age === null ? null : Math.round(age),
    groupTerm: held?.groupTerm ?? null,
    proven: held?.provenAtStart ?? null
  }
}

/** Learns from the position in an answer. Only a database that leads for certain tells what later reads must see. */
export function noteReply (context: SessionContext, held: Acquired, reply: DatabaseReply, sentAt: Milliseconds, isCommit: boolean): void {
  if (reply.position === null) return
  const hasCommitted = isCommit && reply.outcome.kind === 'done'
  if (held.isPrimary && (held.provenAtStart || hasCommitted)) context.services.access.history(held.group).add(reply.position, sentAt)
  if (hasCommitted) context.position = reply.position
}

/**
 * Notes that a database refused a statement that has not run.
 * @returns how long to wait before the next try, in milliseconds
 */
export function noteRefused ({ services }: SessionContext, error: DatabaseErrorKind, need: ConnectionNeed, held: Acquired): number {
  if (error === 'lagging') need.needsPrimary = true
  else if (need.kind === 'read') need.tried.add(held.pooled.database)
  const hasOthers = need.kind === 'read' && services.access.databases(held.group).some(({ database }) => !need.tried.has(database))
  if (!hasOthers) need.tried.clear()
  return error === 'unknown-statement' || error === 'lagging' || hasOthers ? 0 : REFUSED_PAUSE_MS
}

/** Gives back a connection after an answer; one that is still inside a transaction is of no further use. */
export function giveBack ({ services }: SessionContext, pooled: PooledSession, reply: DatabaseReply): void {
  if (reply.state === 'idle') services.pool.release(pooled)
  else services.pool.discard(pooled)
}

/** Rolls back what is open on a connection and gives it back. */
export async function rollBack (context: SessionContext, pooled: PooledSession): Promise<void> {
  const result = await runStatement(context.services, pooled, { id: null, statement: { kind: 'rollback' }, after: null, values: context.values, limitMs: context.rollbackLimitMs, isLast: true })
  if (result.isOk()) giveBack(context, pooled, result.value.reply)
}
