import type { DatabaseOperation, OperationDone, OperationFailed } from '../../types/database-operation.js'
import type { ConnectionMode } from '../../types/executor-message.js'
import type { DatabaseId, TransactionId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import type { Refusal, Success } from '../../types/outcome.js'
import { refuse } from '../../types/result-code.js'

const NOT_PRIMARY_SQL_STATE = 'CR001'
const KEY_REUSED_SQL_STATE = 'CR002'
const READ_ONLY_SQL_STATE = '25006'
/** A group that changes its primary is served again within about this time. */
const RETRY_AFTER_REFUSAL_MS = 200

// A read connection is read-only by its mode, so there 25006 is the caller's mistake.
function isNotPrimary (sqlState: string | null, mode: ConnectionMode): boolean {
  return sqlState === NOT_PRIMARY_SQL_STATE || (sqlState === READ_ONLY_SQL_STATE && mode === 'write')
}

function buildDatabaseRefusal (failure: OperationFailed, mode: ConnectionMode): Refusal {
  if (failure.sqlState === KEY_REUSED_SQL_STATE) return refuse('idempotencyKeyReused', 'not-run', failure.message)
  if (isNotPrimary(failure.sqlState, mode)) return refuse('databaseRefused', 'not-run', failure.message, RETRY_AFTER_REFUSAL_MS)
  return refuse('databaseError', 'not-run', failure.message)
}

/**
 * Maps the failure of an operation that was sent.
 * After a send, only the database's own answer proves that a statement has not run and can't run later.
 * A `begin` carries no statement of the caller, so it is never anything but not run.
 */
export function buildFailureRefusal (kind: DatabaseOperation['kind'], mode: ConnectionMode, failure: OperationFailed): Refusal {
  if (failure.phase === 'refused') return buildDatabaseRefusal(failure, mode)
  if (kind === 'begin') return refuse('noDatabase', 'not-run', failure.message, RETRY_AFTER_REFUSAL_MS)
  return refuse('outcomeUnknown', 'unknown', failure.message)
}

/** @returns the outcome of an operation whose connection was given up before its result arrived */
export function buildAbandonedRefusal (kind: DatabaseOperation['kind'], message: string): Refusal {
  const failure: OperationFailed = { kind: 'failed', phase: 'commit-sent', sqlState: null, message, connectionUsable: false }
  return buildFailureRefusal(kind, 'write', failure)
}

export function buildNotDurableRefusal (message: string): Refusal {
  return refuse('notDurable', 'unknown', message)
}

/** Where a result comes from. */
export interface ResultSource {
  database: DatabaseId | null
  role: 'primary' | 'replica' | null
  position: LogPosition | null
  transaction: TransactionId | null
  /** Default null. */
  ageMs?: number
}

export function buildSuccess (done: Pick<OperationDone, 'rows' | 'rowCount'>, source: ResultSource): Success {
  return { kind: 'success', rows: done.rows, rowCount: done.rowCount, ageMs: null, ...source }
}
