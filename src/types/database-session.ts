import type { Result } from 'neverthrow'
import type { Address, DatabaseId, GroupId, WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { DatabaseStatus } from './database-status.js'
import type { SessionState, SessionStatement } from './session-statement.js'

/** Statements of the system itself, besides those of callers. */
export type SystemStatement = { kind: 'reset' } | { kind: 'status' } | { kind: 'fence', term: number } | { kind: 'unfence' }

export interface DatabaseRequest {
  /** Request id that the caller sent; null for statements of the system. */
  id: string | null
  statement: SessionStatement | SystemStatement
  /** The database refuses the statement unless its log holds this position. */
  after: LogPosition | null
}

/**
 * Why a statement has no result. The first seven mean that the database has not run the statement.
 * - `not-sent`: the statement reached no database, since the lender of the connection had none free or the time limit had passed
 * - `busy`: the database has no free slot and no room in its queue
 * - `unknown-statement`: no prepared statement has that name
 * - `lagging`: the log of the database lacks the required position
 * - `read-only`: a write or a plain transaction at a database that is not a primary
 * - `other-database`: another database has the address now
 * - `too-many-connections`: the database accepts no further connection
 * - `failed`, `timed-out`: the statement ran
 * - `answer-too-large`: the statement ran, and its answer was discarded since this instance does not hold answers of that size
 * - `malformed`: the database could not parse the statement, or its transaction has failed
 * - `unrecognized`: the database answered with an unknown error code; the statement may have run
 */
export type DatabaseErrorKind = 'not-sent' | 'busy' | 'unknown-statement' | 'lagging' | 'read-only' | 'other-database' | 'too-many-connections' | 'failed' | 'timed-out' | 'answer-too-large' | 'malformed' | 'unrecognized'

/** Where the holder of a borrowed connection spent the time of a statement, in milliseconds. */
export interface HolderTiming {
  /** Wait for the connection, with the time to open one. */
  connectionMs: number
  /** Wait for a slot of the database. Absent: the holder does not order statements by slots. */
  slotMs?: number
  /** Time from sending the statement to the database until its answer. */
  databaseMs: number
}

/** Why a lender had no room for a statement that was not sent. */
export interface Overload {
  /** Expected time until there is room, in milliseconds. */
  expectedWaitMs: number
}

export interface DatabaseReply {
  rows: string[]
  /** `proof`: text with which the database concludes a success. The system passes it to the caller unchanged. */
  outcome: { kind: 'done', proof: string } | { kind: 'error', error: DatabaseErrorKind, message: string, overload?: Overload }
  state: SessionState
  /** Position of the database's log when it answered. */
  position: LogPosition | null
  /** Absent in replies over a connection that this instance holds, unless it orders statements by slots. */
  holderTiming?: HolderTiming
  /** Whether a `begin` that was sent ahead of the statement has opened the transaction, so that this is the reply to the statement. */
  hasBegun?: true
}

/** The connection ended, or violated the protocol, before the whole answer arrived. */
export interface ConnectionLoss {
  kind: 'lost'
  message: string
}

/**
 * One connection to a database over the protocol of connection-oriented sessions. It serves one workspace, or the system itself.
 * Answers arrive in the order of the requests.
 */
export interface DatabaseSession {
  /** Log position that the database reported when the connection was opened. */
  readonly openedAt: LogPosition | null
  run: (request: DatabaseRequest) => Promise<Result<DatabaseReply, ConnectionLoss>>
  /** Closes the connection; the database rolls an open transaction back. */
  close: () => void
  /** Calls the listener once when the connection ends, for whatever reason. */
  onEnd: (listener: () => void) => void
}

export interface SessionTarget {
  database: DatabaseId
  group: GroupId
  address: Address
  /** Workspace that the connection serves; null for the system itself. */
  workspace: WorkspaceId | null
}

/**
 * - `unreachable`: the database did not answer in time, or the connection was lost
 * - `refused`: nothing listens at the address
 */
export interface OpenFailure {
  kind: 'unreachable' | 'refused' | 'busy' | 'other-database' | 'too-many-connections'
  message: string
}

/** Opens a connection, and abandons the attempt after `limitMs` milliseconds. */
export type OpenDatabaseSession = (target: SessionTarget, limitMs: number) => Promise<Result<DatabaseSession, OpenFailure>>

/** Parses the rows of a `status` statement. @returns null when they contain no status */
export type ReadDatabaseStatus = (database: DatabaseId, rows: readonly string[]) => DatabaseStatus | null
