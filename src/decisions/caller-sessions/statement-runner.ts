import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import type { ConnectionLoss, DatabaseReply } from '../../types/database-session.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionStatement } from '../../types/session-statement.js'
import type { StatementEnd } from './database-health.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionServices } from './session-services.js'
import type { ValuesView } from './session-values.js'

/**
 * - `silent`: no answer within the time of the statement
 * - `holder-lost`: the instance that holds the connection gave no answer, which tells nothing of the database
 */
export type StatementLoss = ConnectionLoss | { kind: 'silent' | 'holder-lost', message: string }

export interface StatementRun {
  id: string | null
  statement: SessionStatement
  after: LogPosition | null
  values: ValuesView
  /** Time for the answer in milliseconds. */
  limitMs: number
  /** Whether the caller needs the connection no more after the answer, if that leaves it outside of any transaction. */
  isLast: boolean
}

/** An answer, and when its statement was sent. */
export interface StatementReply {
  reply: DatabaseReply
  sentAt: Milliseconds
}

/**
 * Runs one statement on a connection, after setting what the caller's session needs there.
 * A connection that gives no answer is closed, and so are idle ones to the same database, which may have gone silent with it.
 */
export async function runStatement (services: Pick<SessionServices, 'clock' | 'health' | 'pool' | 'after'>, pooled: PooledSession, run: StatementRun): Promise<Result<StatementReply, StatementLoss>> {
  const { clock, health, pool } = services
  const ended = health.began(pooled.database)
  const sentAt = clock.now()
  const wasFresh = pooled.isFresh
  pooled.isFresh = false
  const result = await withinTime(services, pooled.run(run), run.limitMs)
  if (result.isErr()) {
    ended(result.error.kind === 'holder-lost' ? 'unjudged' : 'lost')
    pool.discard(pooled)
    if (result.error.kind === 'silent' && !wasFresh) pool.distrust(pooled.database)
    return err(result.error)
  }
  const reply = result.value
  ended(endOf(reply))
  if (reply.position !== null) health.learned(pooled.database, reply.position)
  return ok({ reply, sentAt })
}

function endOf ({ outcome }: DatabaseReply): StatementEnd {
  if (outcome.kind === 'done') return 'answered'
  if (outcome.error === 'not-sent') return 'unjudged'
  return outcome.error === 'failed' || outcome.error === 'timed-out' ? 'failed' : 'answered'
}

async function withinTime (services: Pick<SessionServices, 'after'>, answer: Promise<Result<DatabaseReply, StatementLoss>>, limitMs: number): Promise<Result<DatabaseReply, StatementLoss>> {
  return await new Promise((resolve) => {
    const cancel = services.after(limitMs, () => { resolve(err({ kind: 'silent', message: `no answer within ${Math.round(limitMs)} ms` })) })
    answer.then((result) => {
      cancel()
      resolve(result)
    }, (error: unknown) => {
      cancel()
      resolve(err({ kind: 'lost', message: String(error) }))
    })
  })
}
