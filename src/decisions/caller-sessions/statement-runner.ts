import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import type { ConnectionLoss, DatabaseReply } from '../../types/database-session.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionStatement } from '../../types/session-statement.js'
import type { CrossDomainOutcome } from './cross-domain-reads.js'
import type { StatementOutcome } from './database-health.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionServices } from './session-services.js'
import type { ValuesView } from './session-values.js'

/**
 * Why a statement was not answered.
 * - `lost`: the connection ended or became unusable
 * - `silent`: no answer came within the time limit of the statement
 * - `holder-lost`: the connection holder did not answer, which is no evidence about the database
 */
export type StatementLoss = ConnectionLoss | { kind: 'silent' | 'holder-lost', message: string }

/** One statement to be run on a connection. */
export interface StatementRequest {
  /** Id that the caller gave; null for statements of the proxy itself. */
  id: string | null
  statement: SessionStatement
  /**
   * Opens a transaction ahead of the statement. The statement is sent only after the database has confirmed the `begin`, since it could
   * otherwise run outside of the transaction. Default: no transaction is opened.
   */
  begin?: { readOnly: boolean }
  /** Required position, checked by the `begin` if there is one; null when the database does not have to check one. */
  after: LogPosition | null
  values: ValuesView
  /** Time limit for the answer in milliseconds. */
  limitMs: number
  /** Time from which the statement must not be sent to a database, since its sender may have stopped waiting. Default: the end of `limitMs`. */
  sendBy?: Milliseconds
  /** @returns whether the statement must not be sent any more, since its caller was answered in its place. Default: it may be sent. */
  isCancelled?: () => boolean
  /** Whether the session releases the connection after the answer, if the connection is then outside of any transaction. */
  isLast: boolean
}

/** A reply, and when its statement was sent. */
export interface StatementReply {
  reply: DatabaseReply
  sentAt: Milliseconds
}

/**
 * Runs one statement on a connection, after applying the values of the caller's session there, and records the outcome as health
 * evidence. A connection without an answer is closed. When a used connection was silent, the idle connections to the same database
 * are closed too, since they may be silent as well.
 */
export async function runStatement (services: Pick<SessionServices, 'clock' | 'health' | 'pool' | 'after' | 'crossDomainReads'>, pooled: PooledSession, request: StatementRequest): Promise<Result<StatementReply, StatementLoss>> {
  const { clock, health, pool } = services
  const recordOutcome = health.recordStatementStart(pooled.database)
  const recordRead = isSingleRead(request) ? services.crossDomainReads?.recordStart(pooled.database) : undefined
  const sentAt = clock.now()
  const wasUnused = pooled.isUnused
  pooled.isUnused = false
  const result = await withTimeout(services, pooled.run(request), request.limitMs)
  if (result.isErr()) {
    recordOutcome(result.error.kind === 'holder-lost' ? 'unjudged' : 'lost')
    recordRead?.('lost')
    pool.discard(pooled)
    if (result.error.kind === 'silent' && !wasUnused) pool.closeIdle(pooled.database)
    return err(result.error)
  }
  const reply = result.value
  recordOutcome(classifyReply(reply))
  recordRead?.(classifyRead(reply))
  if (reply.position !== null) health.recordPosition(pooled.database, reply.position)
  return ok({ reply, sentAt })
}

function classifyReply ({ outcome }: DatabaseReply): StatementOutcome {
  if (outcome.kind === 'done') return 'answered'
  if (outcome.error === 'not-sent') return 'unjudged'
  return outcome.error === 'failed' || outcome.error === 'timed-out' ? 'failed' : 'answered'
}

/** Statements of transactions are left out, since only the first one waits for capacity. */
function isSingleRead ({ statement, values, isLast }: StatementRequest): boolean {
  if (!isLast) return false
  if (statement.kind === 'execute') return values.prepared.get(statement.name)?.access === 'read'
  return statement.kind === 'run' && statement.access === 'read'
}

/** A refusal for lack of capacity comes quickly, and its time says nothing about the wait of a read that is accepted. */
function classifyRead ({ outcome }: DatabaseReply): CrossDomainOutcome {
  if (outcome.kind === 'done') return 'answered'
  if (outcome.error === 'busy' || outcome.error === 'not-sent' || outcome.error === 'too-many-connections') return 'refused'
  return outcome.error === 'timed-out' ? 'failed' : 'unjudged'
}

async function withTimeout (services: Pick<SessionServices, 'after'>, answer: Promise<Result<DatabaseReply, StatementLoss>>, limitMs: number): Promise<Result<DatabaseReply, StatementLoss>> {
  return await new Promise((resolve) => {
    const cancel = services.after(limitMs, () => { resolve(err({ kind: 'silent', message: `the statement got no answer within ${Math.round(limitMs)} ms` })) })
    answer.then((result) => {
      cancel()
      resolve(result)
    }, (error: unknown) => {
      cancel()
      resolve(err({ kind: 'lost', message: String(error) }))
    })
  })
}
