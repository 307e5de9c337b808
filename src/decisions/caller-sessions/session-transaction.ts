import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseErrorKind } from '../../types/database-session.js'
import type { SessionAnswer, SessionRefusal, SessionStatement } from '../../types/session-statement.js'
import type { Acquired, ConnectionNeed } from './acquire-connection.js'
import { acquireConnection } from './acquire-connection.js'
import type { PrimaryUse } from './group-access.js'
import type { SessionContext } from './session-context.js'
import { evidenceOf, finishOperation, giveBack, LEAST_RUN_MS, logRefusedGrant, needOf, noteRefused, noteReply, remaining, rollBack } from './session-context.js'
import type { SessionGrant } from './session-services.js'
import { refuseOperation } from './session-services.js'
import { RETRY_AFTER_MS, refusalOfLoss, refusalOfReply } from './statement-refusal.js'
import { runStatement } from './statement-runner.js'

export type TransactionStatementKind = 'read' | 'write' | 'commit'

/** Answer to a statement of a transaction. */
export interface TransactionAnswer {
  outcome: SessionAnswer['outcome']
  ends: boolean
}

/** A transaction of a caller. Its database connection is taken at the first statement, so that a caller that pauses before holds nothing. */
export interface SessionTransaction {
  /** - `over`: it has ended; the session has no transaction any more */
  state: () => 'open' | 'failed' | 'over'
  run: (id: string, statement: SessionStatement, kind: TransactionStatementKind) => Promise<TransactionAnswer>
  /** Rolls the transaction back; a statement that runs is waited for first. */
  rollback: () => void
}

const refused = (refusal: SessionRefusal, ends = false): TransactionAnswer => ({ outcome: { kind: 'refused', refusal }, ends })

const hasFailed: SessionRefusal = { result: 'malformedRequest', promise: 'rejected', message: 'the transaction has failed; only its end is allowed', retryAfterMs: null }

