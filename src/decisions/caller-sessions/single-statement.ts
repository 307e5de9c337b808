import { countIfBegan } from '../metering/count-began.js'
import type { SessionAnswer, SessionRefusal, SessionStatement } from '../../types/session-statement.js'
import type { AcquiredConnection, ConnectionRequirements } from './acquire-connection.js'
import type { SessionContext } from './session-context.js'
import { buildDecisionDetails, recordFinishedOperation, releaseOrDiscard, admitOperation, MIN_RUN_MS, buildRequirements, recordDatabaseRefusal, recordReplyPosition, computeRemainingMs, rollBackAndRelease, acquireTimedConnection, runTimedStatement } from './session-context.js'
import { buildRefusalPromisingNothingKept } from './session-services.js'
import { createOperationTiming } from './operation-timing.js'
import { hasNotRun, buildLossRefusal, buildReplyRefusal } from './statement-refusal.js'

/** Answer to a statement outside of a transaction. */
export interface SingleStatementAnswer {
  outcome: SessionAnswer['outcome']
  /** Whether the session ends with this answer. */
  ends: boolean
}

type AttemptResult =
  | { kind: 'answered', outcome: SessionAnswer['outcome'] }
  | { kind: 'retry', cause: string, pauseMs: number }

const toRefusedAnswer = (refusal: SessionRefusal, ends = false): SingleStatementAnswer => ({ outcome: { kind: 'refused', refusal }, ends })

/** Runs one statement as an operation of its own. A write is retried only when it has certainly not run; a read is also retried after a loss. */
export async function runSingleStatement (context: SessionContext, id: string, statement: SessionStatement, kind: 'read' | 'write'): Promise<SingleStatementAnswer> {
  const { services } = context
  const arrivedAt = services.clock.now()
  context.timing = createOperationTiming()
  const grant = await admitOperation(context, id)
  if ('refusal' in grant) return toRefusedAnswer(grant.refusal, grant.ends)
  const requirements = buildRequirements(context, grant, kind, arrivedAt, 'none')
  for (let retries = 0; ; retries++) {
    const acquired = await acquireTimedConnection(context, requirements)
    if ('promise' in acquired) {
      recordFinishedOperation(context, grant, id, arrivedAt, acquired, null, { retries, ...buildDecisionDetails(context, kind, null) })
      return toRefusedAnswer(acquired)
    }
    const attempt = await attemptStatement(context, acquired, requirements, id, statement)
    if (attempt.kind === 'answered') {
      const refusal = attempt.outcome.kind === 'refused' ? attempt.outcome.refusal : null
      recordFinishedOperation(context, grant, id, arrivedAt, refusal, acquired, { retries, ...buildDecisionDetails(context, kind, acquired) })
      return { outcome: attempt.outcome, ends: false }
    }
    services.logEvent('statementRetried', { requestId: id, database: acquired.pooled.database, cause: attempt.cause, retries, remainingMs: Math.round(computeRemainingMs(context, requirements)), ...buildDecisionDetails(context, kind, acquired) })
    if (attempt.pauseMs > 0) await services.access.changed(Math.min(attempt.pauseMs, Math.max(1, computeRemainingMs(context, requirements))))
  }
}

async function attemptStatement (context: SessionContext, acquired: AcquiredConnection, requirements: ConnectionRequirements, id: string, statement: SessionStatement): Promise<AttemptResult> {
  const { services, values } = context
  const isWrite = requirements.kind === 'write'
  // A single write can't be aborted: it holds up a switchover until it is answered or its deadline expires.
  context.database = acquired.pooled.database
  const primaryWork = isWrite ? services.access.registerWork(acquired.group, () => {}) : null
  try {
    const startedAt = services.clock.now()
    const result = await runTimedStatement(context, acquired.pooled, { id, statement, after: acquired.after, values, limitMs: Math.max(MIN_RUN_MS, computeRemainingMs(context, requirements)), isCancelled: () => context.isInterrupted, isLast: !acquired.hasGuardTransaction })
    countIfBegan(services, requirements.grant.workspace, startedAt, result)
    if (result.isErr()) return handleLoss(context, requirements, acquired, result.error.message)
    const { reply, sentAt } = result.value
    recordReplyPosition(context, acquired, reply, sentAt, isWrite)
    if (acquired.hasGuardTransaction) rollBackAndRelease(context, acquired.pooled).catch(() => {})
    else releaseOrDiscard(context, acquired.pooled, reply)
    if (reply.outcome.kind === 'done') return { kind: 'answered', outcome: { kind: 'done', rows: reply.rows, proof: reply.outcome.proof } }
    const { error, message } = reply.outcome
    if (context.isInterrupted || !hasNotRun(error) || computeRemainingMs(context, requirements) < MIN_RUN_MS * 2) return { kind: 'answered', outcome: { kind: 'refused', refusal: buildReplyRefusal(error, message, isWrite) } }
    return { kind: 'retry', cause: error, pauseMs: recordDatabaseRefusal(context, reply.outcome, requirements, acquired, services.clock.now() - sentAt) }
  } finally {
    primaryWork?.end()
    context.database = null
  }
}

function handleLoss (context: SessionContext, requirements: ConnectionRequirements, acquired: AcquiredConnection, message: string): AttemptResult {
  if (requirements.kind === 'write') return { kind: 'answered', outcome: { kind: 'refused', refusal: buildLossRefusal(message, true) } }
  requirements.excludedDatabases.add(acquired.pooled.database)
  if (computeRemainingMs(context, requirements) >= MIN_RUN_MS * 2) return { kind: 'retry', cause: message, pauseMs: 0 }
  return { kind: 'answered', outcome: { kind: 'refused', refusal: buildRefusalPromisingNothingKept('deadlineExceeded', message, 0) } }
}
