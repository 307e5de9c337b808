import type { Result } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseErrorKind } from '../../types/database-session.js'
import type { WorkspaceId } from '../../types/ids.js'
import type { SessionAnswer, SessionRefusal, SessionStatement } from '../../types/session-statement.js'
import { countIfBegan } from '../metering/count-began.js'
import type { AcquiredConnection, ConnectionRequirements } from './acquire-connection.js'
import { refreshPrimaryEvidence } from './acquire-connection.js'
import type { PrimaryWork } from './group-access.js'
import type { DatabaseRefusal, SessionContext } from './session-context.js'
import { authorizeAgain, buildDecisionDetails, recordFinishedOperation, releaseOrDiscard, MIN_RUN_MS, logRefusal, buildRequirements, recordDatabaseRefusal, recordReplyPosition, computeRemainingMs, rollBackAndRelease, acquireTimedConnection, runTimedStatement } from './session-context.js'
import type { SessionGrant } from './session-services.js'
import { buildRefusalPromisingNothingKept, refuseWhileStopping } from './session-services.js'
import type { StatementLoss, StatementReply } from './statement-runner.js'
import { RETRY_AFTER_MS, buildLossRefusal, buildReplyRefusal, hasNotRun } from './statement-refusal.js'

/** Kind of a statement inside a transaction. */
export type TransactionStatementKind = 'read' | 'write' | 'commit'

/** Answer to a statement inside a transaction. */
export interface TransactionAnswer {
  outcome: SessionAnswer['outcome']
  /** Whether the session ends with this answer. */
  ends: boolean
}

/** A transaction of a caller. It acquires its database connection with the first statement, so that a caller that pauses after `begin` occupies none. */
export interface SessionTransaction {
  /**
   * - `failed`: only a commit or rollback is accepted
   * - `ended`: the session has no open transaction any more
   */
  state: () => 'open' | 'failed' | 'ended'
  /** @returns whether the commit would keep a write */
  hasWritten: () => boolean
  /** Runs a statement, or the commit. */
  run: (id: string, statement: SessionStatement, kind: TransactionStatementKind) => Promise<TransactionAnswer>
  /** Ends the transaction. Its rollback is sent at once, or after the answer to the statement in flight. */
  rollback: () => void
}

/** A statement of the caller inside the transaction. */
interface CallerStatement {
  id: string
  statement: SessionStatement
  kind: TransactionStatementKind
  arrivedAt: Milliseconds
}

/** A statement that was sent on the connection of the transaction. */
interface StatementRun {
  acquired: AcquiredConnection
  result: Result<StatementReply, StatementLoss>
}

/** A database that did not open the transaction, and the pause before the next attempt in milliseconds. */
interface BeginRefusal {
  error: DatabaseErrorKind
  message: string
  pauseMs: number
}

const toRefusedAnswer = (refusal: SessionRefusal, ends = false): TransactionAnswer => ({ outcome: { kind: 'refused', refusal }, ends })

const failedTransactionRefusal: SessionRefusal = { result: 'malformedRequest', promise: 'rejected', message: 'the transaction has failed; only commit or rollback is allowed', retryAfterMs: null }

/**
 * Opens a transaction. It sends nothing to a database before the first statement.
 * @param workspace - workspace for which the transaction was admitted
 * @param readOnly - whether the caller declared the transaction read-only
 */