/** Opens a transaction; nothing is sent to a database yet. */
export function openTransaction (context: SessionContext, readOnly: boolean): SessionTransaction {
  const { services, values, endpointName, keyDigest } = context
  const { clock, access, pool, after } = services
  const startedAt = clock.now()
  let state: 'open' | 'failed' | 'over' = 'open'
  let held: Acquired | null = null
  let use: PrimaryUse | null = null
  let hasWritten = false
  let isRunning = false
  let retries = 0
  /** Why the system ended the transaction; told with the caller's next statement. */
  let endedBy: SessionRefusal | null = null
  let cancelIdle = (): void => {}

  function watchIdle (): void {
    cancelIdle()
    cancelIdle = after(services.idleTransactionMs(), () => { abort(refuseOperation('transactionAborted', 'the transaction ran no statement for too long', 0)) })
  }

  function abort (refusal: SessionRefusal): void {
    if (isRunning || state !== 'open') return
    state = 'failed'
    endedBy = refusal
    letGo(false)
  }

  /** @param isOver - whether the database has ended the transaction */
  function letGo (isOver: boolean): void {
    cancelIdle()
    use?.end()
    use = null
    const last = held
    held = null
    if (last === null || last.pooled.ended) return
    if (isOver) pool.release(last.pooled)
    else rollBack(context, last.pooled).catch(() => {})
  }

  /** A commit ends the transaction in any case. */
  function fail (kind: TransactionStatementKind): void {
    if (state !== 'over') state = kind === 'commit' ? 'over' : 'failed'
    letGo(false)
  }

  async function run (id: string, statement: SessionStatement, kind: TransactionStatementKind): Promise<TransactionAnswer> {
    const arrivedAt = clock.now()
    if (state !== 'open') return afterFailure(kind)
    const grant = services.authorize(endpointName, keyDigest)
    if ('promise' in grant) {
      logRefusedGrant(context, id, grant, arrivedAt, null)
      fail(kind)
      return refused(grant, true)
    }
    cancelIdle()
    isRunning = true
    const answer = await runOn(grant, id, statement, kind, arrivedAt)
    isRunning = false
    if (state === 'open') watchIdle()
    else if (held !== null) letGo(false)
    return answer
  }

  function afterFailure (kind: TransactionStatementKind): TransactionAnswer {
    const told = endedBy
    endedBy = null
    if (kind !== 'commit') return refused(told ?? hasFailed)
    state = 'over'
    return refused(told ?? refuseOperation('transactionAborted', 'the transaction has failed and was rolled back', 0))
  }

  async function hold (grant: SessionGrant, arrivedAt: Milliseconds, isWrite: boolean): Promise<Acquired | SessionRefusal> {
    if (held !== null) return held
    const isPlain = !readOnly || isWrite || grant.endpoint.consistency === 'primary'
    const need = needOf(context, grant, isPlain ? 'write' : 'read', arrivedAt, isPlain ? 'plain' : 'read-only')
    for (;;) {
      const acquired = await acquireConnection(services, need)
      if ('promise' in acquired) return acquired
      const refusal = await beginOn(acquired, need)
      if (refusal === null) return keep(acquired, need)
      retries++
      if (remaining(context, need) < LEAST_RUN_MS * 2) return refusalOfReply(refusal.error, refusal.message, false)
      if (refusal.pauseMs > 0) await access.changed(refusal.pauseMs)
    }
  }

  function keep (acquired: Acquired, need: ConnectionNeed): Acquired {
    held = acquired
    if (need.needsTransaction === 'plain') {
      use = access.use(acquired.group, () => { abort(refuseOperation('transactionAborted', 'the primary of the group is being changed', RETRY_AFTER_MS)) })
    }
    return acquired
  }

  /** The answer to `begin` must be known before a statement is sent, which would otherwise run outside of the transaction. */
  async function beginOn (acquired: Acquired, need: ConnectionNeed): Promise<{ error: DatabaseErrorKind, message: string, pauseMs: number } | null> {
    const begin: SessionStatement = { kind: 'begin', readOnly: need.needsTransaction === 'read-only' }
    const result = await runStatement(services, acquired.pooled, { id: null, statement: begin, after: acquired.after, values, limitMs: Math.max(LEAST_RUN_MS, remaining(context, need)), isLast: false })
    if (result.isErr()) {
      need.tried.add(acquired.pooled.database)
      return { error: 'busy', message: result.error.message, pauseMs: 0 }
    }
    const { reply, sentAt } = result.value
    noteReply(context, acquired, reply, sentAt, false)
    if (reply.outcome.kind === 'done') return null
    giveBack(context, acquired.pooled, reply)
    const { error, message } = reply.outcome
    return { error, message, pauseMs: noteRefused(context, error, need, acquired) }
  }

  async function runOn (grant: SessionGrant, id: string, statement: SessionStatement, kind: TransactionStatementKind, arrivedAt: Milliseconds): Promise<TransactionAnswer> {
    const on = await hold(grant, arrivedAt, kind === 'write')
    if ('promise' in on) return end(grant, id, kind, on, null)
    const limitMs = Math.max(LEAST_RUN_MS, arrivedAt + grant.endpoint.statementTimeoutMs - clock.now())
    const result = await runStatement(services, on.pooled, { id, statement, after: null, values, limitMs, isLast: kind === 'commit' })
    const mayBeKept = kind === 'commit' && hasWritten
    if (result.isErr()) return end(grant, id, kind, refusalOfLoss(result.error.message, mayBeKept), on)
    const { reply, sentAt } = result.value
    noteReply(context, on, reply, sentAt, mayBeKept)
    if (reply.outcome.kind === 'error') {
      const { error, message } = reply.outcome
      if (reply.state === 'transaction' && kind !== 'commit') return refused(refusalOfReply(error, message, false))
      if (reply.state === 'idle') releaseEnded()
      return end(grant, id, kind, refusalOfReply(error, message, mayBeKept), on)
    }
    if (kind === 'write') hasWritten = true
    if (kind === 'commit') {
      state = 'over'
      letGo(reply.state === 'idle')
      finishOperation(context, grant, id, startedAt, null, on, details(kind, on))
    }
    return { outcome: { kind: 'done', rows: reply.rows, proof: reply.outcome.proof }, ends: false }
  }

  function releaseEnded (): void {
    letGo(true)
  }

  function end (grant: SessionGrant, id: string, kind: TransactionStatementKind, refusal: SessionRefusal, on: Acquired | null): TransactionAnswer {
    fail(kind)
    finishOperation(context, grant, id, startedAt, refusal, on, details(kind, on))
    return refused(refusal)
  }

  function details (kind: TransactionStatementKind, on: Acquired | null): Record<string, string | number | boolean | null> {
    return { transaction: true, retries, ...evidenceOf(kind, on) }
  }

  watchIdle()
  return {
    state: () => state,
    run,
    rollback: () => {
      state = 'over'
      if (!isRunning) letGo(false)
    }
  }
}
