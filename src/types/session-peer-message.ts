import type { Milliseconds } from './clock.js'
import type { DatabaseReply } from './database-session.js'
import type { DatabaseId, WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { SessionRefusal, SessionStatement, StatementAccess } from './session-statement.js'

/** Conditions of a loan. The borrower states them with the first statement. */
export interface LoanTerms {
  database: DatabaseId
  workspace: WorkspaceId
  /** Loans with a lower number are served first. */
  priority: number
  /** Longest wait for a connection in milliseconds. */
  waitMs: number
}

/** Session values of a caller that the connection must have before the statement runs. */
export interface SentValues {
  /** Id of the session's history of changes, unique among the sessions of all instances. */
  owner: string
  /** Number of changes in the history. */
  version: number
  changes: { name: string, value: string }[]
}

/** Requests one statement on a borrowed connection. */
export interface LoanStatementRequest {
  kind: 'run-borrowed'
  /** Number of the loan; unique on the channel. */
  loan: number
  /** Null from the second statement on. */
  terms: LoanTerms | null
  id: string | null
  statement: SessionStatement
  /** Definition of the prepared statement that an `execute` names; otherwise null. */
  definition: { access: StatementAccess, shape: string } | null
  after: LogPosition | null
  /** Null: unchanged since the previous statement of the loan, or no values yet. */
  values: SentValues | null
  /** Time for the answer in milliseconds. */
  limitMs: number
  /** Time on the lender's clock from which the borrower may have stopped waiting; null: the borrower has no reading of that clock. Set when the call is sent. */
  sendBy: Milliseconds | null
  /** Whether the loan ends with the answer. */
  isLast: boolean
  /** Statement to run once `statement`, a `begin`, has opened the transaction. A lender of an earlier version ignores it. */
  next?: NextStatement
}

/** Statement that follows a `begin` in one call, which saves a round trip between the instances. */
export interface NextStatement {
  id: string | null
  statement: SessionStatement
  /** Definition of the prepared statement that an `execute` names; otherwise null. */
  definition: { access: StatementAccess, shape: string } | null
}

/** Ends a loan. `keep`: the connection is outside of any transaction, so the lender may keep it open. */
export interface EndLoan {
  kind: 'end-loan'
  loan: number
  keep: boolean
}

/** Requests a token from a rate holder of the workspace. */
export interface TokenRequest {
  kind: 'ask-token'
  workspace: WorkspaceId
  /** Longest wait in milliseconds. */
  limitMs: number
}

/** Body of a call. Each call has one answer, which repeats its number. */
export type PeerCallBody = LoanStatementRequest | TokenRequest
export type PeerCallMessage = { kind: 'call', call: number, body: PeerCallBody } | EndLoan
export interface PeerCallAnswer {
  kind: 'call-answer'
  call: number
  /** Reading of the lender's clock; missing in answers of earlier versions. */
  now?: Milliseconds
  body: LoanAnswer | TokenAnswer
}

/** State of the queue for the slots of a database at one lender. */
export interface LenderQueue {
  /** Number of waiting statements. */
  waiting: number
  /** Expected wait of a further operation of the priority of the loan, in milliseconds. */
  expectedWaitMs: number
}

/**
 * - `not-run`: the lender did not send the statement to the database
 * - `loss`: the connection ended or became silent before the answer
 */
export type LoanAnswer =
  /** `queue`: only from lenders that order statements by slots. */
  | { kind: 'reply', reply: DatabaseReply, queue?: LenderQueue }
  /** `retryAfterMs`: expected time until there is room, in milliseconds; only with `overloaded`, which earlier versions don't send. */
  | { kind: 'not-run', cause: 'no-connection' | 'unreachable' | 'draining' | 'expired' | 'overloaded', retryAfterMs?: number, queue?: LenderQueue }
  | { kind: 'loss', message: string, silent: boolean }

export interface TokenAnswer {
  kind: 'token'
  /** Null: the operation has its token and may run. */
  refusal: SessionRefusal | null
  /** Whether the rate is used up over all rate holders, so that no other one needs to be asked; absent: unknown. */
  isUsedUp?: true
}
