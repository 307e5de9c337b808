import type { DatabaseId } from '../../types/ids.js'
import type { SessionAnswer, SessionRefusal, SessionState, SessionStatement, StatementAccess } from '../../types/session-statement.js'
import { createOperationTiming } from './operation-timing.js'
import type { SessionContext } from './session-context.js'
import { admitOperation } from './session-context.js'
import type { SessionServices } from './session-services.js'
import { buildRefusalPromisingNothingKept } from './session-services.js'
import type { SessionTransaction } from './session-transaction.js'
import { openTransaction } from './session-transaction.js'
import { createSessionValues } from './session-values.js'
import { runSingleStatement } from './single-statement.js'

/** One connection-oriented session of a caller. */
export interface CallerSession {
  /** Handles one statement. The caller must wait for the answer before it sends the next one. */
  handle: (id: string, statement: SessionStatement) => Promise<SessionAnswer>
  state: () => SessionState
  /** @returns the database of the connection in use; null while the session uses none */
  database: () => DatabaseId | null
  /** @returns whether a transaction is open or a statement is in progress */
  isBusy: () => boolean
  /**
   * Gives the statement in progress its last answer, and rolls back an open transaction. The outcome is unknown when the statement may
   * commit a write; nothing is kept otherwise.
   */
  interrupt: () => void
  /** Ends the session: rolls back an open transaction and releases its connection. */
  close: () => void
}

const INTERRUPTION_MESSAGE = 'the instance is stopping and does not wait for the answer of the database'

/** @param canCommitWrite - whether the interrupted statement may commit a write */
function buildInterruptionRefusal (canCommitWrite: boolean): SessionRefusal {
  if (canCommitWrite) return { result: 'outcomeUnknown', promise: 'unknown', message: INTERRUPTION_MESSAGE, retryAfterMs: null }
  return buildRefusalPromisingNothingKept('transactionAborted', INTERRUPTION_MESSAGE, 0)
}

/** Retry time of a session for which there is no memory, in milliseconds. Other sessions may end meanwhile. */
const MEMORY_RETRY_MS = 1000

/** Statements that the session handles without a database. */
type LocalStatement = Extract<SessionStatement, { kind: 'set' | 'prepare' | 'deallocate' }>

/**
 * Opens a session. The session stores its values, prepared statements and open transaction. It acquires a database connection for
 * each transaction or single statement.
 * @param endpointName - name of the endpoint, as the caller gave it
 * @param keyDigest - SHA-256 of the caller's key; null when the caller sent no key
 * @returns the session, or the refusal
 */
