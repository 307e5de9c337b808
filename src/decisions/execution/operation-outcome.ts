import type { DatabaseOperation, OperationDone, OperationFailed } from '../../types/database-operation.js'
import type { ConnectionMode } from '../../types/executor-message.js'
import type { DatabaseId, TransactionId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import type { Refusal, Success } from '../../types/outcome.js'
import { buildRefusal } from '../../types/result-code.js'

/** SQL states that the functions of sql/catkinrelay.sql raise. */
const NOT_PRIMARY_SQL_STATE = 'CR001'
const KEY_REUSED_SQL_STATE = 'CR002'
/** PostgreSQL: write in a read-only transaction. */
const READ_ONLY_SQL_STATE = '25006'
/** Typical time until a group accepts writes again after a change of its primary. */
const RETRY_AFTER_REFUSAL_MS = 200

// 25006 on a write connection means that the database is no longer the primary. A read connection is read-only by its
// mode, so there 25006 means that the caller declared a writing statement as a read.
function isNotPrimary (sqlState: string | null, mode: ConnectionMode): boolean {
  return sqlState === NOT_PRIMARY_SQL_STATE || (sqlState === READ_ONLY_SQL_STATE && mode === 'write')
}

function buildDatabaseRefusal (failure: OperationFailed, mode: ConnectionMode): Refusal {
  if (failure.sqlState === KEY_REUSED_SQL_STATE) return buildRefusal('idempotencyKeyReused', 'not-run', failure.message)
  if (isNotPrimary(failure.sqlState, mode)) return buildRefusal('databaseRefused', 'not-run', failure.message, RETRY_AFTER_REFUSAL_MS)
  return buildRefusal('databaseError', 'not-run', failure.message)
}

/**
 * Maps the failure of an operation in flight to the refusal for its requester.
 * Once an operation was sent, only an error from the database proves that its statement has not run and will not run later.
 * A `begin` carries no statement of the caller, so its outcome is always `not-run`.
 */
export function buildFailureRefusal (kind: DatabaseOperation['kind'], mode: ConnectionMode, failure: OperationFailed): Refusal {
  if (failure.phase === 'refused') return buildDatabaseRefusal(failure, mode)
  if (kind === 'begin') return buildRefusal('noDatabase', 'not-run', failure.message, RETRY_AFTER_REFUSAL_MS)
  return buildRefusal('outcomeUnknown', 'unknown', failure.message)
}

/** @returns the refusal of an operation whose connection was closed or lost before its result arrived */
export function buildAbandonedRefusal (kind: DatabaseOperation['kind'], message: string): Refusal {
  // Without a result, the database may have committed the operation.
  const failure: OperationFailed = { kind: 'failed', phase: 'commit-sent', sqlState: null, message, connectionUsable: false }
  return buildFailureRefusal(kind, 'write', failure)
}

/** @returns the refusal of a committed write that no majority of the group is known to hold */
export function buildNotDurableRefusal (message: string): Refusal {
  return buildRefusal('notDurable', 'unknown', message)
}

/** What a successful result carries besides its rows: the database that ran the operation and its role, the log position of a write, the opened transaction and the age of the data. */
export interface ResultSource {
  database: DatabaseId | null
  role: 'primary' | 'replica' | null
  /** Log position of the write; null when nothing was written. */
  position: LogPosition | null
  /** Transaction that a `begin` opened, otherwise null. */
  transaction: TransactionId | null
  /** Age of the data in milliseconds; null, the default, when it is unknown or has no meaning. */
  ageMs?: number
}

export function buildSuccess (done: Pick<OperationDone, 'rows' | 'rowCount'>, source: ResultSource): Success {
  return { kind: 'success', rows: done.rows, rowCount: done.rowCount, ageMs: null, ...source }
}
