import type { ColumnValue, Outcome } from './outcome.js'
import type { Operation } from './peer-message.js'
import type { SessionToken } from './session-token.js'

/** What a caller requests: an operation, or a route that the manifest declares. */
export type CallerOperation = Operation | { kind: 'route', name: string, values: ColumnValue[] }

/** One HTTP request of a caller. */
export interface CallerRequest {
  /** Bearer key; null when the request carries none. */
  key: string | null
  operation: CallerOperation
  /** Session token from an earlier answer. */
  sessionToken: string | null
  /** Name of the session, for callers that keep no token. */
  sessionId: string | null
  idempotencyKey: string | null
  nonIdempotent: boolean
  /** Greatest acceptable age of replica data in milliseconds; null: the caller stated no bound. */
  oldestAgeMs: number | null
  /** Time for the whole request in milliseconds; null: the default from the settings. */
  deadlineMs: number | null
}

export interface CallerAnswer {
  outcome: Outcome
  /** Positions that the session has to see after this request; null when the request adds none. */
  session: SessionToken | null
}

/** Serves one request. The signal aborts when the caller disconnects. */
export type ServeCaller = (request: CallerRequest, signal: AbortSignal) => Promise<CallerAnswer>
