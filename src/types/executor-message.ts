import type { DatabaseOperation, OperationResult } from './database-operation.js'
import type { Address, ConnectionId, DatabaseId, IncarnationId, RequestId } from './ids.js'
import type { Answer, Execute } from './peer-message.js'

/** Names the peer connection, or this instance itself, that a request came from. */
export type RequesterName = string

/** What the executor of a group takes. */
export type ExecutorMessage =
  | { kind: 'execute', from: RequesterName, request: Execute }
  | { kind: 'cancel', from: RequesterName, requestId: RequestId }
  /** The peer connection ended; its open transactions are rolled back. */
  | { kind: 'requester-lost', from: RequesterName }
  /** The connection answered a status call. */
  | { kind: 'connection-opened', connection: ConnectionId, incarnation: IncarnationId }
  | { kind: 'connection-failed', connection: ConnectionId, message: string }
  /** The connection ended without being asked to. */
  | { kind: 'connection-closed', connection: ConnectionId }
  | { kind: 'operation-result', connection: ConnectionId, result: OperationResult }

/** `read`: `default_transaction_read_only` is on. */
export type ConnectionMode = 'read' | 'write'

/** What the executor of a group asks of the adapters. */
export type ExecutorEffect =
  | { kind: 'answer', to: RequesterName, answer: Answer }
  | { kind: 'open-connection', connection: ConnectionId, database: DatabaseId, address: Address, mode: ConnectionMode }
  | { kind: 'run', connection: ConnectionId, operation: DatabaseOperation }
  /** After this effect no result of the connection is delivered any more. */
  | { kind: 'close-connection', connection: ConnectionId }
