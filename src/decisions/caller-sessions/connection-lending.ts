import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { EndLoan, LenderQueue, LoanAnswer, LoanTerms, LoanStatementRequest, NextStatement, SentValues } from '../../types/session-peer-message.js'
import type { StopStage } from '../../types/stop-stage.js'
import { hasReached } from '../../types/stop-stage.js'
import type { DatabaseHealth } from './database-health.js'
import type { PooledSession } from './pooled-session.js'
import type { PoolRefusal, SessionPool } from './session-pool.js'
import type { SessionServices } from './session-services.js'
import type { PreparedStatement, ValuesView } from './session-values.js'
import type { StatementRequest } from './statement-runner.js'
import { runStatement } from './statement-runner.js'

/** Time of a call that is reserved for the answer to reach the borrower: several round trips. */
const ANSWER_RESERVE_MS = 20
/** Least time that a statement gets, and least time that must be left after the wait for a connection. */
const MIN_RUN_MS = 5

export interface ConnectionLendingOptions extends Pick<SessionServices, 'after' | 'logEvent'> {
  clock: Clock
  /** Pool of the connections that this instance holds. */
  pool: SessionPool
  health: DatabaseHealth
  /** @returns the database as the directory lists it, or null when it is not listed */
  findDatabase: (database: DatabaseId) => DirectoryDatabase | null
  /** @returns the stage of a planned stop of this instance; from the first one on it starts no new loans */
  stopStage: () => StopStage
}

/** Lends connections of this instance to other instances. A borrower is one channel of another instance, and numbers its loans itself. */
export interface ConnectionLending {
  /** Runs a statement of a borrower. A call with `terms` starts a loan, a call with `isLast` ends it after the answer. */
  run: (borrower: string, call: LoanStatementRequest) => Promise<LoanAnswer>
  /** Ends one loan at the request of its borrower. */
  end: (borrower: string, message: EndLoan) => void
  /** Closes all connections lent to a borrower whose channel ended. The databases then roll back its transactions. */
  endAllLoans: (borrower: string) => void
  /** @returns number of connections lent to a borrower */
  countLoansOf: (borrower: string) => number
  /** @returns number of connections lent to all borrowers */
  count: () => number
}

interface Loan {
  /** Null while the loan waits for a connection. */
  pooled: PooledSession | null
  /** Session values that the borrower sent last; null when it sent none. */
  values: SentValues | null
  /** Whether the borrower has ended the loan. */
  isEnded: boolean
  /** Priority in its terms. */
  priority: number
}

const NO_VALUES: SentValues = { owner: '', version: 0, changes: [] }