export function openTransaction (context: SessionContext, workspace: WorkspaceId, readOnly: boolean): SessionTransaction {
  const { services, values } = context
  const { clock, access, pool, after } = services
  const startedAt = clock.now()
  let state: 'open' | 'failed' | 'ended' = 'open'
  let held: AcquiredConnection | null = null
  let primaryWork: PrimaryWork | null = null
  let hasWritten = false
  /** Whether the operation was counted for its workspace. */
  let isCounted = false
  let isRunning = false
  let retries = 0
  /** Why the proxy aborted the transaction. The caller gets it as the answer to its next statement. */
  let abortRefusal: SessionRefusal | null = null
  let cancelIdleTimer = (): void => {}

  function restartIdleTimer (): void {
    cancelIdleTimer()
    cancelIdleTimer = after(services.idleTransactionMs(), () => { abort(buildRefusalPromisingNothingKept('transactionAborted', 'the transaction was aborted because it ran no statement within the idle limit', 0)) })
  }

  /** Aborts the transaction between two statements. While a statement is in flight it does nothing; `GroupAccess` calls again at its next tick. */
  function abort (refusal: SessionRefusal): void {
    if (isRunning || state !== 'open') return
    state = 'failed'
    abortRefusal = refusal
    releaseConnection(false)
  }

  /** Releases the connection. @param isEndedByDatabase - whether the database has already ended the transaction; otherwise it is rolled back */
  function releaseConnection (isEndedByDatabase: boolean): void {
    cancelIdleTimer()
    primaryWork?.end()
    primaryWork = null
    const last = held
    held = null
    context.database = null
    if (last === null || last.pooled.ended) return
    if (isEndedByDatabase) pool.release(last.pooled)
    else rollBackAndRelease(context, last.pooled).catch(() => {})
  }

  /** Closes the connection after an unexpected error, since its state is not known. The database rolls back. */
  function discardConnection (): void {
    isRunning = false
    state = 'ended'
    if (held !== null) pool.discard(held.pooled)
    releaseConnection(false)
  }

  /** Marks the transaction as failed, or as ended when its commit failed, and releases its connection. */
  function fail (kind: TransactionStatementKind): void {
    if (state !== 'ended') state = kind === 'commit' ? 'ended' : 'failed'
    releaseConnection(false)
  }

  async function run (id: string, statement: SessionStatement, kind: TransactionStatementKind): Promise<TransactionAnswer> {
    const arrivedAt = clock.now()
    const stopping = refuseWhileStopping(services, 'transactionAborted')
    if (stopping !== null) abort(stopping)
    if (state !== 'open') return answerAfterFailure(kind)
    const grant = authorizeAgain(context, workspace)
    if ('promise' in grant) {
      logRefusal(context, id, grant, arrivedAt, null)
      fail(kind)
      // A key that belongs to another workspace now is valid for the next operation.
      return toRefusedAnswer(grant, grant.result !== 'transactionAborted')
    }
    cancelIdleTimer()
    isRunning = true
    const answer = await runAuthorized(grant, { id, statement, kind, arrivedAt }).catch((error: unknown) => {
      discardConnection()
      throw error
    })
    isRunning = false
    if (state === 'open') restartIdleTimer()
    else if (held !== null) releaseConnection(false)
    return answer
  }

  function answerAfterFailure (kind: TransactionStatementKind): TransactionAnswer {
    const pendingRefusal = abortRefusal
    abortRefusal = null
    if (kind !== 'commit') return toRefusedAnswer(pendingRefusal ?? failedTransactionRefusal)
    state = 'ended'
    return toRefusedAnswer(pendingRefusal ?? buildRefusalPromisingNothingKept('transactionAborted', 'the transaction has failed and was rolled back', 0))
  }

  /** Runs the first statement on a new connection, with the `begin` ahead of it. A database that refuses the `begin` is replaced by another one while time is left. */
  async function runFirst (grant: SessionGrant, request: CallerStatement): Promise<StatementRun | SessionRefusal> {
    // A transaction that is not declared read-only may write later, so it gets the primary from the start.
    const needsPlainTransaction = !readOnly || request.kind === 'write' || grant.endpoint.consistency === 'primary'
    const requirements = buildRequirements(context, grant, needsPlainTransaction ? 'write' : 'read', request.arrivedAt, needsPlainTransaction ? 'plain' : 'read-only')
    for (;;) {
      const acquired = await acquireTimedConnection(context, requirements)
      if ('promise' in acquired) return acquired
      const run = await beginAndRun(acquired, requirements, request)
      if ('result' in run) return run
      retries++
      if (computeRemainingMs(context, requirements) < MIN_RUN_MS * 2) return buildReplyRefusal(run.error, run.message, false)
      if (run.pauseMs > 0) await access.changed(run.pauseMs)
    }
  }

  async function beginAndRun (acquired: AcquiredConnection, requirements: ConnectionRequirements, { id, statement, kind }: CallerStatement): Promise<StatementRun | BeginRefusal> {
    const isPlain = requirements.transactionMode === 'plain'
    const sentAt = clock.now()
    const work = isPlain ? access.registerWork(acquired.group, () => { abort(buildRefusalPromisingNothingKept('transactionAborted', 'the transaction was aborted because the primary of its group is being changed', RETRY_AFTER_MS)) }) : null
    const result = await runTimedStatement(context, acquired.pooled, { id, statement, begin: { readOnly: !isPlain }, after: acquired.after, values, limitMs: Math.max(MIN_RUN_MS, computeRemainingMs(context, requirements)), isCancelled: () => context.isInterrupted, isLast: kind === 'commit' })
    const hasBegun = result.isOk() && result.value.reply.hasBegun === true
    if (hasBegun || result.isErr()) isCounted ||= countIfBegan(services, requirements.grant.workspace, sentAt, result)
    if (hasBegun) {
      held = acquired
      primaryWork = work
      context.database = acquired.pooled.database
      return { acquired, result }
    }
    work?.end()
    if (result.isErr()) {
      // Without a commit the database keeps nothing of a statement that it may have run.
      requirements.excludedDatabases.add(acquired.pooled.database)
      return { error: 'busy', message: result.error.message, pauseMs: 0 }
    }
    const { reply, sentAt: beginSentAt } = result.value
    recordReplyPosition(context, acquired, reply, beginSentAt, false)
    releaseOrDiscard(context, acquired.pooled, reply)
    const refusal = reply.outcome as DatabaseRefusal
    const { error, message } = refusal
    return { error, message, pauseMs: recordDatabaseRefusal(context, refusal, requirements, acquired, clock.now() - sentAt) }
  }

  async function runNext (grant: SessionGrant, connection: AcquiredConnection, { id, statement, kind, arrivedAt }: CallerStatement): Promise<StatementRun> {
    const acquired = refreshPrimaryEvidence(services, connection)
    const sentAt = clock.now()
    const limitMs = Math.max(MIN_RUN_MS, arrivedAt + grant.endpoint.statementTimeoutMs - sentAt)
    const result = await runTimedStatement(context, acquired.pooled, { id, statement, after: null, values, limitMs, isCancelled: () => context.isInterrupted, isLast: kind === 'commit' })
    isCounted ||= countIfBegan(services, grant.workspace, sentAt, result)
    return { acquired, result }
  }

  async function runAuthorized (grant: SessionGrant, request: CallerStatement): Promise<TransactionAnswer> {
    const { id, kind } = request
    const run = held === null ? await runFirst(grant, request) : await runNext(grant, held, request)
    if ('promise' in run) return endWithRefusal(grant, id, kind, run, null)
    const { acquired, result } = run
    const canCommitWrite = kind === 'commit' && hasWritten
    if (result.isErr()) return endWithRefusal(grant, id, kind, buildLossRefusal(result.error.message, canCommitWrite), acquired)
    const { reply, sentAt } = result.value
    recordReplyPosition(context, acquired, reply, sentAt, canCommitWrite)
    // A write that ran with an error may have taken effect, and a later commit would keep it.
    if (kind === 'write' && (reply.outcome.kind === 'done' || !hasNotRun(reply.outcome.error))) hasWritten = true
    if (reply.outcome.kind === 'error') {
      const { error, message } = reply.outcome
      if (reply.state === 'transaction' && kind !== 'commit') return toRefusedAnswer(buildReplyRefusal(error, message, false))
      if (reply.state === 'idle') releaseConnection(true)
      return endWithRefusal(grant, id, kind, buildReplyRefusal(error, message, canCommitWrite), acquired)
    }
    if (kind === 'commit') {
      state = 'ended'
      releaseConnection(reply.state === 'idle')
      recordFinishedOperation(context, grant, id, startedAt, null, acquired, buildDetails(kind, acquired))
    }
    return { outcome: { kind: 'done', rows: reply.rows, proof: reply.outcome.proof }, ends: false }
  }

  function endWithRefusal (grant: SessionGrant, id: string, kind: TransactionStatementKind, refusal: SessionRefusal, acquired: AcquiredConnection | null): TransactionAnswer {
    fail(kind)
    recordFinishedOperation(context, grant, id, startedAt, refusal, acquired, buildDetails(kind, acquired))
    return toRefusedAnswer(refusal)
  }

  function buildDetails (kind: TransactionStatementKind, acquired: AcquiredConnection | null): Record<string, string | number | boolean | null> {
    return { transaction: true, retries, ...buildDecisionDetails(context, kind, acquired) }
  }

  restartIdleTimer()
  return {
    state: () => state,
    hasWritten: () => hasWritten,
    run,
    rollback: () => {
      state = 'ended'
      if (!isRunning) releaseConnection(false)
    }
  }
}
