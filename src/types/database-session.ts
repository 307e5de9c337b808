import type { Result } from 'neverthrow'
import type { Address, DatabaseId, GroupId, WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { DatabaseStatus } from './database-status.js'
import type { SessionState, SessionStatement } from './session-statement.js'

/** Commands of the system itself, beside the statements of callers. */
export type SystemStatement = { kind: 'reset' } | { kind: 'status' } | { kind: 'fence', term: number } | { kind: 'unfence' }

export interface DatabaseRequest {
  /** Id that the caller gave; null for statements of the system. */
  id: string | null
  statement: SessionStatement | SystemStatement
  /** The database refuses the statement unless its log holds this position. */
  after: LogPosition | null
}

/**
 * Why a statement got no result. The first six mean that it has not run.
 * - `not-sent`: another instance that holds the connections had none free; the database was not asked
 * - `busy`: no slot and no room in the queue
 * - `unknown-statement`: no prepared statement has that name
 * - `lagging`: the log lacks the position asked for
 * - `read-only`: a write or a plain transaction at a database that is no primary
 * - `other-database`: the address belongs to another database now
 * - `failed`, `timed-out`: the statement ran
 * - `malformed`: the database could not read it, or the transaction has failed
 * - `unrecognized`: a code that is not known here; whether it ran is not known either
 */
export type DatabaseErrorKind = 'not-sent' | 'busy' | 'unknown-statement' | 'lagging' | 'read-only' | 'other-database' | 'too-many-connections' | 'failed' | 'timed-out' | 'malformed' | 'unrecognized'

export interface DatabaseReply {
  rows: string[]
  outcome: { kind: 'done', proof: string } | { kind: 'error', error: DatabaseErrorKind, message: string }
  state: SessionState
  /** Position of the database's log when it answered. */
  position: LogPosition | null
}

/** The connection ended, or broke the protocol, before the whole answer had come. */
export interface ConnectionLoss {
  kind: 'lost'
  message: string
}

/** One connection to a database, opened for one workspace. Answers come in the order of the requests. */
export interface DatabaseSession {
  /** Position that the database told when the connection was opened. */
  readonly openedAt: LogPosition | null
  run: (request: DatabaseRequest) => Promise<Result<DatabaseReply, ConnectionLoss>>
  /** Ends the connection; the database rolls an open transaction back. */
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

/** - `unreachable`: no answer in time, or the connection was refused */
export interface OpenFailure {
  kind: 'unreachable' | 'busy' | 'other-database' | 'too-many-connections'
  message: string
}

/** Opens a connection; gives up after `limitMs` milliseconds. */
export type OpenDatabaseSession = (target: SessionTarget, limitMs: number) => Promise<Result<DatabaseSession, OpenFailure>>

/** Reads the rows of a `status` command. @returns null when they hold no status */
export type ReadDatabaseStatus = (database: DatabaseId, rows: readonly string[]) => DatabaseStatus | null
