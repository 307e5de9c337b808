import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DatabaseErrorKind, DatabaseReply } from '../../types/database-session.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionAnswer, SessionRefusal, SessionState, SessionStatement } from '../../types/session-statement.js'
import type { Acquired, ConnectionNeed } from './acquire-connection.js'
import { acquireConnection } from './acquire-connection.js'
import type { PrimaryUse } from './group-access.js'
import type { PooledSession } from './session-pool.js'
import type { SessionGrant, SessionServices } from './session-services.js'
import { refuseOperation } from './session-services.js'
import type { SessionValues } from './session-values.js'
import { createSessionValues } from './session-values.js'
import { runStatement } from './statement-runner.js'

/** A statement is not begun with less time than this left, in milliseconds: the shortest time in which a database answers. */
const LEAST_RUN_MS = 5
/** Pause before a database that refused a statement is asked again, in milliseconds. */
const REFUSED_PAUSE_MS = 25
/** Time to repeat an operation that found no database or lost its own, in milliseconds: about a round of tries elsewhere. */
const RETRY_AFTER_MS = 100

/** One connection-oriented session of a caller. */
export interface CallerSession {
  /** Runs one statement; the caller sends the next one after the answer. */
  handle: (id: string, statement: SessionStatement) => Promise<SessionAnswer>
  /** @returns whether a transaction is open or a statement runs */
  isBusy: () => boolean
  /** Rolls back an open transaction and gives up everything that the session holds. */
  close: () => void
}

interface Transaction {
  readOnly: boolean
  state: 'open' | 'failed'
  /** Taken at the first statement, so that a caller that pauses after `begin` holds nothing. */
  held: Acquired | null
  use: PrimaryUse | null
  hasWritten: boolean
  isRunning: boolean
  /** Why the transaction was ended by the system. */
  ended: SessionRefusal | null
  cancelIdle: () => void
  startedAt: Milliseconds
  retries: number
}

type Outcome = SessionAnswer['outcome']

/**
 * Opens a session. The caller's connection holds values, prepared names and the open transaction; database connections are taken
 * for one transaction or single statement each.
 * @param endpointName - name of the endpoint, as the caller gave it
 * @param keyDigest - SHA-256 of the caller's key; null without one
 * @returns the session, or why it can't be opened
 */
