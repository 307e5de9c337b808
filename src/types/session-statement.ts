import type { LogPosition } from './log-position.js'
import type { ResultName } from './result-code.js'

export type StatementAccess = 'read' | 'write'

/** A statement of a connection-oriented session. */
export type SessionStatement =
  | { kind: 'begin', readOnly: boolean }
  | { kind: 'commit' }
  | { kind: 'rollback' }
  /** `text` reaches the database unchanged. */
  | { kind: 'run', access: StatementAccess, text: string }
  | { kind: 'set', name: string, value: string }
  /** `shape`: definition of the prepared statement, as the caller sent it. */
  | { kind: 'prepare', name: string, access: StatementAccess, shape: string }
  | { kind: 'execute', name: string, values: string }
  | { kind: 'deallocate', name: string }

/** State of a session. `failed`: its transaction has failed, and the caller can only end it. */
export type SessionState = 'idle' | 'transaction' | 'failed'

/**
 * What a refused statement promises.
 * - `nothing-kept`: nothing of the operation remains; the caller may retry it as a whole
 * - `ran`: the database ran the statement and reported an error
 * - `unknown`: the statement may have run or may still run
 * - `rejected`: the statement itself is wrong; a retry does not help
 */
export type RefusalPromise = 'nothing-kept' | 'ran' | 'unknown' | 'rejected'

export interface SessionRefusal {
  result: ResultName
  promise: RefusalPromise
  message: string
  /** Time after which a retry may succeed, in milliseconds; null when it can't. */
  retryAfterMs: number | null
}

/** Answer to one statement of a session. */
export interface SessionAnswer {
  /** Rows and proof as the database sent them; `proof` is null when the system answered without a database. */
  outcome: { kind: 'done', rows: string[], proof: string | null } | { kind: 'refused', refusal: SessionRefusal }
  state: SessionState
  /** Position of the session's last commit; null when the session has none, or when it was at another group than the last operation. */
  position: LogPosition | null
  /** Whether the session ends with this answer. It accepts no further statement then. */
  ends: boolean
}
