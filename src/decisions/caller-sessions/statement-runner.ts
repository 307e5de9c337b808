import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import type { ConnectionLoss, DatabaseReply, DatabaseRequest } from '../../types/database-session.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionStatement } from '../../types/session-statement.js'
import type { PooledSession } from './session-pool.js'
import type { SessionServices } from './session-services.js'
import type { SessionValues } from './session-values.js'

/** - `silent`: no answer within the time of the statement */
export type StatementLoss = ConnectionLoss | { kind: 'silent', message: string }

export interface StatementRun {
  id: string | null
  statement: SessionStatement
  after: LogPosition | null
  values: SessionValues
  /** Time for the answer in milliseconds. */
  limitMs: number
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
  const result = await withinTime(services, prepareAndRun(pooled, run), run.limitMs)
  if (result.isErr()) {
    ended('lost')
    pool.discard(pooled)
    if (result.error.kind === 'silent' && !wasFresh) pool.distrust(pooled.database)
    return err(result.error)
  }
  const reply = result.value
  const hasFailed = reply.outcome.kind === 'error' && (reply.outcome.error === 'failed' || reply.outcome.error === 'timed-out')
  ended(hasFailed ? 'failed' : 'answered')
  if (reply.position !== null) health.learned(pooled.database, reply.position)
  return ok({ reply, sentAt })
}

async function withinTime (services: Pick<SessionServices, 'after'>, answer: Promise<Result<DatabaseReply, ConnectionLoss>>, limitMs: number): Promise<Result<DatabaseReply, StatementLoss>> {
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

async function prepareAndRun (pooled: PooledSession, run: StatementRun): Promise<Result<DatabaseReply, ConnectionLoss>> {
  const set = await setValues(pooled, run.values)
  if (set.isErr()) return err(set.error)
  if (run.statement.kind !== 'execute') return await pooled.session.run({ id: run.id, statement: run.statement, after: run.after })
  return await execute(pooled, run, run.statement)
}

/** Brings the values on the connection to those of the caller's session. A statement must not run before they are confirmed. */
async function setValues (pooled: PooledSession, values: SessionValues): Promise<Result<void, ConnectionLoss>> {
  const version = values.version()
  const isSame = pooled.values === null ? version === 0 : pooled.values.owner === values.owner && pooled.values.version === version
  if (isSame) return ok(undefined)
  const isOwn = pooled.values?.owner === values.owner
  const requests: DatabaseRequest[] = []
  if (pooled.values !== null && !isOwn) {
    requests.push({ id: null, statement: { kind: 'reset' }, after: null })
    pooled.prepared.clear()
  }
  for (const { name, value } of values.since(isOwn ? pooled.values?.version ?? 0 : 0)) requests.push({ id: null, statement: { kind: 'set', name, value }, after: null })
  pooled.values = null
  const replies = await Promise.all(requests.map((request) => pooled.session.run(request)))
  for (const reply of replies) {
    if (reply.isErr()) return err(reply.error)
    if (reply.value.outcome.kind === 'error') return err({ kind: 'lost', message: `the database refused a session value: ${reply.value.outcome.message}` })
  }
  pooled.values = version === 0 ? null : { owner: values.owner, version }
  return ok(undefined)
}

/** Prepared statements are named by what they run, so that all sessions on the connection share them. */
async function execute (pooled: PooledSession, run: StatementRun, statement: Extract<SessionStatement, { kind: 'execute' }>): Promise<Result<DatabaseReply, ConnectionLoss>> {
  const definition = run.values.prepared.get(statement.name)
  if (definition === undefined) throw new Error(`the session prepared no statement ${statement.name}`)
  const key = `${definition.access} ${definition.shape}`
  const known = pooled.prepared.get(key)
  const name = known ?? `p${++pooled.preparedCount}`
  const request: DatabaseRequest = { id: run.id, statement: { ...statement, name }, after: run.after }
  if (known !== undefined) return await pooled.session.run(request)
  pooled.prepared.set(key, name)
  // The database takes requests in order; if it can't prepare the statement, executing it fails without a run.
  const prepared = pooled.session.run({ id: null, statement: { kind: 'prepare', name, ...definition }, after: null })
  const executed = pooled.session.run(request)
  const preparing = await prepared
  if (preparing.isOk() && preparing.value.outcome.kind === 'error') pooled.prepared.delete(key)
  return await executed
}
