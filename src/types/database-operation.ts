import type { WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { ColumnValue, Row } from './outcome.js'

/** What a holder asks of one connection. One at a time; the adapter may need several round trips. */
export type DatabaseOperation =
  | { kind: 'read', workspace: WorkspaceId, statement: string, values: ColumnValue[] }
  | { kind: 'write', workspace: WorkspaceId, term: number, statement: string, values: ColumnValue[], idempotencyKey: string | null, requestDigest: string }
  | { kind: 'begin', workspace: WorkspaceId, term: number, idempotencyKey: string | null, requestDigest: string }
  | { kind: 'statement', statement: string, values: ColumnValue[] }
  | { kind: 'commit' }
  | { kind: 'rollback' }

/**
 * How far a failed operation came.
 * - `refused`: the database answered with an error and nothing of the operation remains
 * - `before-commit`: the connection was lost before a commit was sent; nothing can remain
 * - `commit-sent`: a commit was sent and not answered; the outcome is unknown
 */
export type FailurePhase = 'refused' | 'before-commit' | 'commit-sent'

export interface OperationDone {
  kind: 'done'
  rows: Row[]
  rowCount: number
  /** Position after a write or commit; null for reads and statements inside a transaction. */
  position: LogPosition | null
  /** The idempotency key was known: rows and position are those recorded. */
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
