import type { InstanceId, RequestId } from '../../types/ids.js'
import type { Outcome } from '../../types/outcome.js'
import type { Answer, Cancel, Execute } from '../../types/peer-message.js'

/** What the dispatcher takes. */
export type DispatcherMessage =
  /** A request that passed the key check and the rate limit; `remainingMs` is the time left for its caller. */
  | { kind: 'request', request: Execute }
  /** The caller is gone; nobody waits for the outcome. */
  | { kind: 'caller-lost', requestId: RequestId }
  | { kind: 'answer', from: InstanceId, answer: Answer }
  /** The connection to an instance ended. What was sent over it may have arrived. */
  | { kind: 'peer-lost', instance: InstanceId }

/** What the dispatcher asks of the adapters. */
export type DispatcherEffect =
  /** `to` may be this instance itself. The request id is that of one attempt. */
  | { kind: 'send', to: InstanceId, message: Execute | Cancel }
  | { kind: 'outcome', requestId: RequestId, outcome: Outcome }
