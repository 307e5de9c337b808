import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { DatabaseReply } from '../../types/database-session.js'
import type { DirectoryInstance } from '../../types/directory.js'
import type { InstanceId } from '../../types/ids.js'
import type { LenderQueue, LoanAnswer, LoanTerms, PeerCallAnswer, PeerCallBody, LoanStatementRequest, SentValues } from '../../types/session-peer-message.js'
import type { PooledSession } from './pooled-session.js'
import type { ValuesView } from './session-values.js'
import type { StatementLoss, StatementRequest } from './statement-runner.js'

/**
 * Why a call to another instance failed.
 * - `unsent`: no channel to the instance was open, so it did not receive the call
 * - `lost`: the instance did not answer in time, or the channel ended
 */
export type PeerCallFailure = 'unsent' | 'lost'

/** Calls to other instances. */
export interface PeerCalls {
  /** Sends a request and waits up to `limitMs` milliseconds for the answer. */
  call: (peer: DirectoryInstance, body: PeerCallBody, limitMs: number) => Promise<Result<PeerCallAnswer['body'], PeerCallFailure>>
  /** Ends a loan; the holder sends no answer. @param keep - whether the connection is outside of any transaction, so that the holder may keep it */
  endLoan: (peer: DirectoryInstance, loan: number, keep: boolean) => void
  /** Stops sending requests to an instance for some time. */
  avoid: (peer: InstanceId) => void
  /** @returns whether requests may be sent to the instance */
  canRequest: (peer: InstanceId) => boolean
}

/** Connection holders that get a loan request for one statement before it fails. */
const MAX_HOLDER_ATTEMPTS = 3

export interface BorrowedSessionOptions {
  calls: PeerCalls
  /** Number of the loan, unique for this instance. */
  loan: number
  terms: LoanTerms
  /** @returns the connection holders in the order in which they get loan requests */
  holders: () => readonly DirectoryInstance[]
  /** Called when the connection holder could not connect to the database. */
  onUnreachable: () => void
  /** Called with the state of the queue at the lender, where an answer gives it. */
  onQueue?: (queue: LenderQueue) => void
}

/** A connection that another instance holds. The first statement also requests the loan, so that borrowing costs no extra round trip. */
export interface BorrowedSession extends PooledSession {
  /** Ends the loan. @param keep - whether the connection is outside of any transaction, so that the holder may keep it */
  endLoan: (keep: boolean) => void
}

/** Creates a session over a borrowed connection. It sends nothing before the first statement. */
export function createBorrowedSession ({ calls, loan, terms, holders, onUnreachable, onQueue }: BorrowedSessionOptions): BorrowedSession {
  let holder: DirectoryInstance | null = null
  let lastHolder: InstanceId | null = null
  /** Values that the holder has; null when it has none. */
  let sentValues: { owner: string, version: number } | null = null

  async function run (request: StatementRequest): Promise<Result<DatabaseReply, StatementLoss>> {
    const answered = holder === null ? await startLoan(request) : await calls.call(holder, buildCallBody(request, null), request.limitMs)
    if (answered.isErr()) {
      // The channel may still be open, and the holder would then keep the connection for this loan.
      if (holder !== null) calls.endLoan(holder, loan, false)
      session.ended = true
      return err({ kind: 'holder-lost', message: `the instance that holds the connection did not answer (${answered.error})` })
    }
    const handled = handleLoanAnswer(answered.value as LoanAnswer, request.isLast)
    const { begin, ...statement } = request
    // A lender of an earlier version has run only the `begin`.
    const hasBegunOnly = begin !== undefined && handled.isOk() && handled.value.outcome.kind === 'done' && handled.value.hasBegun !== true
    if (!hasBegunOnly) return handled
    const result = await run({ ...statement, after: null })
    return result.map((reply): DatabaseReply => ({ ...reply, hasBegun: true }))
  }

  async function startLoan (request: StatementRequest): Promise<Result<PeerCallAnswer['body'], PeerCallFailure>> {
    for (const candidate of holders().slice(0, MAX_HOLDER_ATTEMPTS)) {
      holder = candidate
      lastHolder = candidate.instance
      sentValues = null
      const answered = await calls.call(candidate, buildCallBody(request, terms), request.limitMs)
      const isDraining = answered.isOk() && answered.value.kind === 'not-run' && answered.value.cause === 'draining'
      if (isDraining) calls.avoid(candidate.instance)
      else if (answered.isOk() || answered.error === 'lost') return answered
    }
    holder = null
    return ok({ kind: 'not-run', cause: 'no-connection' })
  }

  /** @param sentTerms - terms of the loan with its first statement, otherwise null */
  function buildCallBody ({ id, statement, begin, after, values, limitMs, isLast }: StatementRequest, sentTerms: LoanTerms | null): LoanStatementRequest {
    const definition = statement.kind === 'execute' ? values.prepared.get(statement.name) ?? null : null
    const call = { kind: 'run-borrowed' as const, loan, terms: sentTerms, after, values: buildChangedValues(values), limitMs, sendBy: null }
    if (begin === undefined) return { ...call, id, statement, definition, isLast }
    // The loan must outlive the `begin` at a lender of an earlier version, which does not read `next`.
    return { ...call, id: null, statement: { kind: 'begin', readOnly: begin.readOnly }, definition: null, isLast: false, next: { id, statement, definition } }
  }

  /** @returns the session values, or null when the holder already has this version */
  function buildChangedValues (values: ValuesView): SentValues | null {
    const { owner } = values
    const version = values.version()
    // A shortened history has another owner, and may have the same length as a part of the former one.
    const isKnown = sentValues === null ? version === 0 : sentValues.owner === owner && sentValues.version === version
    if (isKnown) return null
    sentValues = { owner, version }
    return { owner, version, changes: [...values.since(0)] }
  }

  function handleLoanAnswer (answer: LoanAnswer, isLast: boolean): Result<DatabaseReply, StatementLoss> {
    if (answer.kind === 'loss') {
      session.ended = true
      return err({ kind: answer.silent ? 'silent' : 'lost', message: answer.message })
    }
    if (answer.queue !== undefined) onQueue?.(answer.queue)
    if (answer.kind === 'not-run') {
      holder = null
      if (answer.cause === 'unreachable') onUnreachable()
      const overload = answer.cause === 'overloaded' ? { overload: { expectedWaitMs: answer.retryAfterMs ?? 0 } } : {}
      return ok({ rows: [], outcome: { kind: 'error', error: 'not-sent', message: `the connection holder did not run the statement (${answer.cause})`, ...overload }, state: 'idle', position: null })
    }
    // After the last statement the holder has put the connection back into its pool, or closed it.
    if (isLast) holder = null
    return ok(answer.reply)
  }

  function endLoan (keep: boolean): void {
    if (holder !== null && !session.ended) calls.endLoan(holder, loan, keep)
    holder = null
    session.ended = true
  }

  const session: BorrowedSession = { database: terms.database, workspace: terms.workspace, isUnused: true, ended: false, heldBy: () => lastHolder, run, endLoan, close: () => { endLoan(false) } }
  return session
}
