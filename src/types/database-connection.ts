import type { Result } from 'neverthrow'
import type { DatabaseOperation, OperationResult } from './database-operation.js'
import type { DatabaseStatus } from './database-status.js'
import type { Address, DatabaseId } from './ids.js'
import type { ConnectionMode } from './executor-message.js'

export interface DatabaseFailure {
  /** SQLSTATE, or null when the database did not answer. */
  sqlState: string | null
  message: string
  /** Nothing listens at the address, or another database does. Absent also if the database may run and only its answer is missing. */
  isNotRunning?: true
}

/** One connection to a database for operations of HTTP callers. It runs one operation at a time. For sessions, see `DatabaseSession`. */
export interface DatabaseConnection {
  /** Status that the database reported when the connection was opened. */
  readonly status: DatabaseStatus
  run: (operation: DatabaseOperation) => Promise<OperationResult>
  /** Closes the socket at once; a pending `run` resolves as failed. */
  close: () => void
  /** Calls the listener once when the connection ends without `close`. */
  onEnd: (listener: () => void) => void
}

/**
 * Opens a connection for operations, with the credentials of the system. Requests the status of the database once, when the connection
 * is open: the status shows that the database answers, and to which of its incarnations the connection belongs.
 */
export type OpenDatabaseConnection = (address: Address, mode: ConnectionMode) => Promise<Result<DatabaseConnection, DatabaseFailure>>

/** Long-polls the status of one database until stopped, and reconnects after a loss. */
export interface StatusWatch {
  stop: () => void
}

/**
 * Starts a status watch.
 * @param onStatus - called with each answer and the time of its request, in ms of the process's clock
 * @param onSilent - called when the connection is lost or an answer is overdue, before the watch reconnects
 */
export type WatchDatabaseStatus = (options: {
  database: DatabaseId
  address: Address
  onStatus: (status: DatabaseStatus, requestedAt: number) => void
  onSilent: (message: string) => void
}) => StatusWatch

/** Sends orders of the control leader to databases, and requests their status. */
export interface DatabaseOrders {
  status: (address: Address) => Promise<Result<DatabaseStatus, DatabaseFailure>>
  fence: (address: Address, term: number) => Promise<Result<DatabaseStatus, DatabaseFailure>>
  promote: (address: Address, term: number) => Promise<Result<DatabaseStatus, DatabaseFailure>>
  follow: (address: Address, term: number, primaryAddress: Address) => Promise<Result<DatabaseStatus, DatabaseFailure>>
}