export function openCallerSession (services: SessionServices, endpointName: string, keyDigest: string | null): CallerSession | SessionRefusal {
  const initialGrant = services.authorize(endpointName, keyDigest)
  if ('promise' in initialGrant) return initialGrant
  const context: SessionContext = { services, endpointName, keyDigest, values: createSessionValues(), rollbackTimeoutMs: initialGrant.endpoint.statementTimeoutMs, lastCommit: null, group: null, database: null, isInterrupted: false, timing: createOperationTiming() }
  const memory = services.sessionMemory?.open()
  let transaction: SessionTransaction | null = null
  let isRunning = false
  let isClosed = false
  let interruptStatement = (): void => {}

  function currentState (): SessionState {
    if (transaction === null) return 'idle'
    return transaction.state() === 'open' ? 'transaction' : 'failed'
  }

  function toAnswer (outcome: SessionAnswer['outcome'], ends = false): SessionAnswer {
    const { lastCommit, group } = context
    return { outcome, state: currentState(), position: lastCommit?.group === group ? lastCommit?.position ?? null : null, ends }
  }

  const toDoneAnswer = (): SessionAnswer => toAnswer({ kind: 'done', rows: [], proof: null })

  function toRejection (result: SessionRefusal['result'], message: string): SessionAnswer {
    return toAnswer({ kind: 'refused', refusal: { result, promise: 'rejected', message, retryAfterMs: null } })
  }

  async function begin (id: string, readOnly: boolean): Promise<SessionAnswer> {
    if (transaction !== null) return toRejection('malformedRequest', 'a transaction is already open')
    context.timing = createOperationTiming()
    const grant = await admitOperation(context, id)
    if ('refusal' in grant) return toAnswer({ kind: 'refused', refusal: grant.refusal }, grant.ends)
    if (isClosed) return toAnswer({ kind: 'refused', refusal: buildInterruptionRefusal(false) }, true)
    transaction = openTransaction(context, grant.workspace, readOnly)
    return toDoneAnswer()
  }

  function rollback (): SessionAnswer {
    if (transaction === null) return toRejection('malformedRequest', 'no transaction is open')
    transaction.rollback()
    transaction = null
    return toDoneAnswer()
  }

  async function runInTransaction (current: SessionTransaction, id: string, statement: SessionStatement, kind: 'read' | 'write' | 'commit'): Promise<SessionAnswer> {
    const { outcome, ends } = await current.run(id, statement, kind)
    if (transaction === current && current.state() === 'ended') transaction = null
    return toAnswer(outcome, ends)
  }

  /** @returns what a statement does; null when it runs nothing, or executes a statement that is not prepared */
  function findAccess (statement: SessionStatement): StatementAccess | null {
    if (statement.kind === 'run') return statement.access
    return statement.kind === 'execute' ? context.values.prepared.get(statement.name)?.access ?? null : null
  }

  async function run (id: string, statement: Extract<SessionStatement, { kind: 'run' | 'execute' }>): Promise<SessionAnswer> {
    const kind = findAccess(statement)
    if (kind === null) return toRejection('unknownStatement', 'no statement of that name is prepared')
    if (transaction !== null) return await runInTransaction(transaction, id, statement, kind)
    const { outcome, ends } = await runSingleStatement(context, id, statement, kind)
    return toAnswer(outcome, ends)
  }

  function runLocalStatement (statement: LocalStatement): SessionAnswer {
    const { values } = context
    const text = statement.kind === 'set' ? statement.value : statement.kind === 'prepare' ? statement.shape : null
    if (transaction !== null && transaction.state() !== 'open') return toRejection('malformedRequest', 'the transaction has failed; only commit or rollback is allowed')
    if (text !== null && memory?.keep(`${statement.kind} ${statement.name}`, text.length) === false) return toAnswer({ kind: 'refused', refusal: buildRefusalPromisingNothingKept('sessionMemoryExceeded', 'there is no memory for another value or prepared statement', MEMORY_RETRY_MS) })
    if (statement.kind === 'set') values.set(statement.name, statement.value)
    if (statement.kind === 'prepare') values.prepared.set(statement.name, { access: statement.access, shape: statement.shape })
    if (statement.kind === 'deallocate' && !values.prepared.delete(statement.name)) return toRejection('unknownStatement', 'no statement of that name is prepared')
    if (statement.kind === 'deallocate') memory?.drop(`prepare ${statement.name}`)
    return toDoneAnswer()
  }

  async function dispatch (id: string, statement: SessionStatement): Promise<SessionAnswer> {
    switch (statement.kind) {
      case 'begin': return await begin(id, statement.readOnly)
      case 'rollback': return rollback()
      case 'commit': return transaction === null ? toRejection('malformedRequest', 'no transaction is open') : await runInTransaction(transaction, id, statement, 'commit')
      case 'run':
      case 'execute': return await run(id, statement)
      default: return runLocalStatement(statement)
    }
  }

  /** @returns whether a statement commits a write if it runs */
  function canCommitWrite (statement: SessionStatement): boolean {
    if (statement.kind === 'commit') return transaction?.hasWritten() === true
    return transaction === null && findAccess(statement) === 'write'
  }

  function close (): void {
    isClosed = true
    memory?.close()
    transaction?.rollback()
    transaction = null
  }

  async function handle (id: string, statement: SessionStatement): Promise<SessionAnswer> {
    isRunning = true
    return await new Promise((resolve, reject) => {
      interruptStatement = () => {
        const refusal = buildInterruptionRefusal(canCommitWrite(statement))
        context.isInterrupted = true
        close()
        services.logEvent('statementInterrupted', { requestId: id, kind: statement.kind, database: context.database, promise: refusal.promise })
        settle(() => { resolve(toAnswer({ kind: 'refused', refusal }, true)) })
      }
      dispatch(id, statement).then((answer) => { settle(() => { resolve(answer) }) }, (error: unknown) => { settle(() => { reject(error) }) })
    })
  }

  /** Ends the statement in progress. A statement that was interrupted may still be answered by its database; the answer is ignored. */
  function settle (respond: () => void): void {
    isRunning = false
    interruptStatement = () => {}
    respond()
  }

  return {
    handle,
    state: currentState,
    database: () => context.database,
    isBusy: () => isRunning || transaction !== null,
    interrupt: () => { interruptStatement() },
    close
  }
}
