import type { WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { ColumnValue, Row } from './outcome.js'

/** An operation on one connection, which runs one at a time. The adapter may need several round trips for it. */
export type DatabaseOperation =
  | { kind: 'read', workspace: WorkspaceId, statement: string, values: ColumnValue[] }
  | { kind: 'write', workspace: WorkspaceId, term: number, statement: string, values: ColumnValue[], idempotencyKey: string | null, requestDigest: string }
  | { kind: 'begin', workspace: WorkspaceId, term: number, idempotencyKey: string | null, requestDigest: string }
  | { kind: 'statement', statement: string, values: ColumnValue[] }
  | { kind: 'commit' }
  | { kind: 'rollback' }

/**
 * How far an operation had come when it failed.
 * - `refused`: the database answered with an error and nothing of the operation remains
 * - `before-commit`: the connection was lost before a commit was sent; nothing can remain
 * - `commit-sent`: a commit was sent, but no answer arrived; the outcome is unknown
 */
export type FailurePhase = 'refused' | 'before-commit' | 'commit-sent'

export interface OperationDone {
  kind: 'done'
  rows: Row[]
  rowCount: number
  /** Position after a write or commit; null for reads and statements inside a transaction. */
  position: LogPosition | null
  /** The database had the idempotency key on record: rows and position are the recorded ones. */
  replayed: boolean
}

export interface OperationFailed {
  kind: 'failed'
  phase: FailurePhase
  /** SQLSTATE of the database's error; null when the connection was lost. */
  sqlState: string | null
  message: string
  /** Whether the connection may be reused. */
  connectionUsable: boolean
}

export type OperationResult = OperationDone | OperationFailed
