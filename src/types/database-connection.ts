import type { Result } from 'neverthrow'
import type { DatabaseOperation, OperationResult } from './database-operation.js'
import type { DatabaseStatus } from './database-status.js'
import type { Address, DatabaseId } from './ids.js'
import type { ConnectionMode } from './executor-message.js'

export interface DatabaseFailure {
  /** SQLSTATE, or null when the database did not answer. */
  sqlState: string | null
  message: string
}

/** One connection to a database. Runs one operation at a time. */
export interface DatabaseConnection {
  /** Status that the database told when the connection was opened. */
  readonly status: DatabaseStatus
  run: (operation: DatabaseOperation) => Promise<OperationResult>
  /** Ends the socket at once; a pending `run` resolves as failed. */
  close: () => void
  /** Calls the listener once when the connection ends without `close`. */
  onEnd: (listener: () => void) => void
}

/** Opens a connection with the system's own credentials and asks for its status. */
export type OpenDatabaseConnection = (address: Address, mode: ConnectionMode) => Promise<Result<DatabaseConnection, DatabaseFailure>>

/** Long-polls the status of one database until stopped; reconnects by itself. */
export interface StatusWatch {
  stop: () => void
}

/**
 * Starts a status watch.
 * @param onStatus - called with each answer and the time at which it was asked for, in ms of the process's clock
 * @param onSilent - called when a connection is lost or an answer is overdue, before the reconnect
 */
export type WatchDatabaseStatus = (options: {
  database: DatabaseId
  address: Address
  onStatus: (status: DatabaseStatus, askedAt: number) => void
  onSilent: (message: string) => void
}) => StatusWatch

/** Orders that the control leader gives to databases. */
export interface DatabaseOrders {
  status: (address: Address) => Promise<Result<DatabaseStatus, DatabaseFailure>>
  fence: (address: Address, term: number) => Promise<Result<DatabaseStatus, DatabaseFailure>>
  promote: (address: Address, term: number) => Promise<Result<DatabaseStatus, DatabaseFailure>>
  follow: (address: Address, term: number, primaryAddress: Address) => Promise<Result<DatabaseStatus, DatabaseFailure>>
}
