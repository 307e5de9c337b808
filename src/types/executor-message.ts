import type { DatabaseOperation, OperationResult } from './database-operation.js'
import type { Address, ConnectionId, DatabaseId, IncarnationId, RequestId } from './ids.js'
import type { Answer, Execute } from './peer-message.js'

/** Name of the peer connection that a request came from, or of this instance for its own requests. */
export type RequesterName = string

/** Message to the executor of a group. */
export type ExecutorMessage =
  | { kind: 'execute', from: RequesterName, request: Execute }
  | { kind: 'cancel', from: RequesterName, requestId: RequestId }
  /** The peer connection ended; the executor rolls its open transactions back. */
  | { kind: 'requester-lost', from: RequesterName }
  /** The database answered a status call on the new connection. `incarnation` is from that status. */
  | { kind: 'connection-opened', connection: ConnectionId, incarnation: IncarnationId }
  | { kind: 'connection-failed', connection: ConnectionId, message: string }
  /** The connection ended without a `close-connection` effect. */
  | { kind: 'connection-closed', connection: ConnectionId }
  | { kind: 'operation-result', connection: ConnectionId, result: OperationResult }

/** `read`: `default_transaction_read_only` is on. */
export type ConnectionMode = 'read' | 'write'

/** Effect that the adapters carry out for the executor of a group. */
export type ExecutorEffect =
  | { kind: 'answer', to: RequesterName, answer: Answer }
  | { kind: 'open-connection', connection: ConnectionId, database: DatabaseId, address: Address, mode: ConnectionMode }
  | { kind: 'run', connection: ConnectionId, operation: DatabaseOperation }
  /** After this effect the adapters deliver no result of the connection. */
  | { kind: 'close-connection', connection: ConnectionId }
