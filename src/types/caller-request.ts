import type { ColumnValue, Outcome } from './outcome.js'
import type { GroupId } from './ids.js'
import type { Operation } from './peer-message.js'

/** What a caller asks for: an operation, or a route that the manifest declares. */
export type CallerOperation = Operation | { kind: 'route', name: string, values: ColumnValue[] }

/** One request as it came over HTTP. */
export interface CallerRequest {
  /** Bearer key; null when the request carries none. */
  key: string | null
  operation: CallerOperation
  /** Token of an earlier answer. */
  sessionToken: string | null
  /** Name of a session whose caller keeps no token. */
  sessionId: string | null
  idempotencyKey: string | null
  nonIdempotent: boolean
  /** Oldest acceptable age of replica data in milliseconds. */
  oldestAgeMs: number | null
  /** Time for the whole request in milliseconds; null: the default of the settings. */
  deadlineMs: number | null
}

export interface CallerAnswer {
  outcome: Outcome
  /** Group that the position of a success belongs to. */
  group: GroupId | null
}

/** Serves one request. The signal aborts when the caller is gone. */
export type ServeCaller = (request: CallerRequest, signal: AbortSignal) => Promise<CallerAnswer>
