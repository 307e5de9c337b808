import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { EndLoan, LoanAnswer, LoanTerms, RunBorrowed, SentValues } from '../../types/session-peer-message.js'
import type { DatabaseHealth } from './database-health.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionPool } from './session-pool.js'
import type { SessionServices } from './session-services.js'
import type { PreparedStatement, ValuesView } from './session-values.js'
import { runStatement } from './statement-runner.js'

/** Part of a call's time that is kept for the answer to reach the borrower, in milliseconds: several round trips. */
const ANSWER_TIME_MS = 20
/** A statement is not begun with less time than this left, in milliseconds. */
const LEAST_RUN_MS = 5

export interface ConnectionLendingOptions extends Pick<SessionServices, 'after'> {
  clock: Clock
  /** Connections of this instance. */
  pool: SessionPool
  health: DatabaseHealth
  find: (database: DatabaseId) => DirectoryDatabase | null
  isDraining: () => boolean
}

/** Lends connections of this instance to others. Each borrower names its loans by numbers of its own. */
export interface ConnectionLending {
  run: (borrower: string, call: RunBorrowed) => Promise<LoanAnswer>
  end: (borrower: string, message: EndLoan) => void
  /** The channel to the borrower ended: what it holds is closed, which rolls it back. */
  lose: (borrower: string) => void
  /** @returns connections that are lent to a borrower */
  countOf: (borrower: string) => number
  /** @returns connections that are lent out */
  count: () => number
}

interface Loan {
  pooled: PooledSession | null
  values: SentValues | null
  /** The borrower wants nothing more of it. */
  over: boolean
}

const NO_VALUES: SentValues = { owner: '', version: 0, changes: [] }

/** Creates the lender; nothing is lent. */
export function createConnectionLending (options: ConnectionLendingOptions): ConnectionLending {
  const { clock, pool, health, find, isDraining, after } = options
  const loans = new Map<string, Map<number, Loan>>()

  function loanOf (borrower: string, number: number): Loan | undefined {
    return loans.get(borrower)?.get(number)
  }

  function open (borrower: string, number: number): Loan {
    const all = loans.get(borrower) ?? new Map<number, Loan>()
    loans.set(borrower, all)
    const loan: Loan = { pooled: null, values: null, over: false }
    all.set(number, loan)
    return loan
  }

  function forget (borrower: string, number: number): void {
    const all = loans.get(borrower)
    all?.delete(number)
    if (all?.size === 0) loans.delete(borrower)
  }

  async function take (loan: Loan, terms: LoanTerms, giveUpAt: Milliseconds): Promise<LoanAnswer | null> {
    if (isDraining()) return { kind: 'not-run', cause: 'draining' }
    const database = find(terms.database)
    if (database === null || database.weight === 0) return { kind: 'not-run', cause: 'no-connection' }
    const acquired = await pool.acquire(database, terms.workspace, terms.priority, Math.min(terms.waitMs, giveUpAt - clock.now()))
    if (acquired.isErr()) return { kind: 'not-run', cause: acquired.error }
    loan.pooled = acquired.value
    const isLate = loan.over || clock.now() > giveUpAt - LEAST_RUN_MS
    // The database may have been withdrawn during the wait.
    if (!isLate && (find(terms.database)?.weight ?? 0) > 0) return null
    pool.release(acquired.value)
    return { kind: 'not-run', cause: 'no-connection' }
  }

  async function run (borrower: string, call: RunBorrowed): Promise<LoanAnswer> {
    const giveUpAt = addTime(clock.now(), Math.max(LEAST_RUN_MS, call.limitMs - ANSWER_TIME_MS))
    let loan = loanOf(borrower, call.loan)
    if (call.terms !== null) {
      loan = open(borrower, call.loan)
      const refused = await take(loan, call.terms, giveUpAt)
      if (refused !== null) {
        forget(borrower, call.loan)
        return refused
      }
    }
    if (loan?.pooled == null || loan.over) return { kind: 'loss', message: 'the borrowed connection has ended', silent: false }
    if (call.values !== null) loan.values = call.values
    return await runOn(borrower, call, loan, loan.pooled, giveUpAt)
  }

  async function runOn (borrower: string, call: RunBorrowed, loan: Loan, pooled: PooledSession, giveUpAt: Milliseconds): Promise<LoanAnswer> {
    const { id, statement, after: position, isLast } = call
    const limitMs = Math.max(LEAST_RUN_MS, giveUpAt - clock.now())
    const result = await runStatement({ clock, health, pool, after }, pooled, { id, statement, after: position, values: viewOf(loan.values ?? NO_VALUES, call), limitMs, isLast })
    if (result.isErr()) {
      forget(borrower, call.loan)
      return { kind: 'loss', message: result.error.message, silent: result.error.kind === 'silent' }
    }
    const { reply } = result.value
    if (isLast) settle(borrower, call.loan, pooled, reply.state === 'idle')
    return { kind: 'reply', reply }
  }

  function viewOf (values: SentValues, { statement, definition }: RunBorrowed): ValuesView {
    const prepared = new Map<string, PreparedStatement>()
    if (statement.kind === 'execute' && definition !== null) prepared.set(statement.name, definition)
    return { owner: values.owner, version: () => values.version, since: (from) => values.changes.slice(from), prepared }
  }

  function settle (borrower: string, number: number, pooled: PooledSession, keep: boolean): void {
    forget(borrower, number)
    if (pooled.ended) return
    if (keep) pool.release(pooled)
    else pool.discard(pooled)
  }

  function end (borrower: string, { loan: number, keep }: EndLoan): void {
    const loan = loanOf(borrower, number)
    if (loan === undefined) return
    loan.over = true
    if (loan.pooled !== null) settle(borrower, number, loan.pooled, keep)
  }

  function lose (borrower: string): void {
    for (const loan of [...loans.get(borrower) ?? []]) end(borrower, { kind: 'end-loan', loan: loan[0], keep: false })
  }

  return {
    run,
    end,
    lose,
    countOf: (borrower) => loans.get(borrower)?.size ?? 0,
    count: () => [...loans.values()].reduce((sum, all) => sum + all.size, 0)
  }
}