export function openCallerSession (services: SessionServices, endpointName: string, keyDigest: string | null): CallerSession | SessionRefusal {
  const first = services.authorize(endpointName, keyDigest)
  if ('promise' in first) return first
  const { clock, access, pool, after, logEvent } = services
  const values: SessionValues = createSessionValues()
  const rollbackLimitMs = first.endpoint.statementTimeoutMs
  let position: LogPosition | null = null
  let transaction: Transaction | null = null
  let isRunning = false
  let isClosed = false

  function stateNow (): SessionState {
    if (transaction === null) return 'idle'
    return transaction.state === 'open' ? 'transaction' : 'failed'
  }

  function answer (outcome: Outcome, ends = false): SessionAnswer {
    return { outcome, state: stateNow(), position, ends }
  }

  const done = (): SessionAnswer => answer({ kind: 'done', rows: [], proof: null })
  const refused = (refusal: SessionRefusal, ends = false): SessionAnswer => answer({ kind: 'refused', refusal }, ends)

  function malformed (message: string): SessionAnswer {
    return refused({ result: 'malformedRequest', promise: 'rejected', message, retryAfterMs: null })
  }

  function finish (grant: SessionGrant, id: string, startedAt: Milliseconds, refusal: SessionRefusal | null, pooled: { database: string, isPrimary: boolean } | null, details: Record<string, string | number | boolean | null>): void {
    const durationMs = clock.now() - startedAt
    services.onFinished({ workspace: grant.workspace, endpoint: grant.endpoint, refusal, servedBy: pooled === null ? null : pooled.isPrimary ? 'primary' : 'replica', durationMs })
    logEvent(refusal === null ? 'operationFinished' : 'operationRefused', {
      requestId: id,
      endpoint: grant.endpoint.name,
      workspace: grant.workspace,
      manifestVersion: grant.manifestVersion,
      database: pooled?.database ?? null,
      durationMs: Math.round(durationMs),
      ...(refusal === null ? {} : { result: refusal.result, promise: refusal.promise, message: refusal.message, retryAfterMs: refusal.retryAfterMs }),
      ...details
    })
  }

  async function grantOperation (): Promise<SessionGrant | { refusal: SessionRefusal, ends: boolean, workspace: string | null }> {
    const startedAt = clock.now()
    const grant = services.authorize(endpointName, keyDigest)
    // The caller's next session gets the same answer, so this one has no further use.
    if ('promise' in grant) return { refusal: grant, ends: true, workspace: null }
    const refusal = await services.admit(grant.workspace, addTime(startedAt, grant.endpoint.statementTimeoutMs))
    return refusal === null ? grant : { refusal, ends: false, workspace: grant.workspace }
  }

  async function begin (id: string, readOnly: boolean): Promise<SessionAnswer> {
    if (transaction !== null) return malformed('a transaction is open')
    const startedAt = clock.now()
    const grant = await grantOperation()
    if ('refusal' in grant) {
      logRefusedGrant(id, grant.refusal, startedAt, grant.workspace)
      return refused(grant.refusal, grant.ends)
    }
    transaction = { readOnly, state: 'open', held: null, use: null, hasWritten: false, isRunning: false, ended: null, cancelIdle: () => {}, startedAt, retries: 0 }
    watchIdle(transaction)
    return done()
  }

  function logRefusedGrant (id: string, refusal: SessionRefusal, startedAt: Milliseconds, workspace: string | null): void {
    logEvent('operationRefused', { requestId: id, endpoint: endpointName, workspace, result: refusal.result, promise: refusal.promise, message: refusal.message, retryAfterMs: refusal.retryAfterMs, durationMs: Math.round(clock.now() - startedAt) })
  }

  function watchIdle (current: Transaction): void {
    current.cancelIdle()
    current.cancelIdle = after(services.idleTransactionMs(), () => {
      abort(current, refuseOperation('transactionAborted', 'the transaction ran no statement for too long', 0))
    })
  }

  /** Ends a transaction from inside the system. The caller learns of it with its next statement. */
  function abort (current: Transaction, refusal: SessionRefusal): void {
    if (current.isRunning || current.state === 'failed') return
    current.state = 'failed'
    current.ended = refusal
    letGo(current, false)
  }

  /** Gives back the connection of a transaction. @param isEnded - whether the database has ended the transaction */
  function letGo (current: Transaction, isEnded: boolean): void {
    current.cancelIdle()
    current.use?.end()
    current.use = null
    const { held } = current
    current.held = null
    if (held === null || held.pooled.ended) return
    if (isEnded) return pool.release(held.pooled)
    void rollBack(held.pooled)
  }

  async function rollBack (pooled: PooledSession): Promise<void> {
    const result = await runStatement(services, pooled, { id: null, statement: { kind: 'rollback' }, after: null, values, limitMs: rollbackLimitMs })
    if (result.isErr()) return
    if (result.value.reply.state === 'idle') pool.release(pooled)
    else pool.discard(pooled)
  }

  function rollback (): SessionAnswer {
    const current = transaction
    if (current === null) return malformed('no transaction is open')
    transaction = null
    letGo(current, false)
    return done()
  }

  function noteReply (held: Acquired, reply: DatabaseReply, sentAt: Milliseconds, isWrite: boolean): void {
    if (reply.position === null) return
    const isProof = held.isPrimary && (held.provenAtStart || (isWrite && reply.outcome.kind === 'done'))
    if (isProof) access.history(held.group).add(reply.position, sentAt)
    if (isWrite && reply.outcome.kind === 'done') position = reply.position
  }

  function needOf (grant: SessionGrant, kind: 'read' | 'write', arrivedAt: Milliseconds, needsTransaction: 'none' | 'plain' | 'read-only'): ConnectionNeed {
    return { grant, kind, arrivedAt, needsTransaction, position, values, giveUpAt: addTime(arrivedAt, grant.endpoint.statementTimeoutMs), tried: new Set() }
  }

  function remaining (need: ConnectionNeed): number {
    return need.giveUpAt - clock.now()
  }

  function refusalOfReply (error: DatabaseErrorKind, message: string, isKept: boolean): SessionRefusal {
    switch (error) {
      case 'failed': return { result: 'databaseError', promise: 'ran', message, retryAfterMs: RETRY_AFTER_MS }
      case 'timed-out': return { result: 'deadlineExceeded', promise: 'unknown', message, retryAfterMs: RETRY_AFTER_MS }
      case 'malformed': return { result: 'malformedRequest', promise: 'rejected', message, retryAfterMs: null }
      case 'lagging': return refuseOperation('noFreshReplica', message, RETRY_AFTER_MS)
      case 'read-only': return refuseOperation('databaseRefused', message, RETRY_AFTER_MS)
      case 'unrecognized': return isKept ? { result: 'outcomeUnknown', promise: 'unknown', message, retryAfterMs: RETRY_AFTER_MS } : refuseOperation('transactionAborted', message, RETRY_AFTER_MS)
      default: return refuseOperation('noDatabase', message, RETRY_AFTER_MS)
    }
  }

  /** Whether the database told that the statement has not run, so that it may be sent elsewhere. */
  function hasNotRun (error: DatabaseErrorKind): boolean {
    return error !== 'failed' && error !== 'timed-out' && error !== 'malformed' && error !== 'unrecognized'
  }

  /** A single statement outside of a transaction. */
  async function runSingle (id: string, statement: SessionStatement, kind: 'read' | 'write'): Promise<SessionAnswer> {
    const arrivedAt = clock.now()
    const grant = await grantOperation()
    if ('refusal' in grant) {
      logRefusedGrant(id, grant.refusal, arrivedAt, grant.workspace)
      return refused(grant.refusal, grant.ends)
    }
    const need = needOf(grant, kind, arrivedAt, 'none')
    let retries = 0
    for (;;) {
      const acquired = await acquireConnection(services, need)
      if ('promise' in acquired) {
        finish(grant, id, arrivedAt, acquired, null, { retries, ...evidenceOf(need, null) })
        return refused(acquired)
      }
      const tried = await tryOnce(acquired, need, id, statement, kind)
      if (tried.kind === 'answered') {
        const { refusal } = tried
        finish(grant, id, arrivedAt, refusal, { database: acquired.pooled.database, isPrimary: acquired.isPrimary }, { retries, ...evidenceOf(need, acquired) })
        return refusal === null ? answer({ kind: 'done', rows: tried.reply.rows, proof: proofOf(tried.reply) }) : refused(refusal)
      }
      retries++
      logEvent('statementRetried', { requestId: id, database: acquired.pooled.database, cause: tried.cause, retries, remainingMs: Math.round(remaining(need)), ...evidenceOf(need, acquired) })
      if (tried.pauseMs > 0) await access.changed(Math.min(tried.pauseMs, Math.max(1, remaining(need))))
    }
  }

  function evidenceOf (need: ConnectionNeed, held: Acquired | null): Record<string, string | number | boolean | null> {
    const after = held?.after ?? null
    return {
      kind: need.kind,
      after: after === null ? null : `${after.term}.${after.offset}`,
      positionAgeMs: held?.positionAgeMs === undefined || held.positionAgeMs === null ? null : Math.round(held.positionAgeMs),
      groupTerm: held?.groupTerm ?? null,
      proven: held?.provenAtStart ?? null
    }
  }

  type Tried =
    | { kind: 'answered', reply: DatabaseReply, refusal: SessionRefusal | null }
    | { kind: 'retry', cause: string, pauseMs: number }

  async function tryOnce (held: Acquired, need: ConnectionNeed, id: string, statement: SessionStatement, kind: 'read' | 'write'): Promise<Tried> {
    const use = kind === 'write' ? access.use(held.group, () => {}) : null
    try {
      const result = await runStatement(services, held.pooled, { id, statement, after: held.after, values, limitMs: Math.max(LEAST_RUN_MS, remaining(need)) })
      if (result.isErr()) return singleLost(result.error.message, kind, need, held)
      const { reply, sentAt } = result.value
      noteReply(held, reply, sentAt, kind === 'write')
      if (held.wrapped) await endWrapping(held)
      else if (reply.state === 'idle') pool.release(held.pooled)
      else pool.discard(held.pooled)
      if (reply.outcome.kind === 'done') return { kind: 'answered', reply, refusal: null }
      const { error, message } = reply.outcome
      if (!hasNotRun(error) || remaining(need) < LEAST_RUN_MS * 2) return { kind: 'answered', reply, refusal: refusalOfReply(error, message, kind === 'write') }
      return retryElsewhere(error, need, held)
    } finally {
      use?.end()
    }
  }

  async function endWrapping (held: Acquired): Promise<void> {
    void rollBack(held.pooled)
  }

  function singleLost (message: string, kind: 'read' | 'write', need: ConnectionNeed, held: Acquired): Tried {
    const empty: DatabaseReply = { rows: [], outcome: { kind: 'error', error: 'unrecognized', message }, state: 'idle', position: null }
    if (kind === 'write') return { kind: 'answered', reply: empty, refusal: { result: 'outcomeUnknown', promise: 'unknown', message, retryAfterMs: null } }
    need.tried.add(held.pooled.database)
    if (remaining(need) < LEAST_RUN_MS * 2) return { kind: 'answered', reply: empty, refusal: refuseOperation('deadlineExceeded', message, 0) }
    return { kind: 'retry', cause: message, pauseMs: 0 }
  }

  function retryElsewhere (error: DatabaseErrorKind, need: ConnectionNeed, held: Acquired): Tried {
    if (error === 'lagging') need.needsPrimary = true
    else if (need.kind === 'read') need.tried.add(held.pooled.database)
    const hasOthers = need.kind === 'read' && access.databases(held.group).some(({ database }) => !need.tried.has(database))
    if (!hasOthers) need.tried.clear()
    return { kind: 'retry', cause: error, pauseMs: error === 'unknown-statement' || hasOthers ? 0 : REFUSED_PAUSE_MS }
  }

  function proofOf (reply: DatabaseReply): string | null {
    return reply.outcome.kind === 'done' ? reply.outcome.proof : null
  }

  /** A statement of the open transaction, its commit included. */
  async function runInTransaction (current: Transaction, id: string, statement: SessionStatement, kind: 'read' | 'write' | 'commit'): Promise<SessionAnswer> {
    const arrivedAt = clock.now()
    if (current.state === 'failed') return afterFailure(current, statement)
    const grant = services.authorize(endpointName, keyDigest)
    if ('promise' in grant) {
      abort(current, grant)
      logRefusedGrant(id, grant, arrivedAt, null)
      return refused(grant, true)
    }
    current.cancelIdle()
    current.isRunning = true
    const answered = await runHeld(current, grant, id, statement, kind, arrivedAt)
    current.isRunning = false
    if (transaction === current && current.state === 'open') watchIdle(current)
    if (isClosed) letGo(current, false)
    return answered
  }

  function afterFailure (current: Transaction, statement: SessionStatement): SessionAnswer {
    const ended = current.ended
    if (statement.kind === 'commit') {
      transaction = null
      letGo(current, false)
      return refused(ended ?? refuseOperation('transactionAborted', 'the transaction has failed and was rolled back', 0))
    }
    current.ended = null
    return ended === null ? malformed('the transaction has failed; only its end is allowed') : refused(ended)
  }

  async function holdConnection (current: Transaction, grant: SessionGrant, arrivedAt: Milliseconds, isWrite: boolean): Promise<Acquired | SessionRefusal> {
    if (current.held !== null) return current.held
    const isPlain = !current.readOnly || grant.endpoint.consistency === 'primary'
    const need = needOf(grant, isPlain || isWrite ? 'write' : 'read', arrivedAt, isPlain ? 'plain' : 'read-only')
    for (;;) {
      const acquired = await acquireConnection(services, need)
      if ('promise' in acquired) return acquired
      const begun = await beginOn(acquired, need)
      if (begun === null) {
        current.held = acquired
        if (need.needsTransaction === 'plain') current.use = access.use(acquired.group, () => { abort(current, refuseOperation('transactionAborted', 'the primary of the group is being changed', RETRY_AFTER_MS)) })
        return acquired
      }
      current.retries++
      if (remaining(need) < LEAST_RUN_MS * 2) return refusalOfReply(begun.error, begun.message, false)
      if (begun.pauseMs > 0) await access.changed(begun.pauseMs)
    }
  }

  /** The answer to `begin` must be known before a statement is sent, which would otherwise run outside of the transaction. */
  async function beginOn (acquired: Acquired, need: ConnectionNeed): Promise<{ error: DatabaseErrorKind, message: string, pauseMs: number } | null> {
    const result = await runStatement(services, acquired.pooled, { id: null, statement: { kind: 'begin', readOnly: need.needsTransaction === 'read-only' }, after: acquired.after, values, limitMs: Math.max(LEAST_RUN_MS, remaining(need)) })
    if (result.isErr()) {
      need.tried.add(acquired.pooled.database)
      return { error: 'busy', message: result.error.message, pauseMs: 0 }
    }
    const { reply, sentAt } = result.value
    noteReply(acquired, reply, sentAt, false)
    if (reply.outcome.kind === 'done') return null
    if (reply.state === 'idle') pool.release(acquired.pooled)
    else pool.discard(acquired.pooled)
    const { error, message } = reply.outcome
    const retry = retryElsewhere(error, need, acquired)
    return { error, message, pauseMs: retry.kind === 'retry' ? retry.pauseMs : 0 }
  }

  async function runHeld (current: Transaction, grant: SessionGrant, id: string, statement: SessionStatement, kind: 'read' | 'write' | 'commit', arrivedAt: Milliseconds): Promise<SessionAnswer> {
    const held = await holdConnection(current, grant, arrivedAt, kind === 'write')
    if ('promise' in held) {
      failTransaction(current, kind)
      finish(grant, id, current.startedAt, held, null, { kind, retries: current.retries, transaction: true })
      return refused(held)
    }
    const giveUpAt = addTime(arrivedAt, grant.endpoint.statementTimeoutMs)
    const result = await runStatement(services, held.pooled, { id, statement, after: null, values, limitMs: Math.max(LEAST_RUN_MS, giveUpAt - clock.now()) })
    const evidence = { kind, retries: current.retries, transaction: true, groupTerm: held.groupTerm, proven: held.provenAtStart }
    const server = { database: held.pooled.database, isPrimary: held.isPrimary }
    if (result.isErr()) {
      const refusal = kind === 'commit' && current.hasWritten
        ? { result: 'outcomeUnknown', promise: 'unknown', message: result.error.message, retryAfterMs: null } as const
        : refuseOperation('transactionAborted', result.error.message, RETRY_AFTER_MS)
      failTransaction(current, kind)
      finish(grant, id, current.startedAt, refusal, server, evidence)
      return refused(refusal)
    }
    const { reply, sentAt } = result.value
    const isOver = reply.state === 'idle'
    noteReply(held, reply, sentAt, kind === 'commit' && current.hasWritten)
    if (kind === 'write' && reply.outcome.kind === 'done') current.hasWritten = true
    if (kind === 'commit' || isOver) {
      transaction = null
      letGo(current, isOver)
    } else if (reply.state === 'failed') failTransaction(current, kind)
    if (reply.outcome.kind === 'done') {
      if (kind === 'commit') finish(grant, id, current.startedAt, null, server, evidence)
      return answer({ kind: 'done', rows: reply.rows, proof: reply.outcome.proof })
    }
    const { error, message } = reply.outcome
    const refusal = refusalOfReply(error, message, kind === 'commit' && current.hasWritten)
    finish(grant, id, current.startedAt, refusal, server, evidence)
    return refused(refusal)
  }

  /** A commit ends the transaction in any case. */
  function failTransaction (current: Transaction, kind: 'read' | 'write' | 'commit'): void {
    if (kind === 'commit') transaction = null
    current.state = 'failed'
    letGo(current, false)
  }

  async function run (id: string, statement: Extract<SessionStatement, { kind: 'run' | 'execute' }>): Promise<SessionAnswer> {
    const definition = statement.kind === 'execute' ? values.prepared.get(statement.name) : undefined
    if (statement.kind === 'execute' && definition === undefined) {
      return refused({ result: 'unknownStatement', promise: 'rejected', message: 'no statement of that name is prepared', retryAfterMs: null })
    }
    const kind = statement.kind === 'run' ? statement.access : definition?.access ?? 'write'
    return transaction === null ? await runSingle(id, statement, kind) : await runInTransaction(transaction, id, statement, kind)
  }

  async function dispatch (id: string, statement: SessionStatement): Promise<SessionAnswer> {
    switch (statement.kind) {
      case 'begin': return await begin(id, statement.readOnly)
      case 'rollback': return rollback()
      case 'commit': return transaction === null ? malformed('no transaction is open') : await runInTransaction(transaction, id, statement, 'commit')
      case 'run':
      case 'execute': return await run(id, statement)
      default: return transaction?.state === 'failed' ? malformed('the transaction has failed; only its end is allowed') : setOwn(statement)
    }
  }

  function setOwn (statement: Extract<SessionStatement, { kind: 'set' | 'prepare' | 'deallocate' }>): SessionAnswer {
    if (statement.kind === 'set') values.set(statement.name, statement.value)
    if (statement.kind === 'prepare') values.prepared.set(statement.name, { access: statement.access, shape: statement.shape })
    if (statement.kind === 'deallocate' && !values.prepared.delete(statement.name)) {
      return refused({ result: 'unknownStatement', promise: 'rejected', message: 'no statement of that name is prepared', retryAfterMs: null })
    }
    return done()
  }

  async function handle (id: string, statement: SessionStatement): Promise<SessionAnswer> {
    isRunning = true
    try {
      return await dispatch(id, statement)
    } finally {
      isRunning = false
    }
  }

  return {
    handle,
    isBusy: () => isRunning || transaction !== null,
    close: () => {
      isClosed = true
      const current = transaction
      transaction = null
      if (current !== null && !current.isRunning) letGo(current, false)
    }
  }
}
