import type { SessionAnswer, SessionRefusal, SessionStatement } from '../../types/session-statement.js'
import type { Acquired, ConnectionNeed } from './acquire-connection.js'
import { acquireConnection } from './acquire-connection.js'
import type { SessionContext } from './session-context.js'
import { evidenceOf, finishOperation, giveBack, grantOperation, LEAST_RUN_MS, needOf, noteRefused, noteReply, remaining, rollBack } from './session-context.js'
import { refuseOperation } from './session-services.js'
import { runStatement } from './statement-runner.js'
import { hasNotRun, refusalOfLoss, refusalOfReply } from './statement-refusal.js'

/** Answer to a statement outside of a transaction. */
export interface SingleAnswer {
  outcome: SessionAnswer['outcome']
  ends: boolean
}

type Tried =
  | { kind: 'answered', outcome: SessionAnswer['outcome'] }
  | { kind: 'retry', cause: string, pauseMs: number }

const refused = (refusal: SessionRefusal, ends = false): SingleAnswer => ({ outcome: { kind: 'refused', refusal }, ends })

/** Runs one statement that is an operation of its own. It is sent again only while it is certain that it has not run, or if it only reads. */
export async function runSingle (context: SessionContext, id: string, statement: SessionStatement, kind: 'read' | 'write'): Promise<SingleAnswer> {
  const { services } = context
  const arrivedAt = services.clock.now()
  const grant = await grantOperation(context, id)
  if ('refusal' in grant) return refused(grant.refusal, grant.ends)
  const need = needOf(context, grant, kind, arrivedAt, 'none')
  for (let retries = 0; ; retries++) {
    const held = await acquireConnection(services, need)
    if ('promise' in held) {
      finishOperation(context, grant, id, arrivedAt, held, null, { retries, ...evidenceOf(kind, null) })
      return refused(held)
    }
    const tried = await tryOnce(context, held, need, id, statement)
    if (tried.kind === 'answered') {
      const refusal = tried.outcome.kind === 'refused' ? tried.outcome.refusal : null
      finishOperation(context, grant, id, arrivedAt, refusal, held, { retries, ...evidenceOf(kind, held) })
      return { outcome: tried.outcome, ends: false }
    }
    services.logEvent('statementRetried', { requestId: id, database: held.pooled.database, cause: tried.cause, retries, remainingMs: Math.round(remaining(context, need)), ...evidenceOf(kind, held) })
    if (tried.pauseMs > 0) await services.access.changed(Math.min(tried.pauseMs, Math.max(1, remaining(context, need))))
  }
}

async function tryOnce (context: SessionContext, held: Acquired, need: ConnectionNeed, id: string, statement: SessionStatement): Promise<Tried> {
  const { services, values } = context
  const isWrite = need.kind === 'write'
  const use = isWrite ? services.access.use(held.group, () => {}) : null
  try {
    const result = await runStatement(services, held.pooled, { id, statement, after: held.after, values, limitMs: Math.max(LEAST_RUN_MS, remaining(context, need)), isLast: !held.wrapped })
    if (result.isErr()) return lost(context, need, held, result.error.message)
    const { reply, sentAt } = result.value
    noteReply(context, held, reply, sentAt, isWrite)
    if (held.wrapped) rollBack(context, held.pooled).catch(() => {})
    else giveBack(context, held.pooled, reply)
    if (reply.outcome.kind === 'done') return { kind: 'answered', outcome: { kind: 'done', rows: reply.rows, proof: reply.outcome.proof } }
    const { error, message } = reply.outcome
    if (!hasNotRun(error) || remaining(context, need) < LEAST_RUN_MS * 2) return { kind: 'answered', outcome: { kind: 'refused', refusal: refusalOfReply(error, message, isWrite) } }
    return { kind: 'retry', cause: error, pauseMs: noteRefused(context, error, need, held) }
  } finally {
    use?.end()
  }
}

function lost (context: SessionContext, need: ConnectionNeed, held: Acquired, message: string): Tried {
  if (need.kind === 'write') return { kind: 'answered', outcome: { kind: 'refused', refusal: refusalOfLoss(message, true) } }
  need.tried.add(held.pooled.database)
  if (remaining(context, need) >= LEAST_RUN_MS * 2) return { kind: 'retry', cause: message, pauseMs: 0 }
  return { kind: 'answered', outcome: { kind: 'refused', refusal: refuseOperation('deadlineExceeded', message, 0) } }
}
