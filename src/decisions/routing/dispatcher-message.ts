import type { InstanceId, RequestId } from '../../types/ids.js'
import type { Outcome } from '../../types/outcome.js'
import type { Answer, Cancel, Execute } from '../../types/peer-message.js'

/** Messages that the request dispatcher handles. */
export type DispatcherMessage =
  /** A request that passed the key check and the rate limit. Its `remainingMs` is the time until its caller's deadline. */
  | { kind: 'request', request: Execute }
  /** The caller disconnected and no longer waits for the outcome. */
  | { kind: 'caller-lost', requestId: RequestId }
  | { kind: 'answer', from: InstanceId, answer: Answer }
  /** The connection to an instance ended. Messages sent over it may still have arrived. */
  | { kind: 'peer-lost', instance: InstanceId }

/** Effects of the request dispatcher, which the adapters carry out. */
export type DispatcherEffect =
  /** `to` may be this instance itself. The request id in the message is that of one attempt, not the caller's. */
  | { kind: 'send', to: InstanceId, message: Execute | Cancel }
  /** The one outcome of a request. */
  | { kind: 'outcome', requestId: RequestId, outcome: Outcome }
