import type { DatabaseReply } from './database-session.js'
import type { DatabaseId, WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { SessionRefusal, SessionStatement, StatementAccess } from './session-statement.js'

/** What a borrowed connection is for; sent with the first statement. */
export interface LoanTerms {
  database: DatabaseId
  workspace: WorkspaceId
  /** Lower ones go first. */
  priority: number
  /** Longest wait for a connection in milliseconds. */
  waitMs: number
}

/** Values of a caller's session that the connection must have. */
export interface SentValues {
  owner: string
  version: number
  changes: { name: string, value: string }[]
}

/** One statement on a borrowed connection. */
export interface RunBorrowed {
  kind: 'run-borrowed'
  /** Numbers the connection; unique on the channel. */
  loan: number
  /** Null from the second statement on. */
  terms: LoanTerms | null
  id: string | null
  statement: SessionStatement
  /** What the statement executes, where it names a prepared one. */
  definition: { access: StatementAccess, shape: string } | null
  after: LogPosition | null
  /** Null: as with the last statement on the connection, or none. */
  values: SentValues | null
  /** Time for the answer in milliseconds. */
  limitMs: number
  /** Whether the connection is given back after the answer. */
  isLast: boolean
}

/** Gives a borrowed connection back; `keep`: it is outside of any transaction. */
export interface EndLoan {
  kind: 'end-loan'
  loan: number
  keep: boolean
}

/** Asks a holder of the workspace's rate for a token. */
export interface AskToken {
  kind: 'ask-token'
  workspace: WorkspaceId
  /** Longest wait in milliseconds. */
  limitMs: number
}

/** A call gets one answer of the same number. */
export type PeerCallBody = RunBorrowed | AskToken
export type PeerCallMessage = { kind: 'call', call: number, body: PeerCallBody } | EndLoan
export interface PeerCallAnswer {
  kind: 'call-answer'
  call: number
  body: LoanAnswer | TokenAnswer
}

/**
 * - `not-run`: the statement was not sent to the database
 * - `loss`: the connection gave no answer
 */
export type LoanAnswer =
  | { kind: 'reply', reply: DatabaseReply }
  | { kind: 'not-run', cause: 'no-connection' | 'unreachable' | 'draining' }
  | { kind: 'loss', message: string, silent: boolean }

export interface TokenAnswer {
  kind: 'token'
  /** Null: the operation may run. */
  refusal: SessionRefusal | null
}
