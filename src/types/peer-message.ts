import type { GroupId, KeyId, RequestId, TransactionId, WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { ColumnValue, Outcome } from './outcome.js'

export type Operation =
  | { kind: 'statement', statement: string, values: ColumnValue[], access: 'read' | 'write' }
  | { kind: 'begin' }
  | { kind: 'transaction-statement', transaction: TransactionId, statement: string, values: ColumnValue[] }
  | { kind: 'commit', transaction: TransactionId }
  | { kind: 'rollback', transaction: TransactionId }

/** One request, sent by the instance that accepted it to a holder of its group. */
export interface Execute {
  version: 1
  kind: 'execute'
  requestId: RequestId
  workspace: WorkspaceId
  /** Key that authorized the request; null on a route open to all. */
  keyId: KeyId | null
  group: GroupId
  operation: Operation
  /** Position that the session must see; null when it has none. */
  required: LogPosition | null
  /** The caller named a session but carries no token: only the primary is safe. */
  primaryOnly: boolean
  /** Oldest acceptable age of replica data in milliseconds; null: no bound stated. */
  oldestAgeMs: number | null
  /** Time left for the request when it was sent, in milliseconds. */
  remainingMs: number
  idempotencyKey: string | null
  nonIdempotent: boolean
}

export interface Answer {
  version: 1
  kind: 'answer'
  requestId: RequestId
  outcome: Outcome
}

/** The caller is gone or the deadline has passed. */
export interface Cancel {
  version: 1
  kind: 'cancel'
  requestId: RequestId
}

export type PeerMessage = Execute | Answer | Cancel