/** Creates the lender, without loans. */
export function createConnectionLending (options: ConnectionLendingOptions): ConnectionLending {
  const { clock, pool, health, findDatabase: find, stopStage, after, logEvent } = options
  const loans = new Map<string, Map<number, Loan>>()

  function findLoan (borrower: string, number: number): Loan | undefined {
    return loans.get(borrower)?.get(number)
  }

  function addLoan (borrower: string, number: number, priority: number): Loan {
    const borrowerLoans = loans.get(borrower) ?? new Map<number, Loan>()
    loans.set(borrower, borrowerLoans)
    const loan: Loan = { pooled: null, values: null, isEnded: false, priority }
    borrowerLoans.set(number, loan)
    return loan
  }

  function removeLoan (borrower: string, number: number): void {
    const all = loans.get(borrower)
    all?.delete(number)
    if (all?.size === 0) loans.delete(borrower)
  }

  /** @returns null when the loan has a connection, otherwise why the statement was not run */
  async function acquireForLoan (loan: Loan, terms: LoanTerms, deadline: Milliseconds): Promise<LoanAnswer | null> {
    if (hasReached(stopStage(), 'announced')) return { kind: 'not-run', cause: 'draining' }
    const database = find(terms.database)
    if (database === null || database.weight === 0) return { kind: 'not-run', cause: 'no-connection' }
    const acquired = await pool.acquire(database, terms.workspace, terms.priority, Math.min(terms.waitMs, deadline - clock.now()))
    if (acquired.isErr()) return buildPoolRefusal(acquired.error, terms)
    loan.pooled = acquired.value
    const isLate = loan.isEnded || clock.now() > deadline - MIN_RUN_MS
    // The directory may have withdrawn the database during the wait.
    if (!isLate && (find(terms.database)?.weight ?? 0) > 0) return null
    pool.release(acquired.value)
    return { kind: 'not-run', cause: 'no-connection' }
  }

  function buildPoolRefusal (cause: PoolRefusal, { database, workspace, priority }: LoanTerms): LoanAnswer {
    if (cause !== 'overloaded') return { kind: 'not-run', cause }
    return { kind: 'not-run', cause, retryAfterMs: Math.ceil(pool.expectedWaitMs(database, workspace, priority)), ...describeQueue(database, priority) }
  }

  function describeQueue (database: DatabaseId, priority: number): { queue?: LenderQueue } {
    const waiting = pool.slotQueue(database)?.waiting
    return waiting === undefined ? {} : { queue: { waiting, expectedWaitMs: Math.ceil(pool.expectedWaitMs(database, null, priority)) } }
  }

  /** Logs a statement that is not sent to the database, since the borrower may have stopped waiting. @param stage - how far the lender was with it */
  function logLateStatement (borrower: string, { id }: LoanStatementRequest, sendBy: Milliseconds, stage: 'received' | 'values-applied'): void {
    logEvent('loanStatementLate', { borrower, requestId: id, stage, lateMs: Math.round(clock.now() - sendBy) })
  }

  async function run (borrower: string, call: LoanStatementRequest): Promise<LoanAnswer> {
    const receivedAt = clock.now()
    const deadline = addTime(receivedAt, Math.max(MIN_RUN_MS, call.limitMs - ANSWER_RESERVE_MS))
    let loan = findLoan(borrower, call.loan)
    if (call.terms !== null) {
      if (call.sendBy !== null && clock.now() >= call.sendBy) {
        logLateStatement(borrower, call, call.sendBy, 'received')
        return { kind: 'not-run', cause: 'expired' }
      }
      loan = addLoan(borrower, call.loan, call.terms.priority)
      const notRun = await acquireForLoan(loan, call.terms, deadline)
      if (notRun !== null) {
        removeLoan(borrower, call.loan)
        return notRun
      }
    }
    if (loan?.pooled == null || loan.isEnded) return { kind: 'loss', message: 'the loan of this connection has ended', silent: false }
    if (hasReached(stopStage(), 'refusing')) {
      finishLoan(borrower, call.loan, loan.pooled, false)
      return { kind: 'not-run', cause: 'draining' }
    }
    if (call.values !== null) loan.values = call.values
    return await runOnLoan(borrower, call, loan, loan.pooled, deadline, clock.now() - receivedAt, call.terms === null ? 0 : loan.pooled.slotWaitMs ?? 0)
  }

  /** @param acquisitionMs - time that the statement waited for its connection and slot @param slotWaitMs - part of it for the slot */
  async function runOnLoan (borrower: string, call: LoanStatementRequest, loan: Loan, pooled: PooledSession, deadline: Milliseconds, acquisitionMs: number, slotWaitMs: number): Promise<LoanAnswer> {
    const { after: position, isLast } = call
    const limitMs = Math.max(MIN_RUN_MS, deadline - clock.now())
    const sendBy = call.sendBy ?? deadline
    const result = await runStatement({ clock, health, pool, after }, pooled, { ...selectStatement(call), after: position, values: toValuesView(loan.values ?? NO_VALUES, call.next ?? call), limitMs, sendBy, isLast })
    if (result.isErr()) {
      removeLoan(borrower, call.loan)
      return { kind: 'loss', message: result.error.message, silent: result.error.kind === 'silent' }
    }
    const { reply, sentAt } = result.value
    if (reply.outcome.kind === 'error' && reply.outcome.error === 'not-sent') logLateStatement(borrower, call, sendBy, 'values-applied')
    if (isLast) finishLoan(borrower, call.loan, pooled, reply.state === 'idle')
    const laterSlotMs = reply.holderTiming?.slotMs
    const slotMs = laterSlotMs === undefined ? {} : { slotMs: slotWaitMs + laterSlotMs }
    return { kind: 'reply', reply: { ...reply, holderTiming: { connectionMs: acquisitionMs - slotWaitMs, ...slotMs, databaseMs: clock.now() - sentAt - (laterSlotMs ?? 0) } }, ...describeQueue(pooled.database, loan.priority) }
  }

  /** @returns the statement to run, with the `begin` to send ahead of it if the call has both */
  function selectStatement ({ id, statement, next }: LoanStatementRequest): Pick<StatementRequest, 'id' | 'statement' | 'begin'> {
    if (next === undefined || statement.kind !== 'begin') return { id, statement }
    return { id: next.id, statement: next.statement, begin: { readOnly: statement.readOnly } }
  }

  function toValuesView (values: SentValues, { statement, definition }: NextStatement): ValuesView {
    const prepared = new Map<string, PreparedStatement>()
    if (statement.kind === 'execute' && definition !== null) prepared.set(statement.name, definition)
    return { owner: values.owner, version: () => values.version, since: (from) => values.changes.slice(from), prepared }
  }

  /** @param keep - whether the connection is outside of any transaction, so that the pool may keep it */
  function finishLoan (borrower: string, number: number, pooled: PooledSession, keep: boolean): void {
    removeLoan(borrower, number)
    if (pooled.ended) return
    if (keep) pool.release(pooled)
    else pool.discard(pooled)
  }

  function end (borrower: string, { loan: number, keep }: EndLoan): void {
    const loan = findLoan(borrower, number)
    if (loan === undefined) return
    loan.isEnded = true
    if (loan.pooled !== null) finishLoan(borrower, number, loan.pooled, keep)
  }

  function endAllLoans (borrower: string): void {
    for (const entry of [...loans.get(borrower) ?? []]) end(borrower, { kind: 'end-loan', loan: entry[0], keep: false })
  }

  return {
    run,
    end,
    endAllLoans,
    countLoansOf: (borrower) => loans.get(borrower)?.size ?? 0,
    count: () => [...loans.values()].reduce((sum, borrowerLoans) => sum + borrowerLoans.size, 0)
  }
}
