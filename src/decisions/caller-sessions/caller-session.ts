import type { SessionAnswer, SessionRefusal, SessionState, SessionStatement } from '../../types/session-statement.js'
import type { SessionContext } from './session-context.js'
import { grantOperation } from './session-context.js'
import type { SessionServices } from './session-services.js'
import type { SessionTransaction } from './session-transaction.js'
import { openTransaction } from './session-transaction.js'
import { createSessionValues } from './session-values.js'
import { runSingle } from './single-statement.js'

/** One connection-oriented session of a caller. */
export interface CallerSession {
  /** Runs one statement; the caller sends the next one after the answer. */
  handle: (id: string, statement: SessionStatement) => Promise<SessionAnswer>
  state: () => SessionState
  /** @returns whether a transaction is open or a statement runs */
  isBusy: () => boolean
  /** Rolls back an open transaction and gives up everything that the session holds. */
  close: () => void
}

type OwnStatement = Extract<SessionStatement, { kind: 'set' | 'prepare' | 'deallocate' }>

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
  const context: SessionContext = { services, endpointName, keyDigest, values: createSessionValues(), rollbackLimitMs: first.endpoint.statementTimeoutMs, position: null }
  let transaction: SessionTransaction | null = null
  let isRunning = false

  function stateNow (): SessionState {
    if (transaction === null) return 'idle'
    return transaction.state() === 'open' ? 'transaction' : 'failed'
  }

  function answer (outcome: SessionAnswer['outcome'], ends = false): SessionAnswer {
    return { outcome, state: stateNow(), position: context.position, ends }
  }

  const done = (): SessionAnswer => answer({ kind: 'done', rows: [], proof: null })

  function reject (result: SessionRefusal['result'], message: string): SessionAnswer {
    return answer({ kind: 'refused', refusal: { result, promise: 'rejected', message, retryAfterMs: null } })
  }

  async function begin (id: string, readOnly: boolean): Promise<SessionAnswer> {
    if (transaction !== null) return reject('malformedRequest', 'a transaction is open')
    const grant = await grantOperation(context, id)
    if ('refusal' in grant) return answer({ kind: 'refused', refusal: grant.refusal }, grant.ends)
    transaction = openTransaction(context, readOnly)
    return done()
  }

  function rollback (): SessionAnswer {
    if (transaction === null) return reject('malformedRequest', 'no transaction is open')
    transaction.rollback()
    transaction = null
    return done()
  }

  async function runInTransaction (current: SessionTransaction, id: string, statement: SessionStatement, kind: 'read' | 'write' | 'commit'): Promise<SessionAnswer> {
    const { outcome, ends } = await current.run(id, statement, kind)
    if (transaction === current && current.state() === 'over') transaction = null
    return answer(outcome, ends)
  }

  async function run (id: string, statement: Extract<SessionStatement, { kind: 'run' | 'execute' }>): Promise<SessionAnswer> {
    const definition = statement.kind === 'execute' ? context.values.prepared.get(statement.name) : undefined
    if (statement.kind === 'execute' && definition === undefined) return reject('unknownStatement', 'no statement of that name is prepared')
    const kind = statement.kind === 'run' ? statement.access : definition?.access ?? 'write'
    if (transaction !== null) return await runInTransaction(transaction, id, statement, kind)
    const { outcome, ends } = await runSingle(context, id, statement, kind)
    return answer(outcome, ends)
  }

  function setOwn (statement: OwnStatement): SessionAnswer {
    const { values } = context
    if (transaction !== null && transaction.state() !== 'open') return reject('malformedRequest', 'the transaction has failed; only its end is allowed')
    if (statement.kind === 'set') values.set(statement.name, statement.value)
    if (statement.kind === 'prepare') values.prepared.set(statement.name, { access: statement.access, shape: statement.shape })
    if (statement.kind === 'deallocate' && !values.prepared.delete(statement.name)) return reject('unknownStatement', 'no statement of that name is prepared')
    return done()
  }

  async function dispatch (id: string, statement: SessionStatement): Promise<SessionAnswer> {
    switch (statement.kind) {
      case 'begin': return await begin(id, statement.readOnly)
      case 'rollback': return rollback()
      case 'commit': return transaction === null ? reject('malformedRequest', 'no transaction is open') : await runInTransaction(transaction, id, statement, 'commit')
      case 'run':
      case 'execute': return await run(id, statement)
      default: return setOwn(statement)
    }
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
    state: stateNow,
    isBusy: () => isRunning || transaction !== null,
    close: () => {
      transaction?.rollback()
      transaction = null
    }
  }
}
