import type { Milliseconds } from './clock.js'
import type { GroupId, KeyId, RequestId, TransactionId, WorkspaceId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { ColumnValue, Outcome } from './outcome.js'

/** An operation of an HTTP caller, as a connection holder executes it. */
export type Operation =
  | { kind: 'statement', statement: string, values: ColumnValue[], access: 'read' | 'write' }
  | { kind: 'begin' }
  | { kind: 'transaction-statement', transaction: TransactionId, statement: string, values: ColumnValue[] }
  | { kind: 'commit', transaction: TransactionId }
  | { kind: 'rollback', transaction: TransactionId }

/** One request. The instance that accepted it sends it to a connection holder of the group. */
export interface Execute {
  version: 1
  kind: 'execute'
  requestId: RequestId
  workspace: WorkspaceId
  /** Key that authorized the request; null on a route open to all. */
  keyId: KeyId | null
  group: GroupId
  operation: Operation
  /** Required position of the session; null when it has none. */
  required: LogPosition | null
  /** The caller named a session but sent no token. Only the primary is sure to hold the writes of that session. */
  primaryOnly: boolean
  /** Greatest acceptable age of replica data in milliseconds; null: the caller stated no bound. */
  oldestAgeMs: number | null
  /** Time left for the request when it was sent, in milliseconds. */
  remainingMs: number
  /** Time on the holder's clock from which the sender may have stopped waiting. Set when the request is sent over a channel whose holder's clock is known. */
  startBy?: Milliseconds
  idempotencyKey: string | null
  nonIdempotent: boolean
}

export interface Answer {
  version: 1
  kind: 'answer'
  requestId: RequestId
  outcome: Outcome
  /** Reading of the holder's clock. Set when the answer is sent over a channel. */
  now?: Milliseconds
}

/** Cancels a request whose caller disconnected or whose deadline passed. */
export interface Cancel {
  version: 1
  kind: 'cancel'
  requestId: RequestId
}

export type PeerMessage = Execute | Answer | Cancel
