import type { DatabaseId, TransactionId } from './ids.js'
import type { LogPosition } from './log-position.js'
import type { ResultCode } from './result-code.js'

/** Whether a refused request ran. `not-run` means that it has not run and can't run later. */
export type RunState = 'not-run' | 'ran' | 'unknown'

/** A column value as the caller sees it. */
export type ColumnValue = string | number | boolean | null

export type Row = Record<string, ColumnValue>

export interface Success {
  kind: 'success'
  rows: Row[]
  rowCount: number
  /** Required position of the session from now on; null when the request revealed none. */
  position: LogPosition | null
  database: DatabaseId | null
  role: 'primary' | 'replica' | null
  /** Greatest age that the data of a read may have, in milliseconds; null when nothing was read outside a transaction. */
  ageMs: number | null
  /** Transaction that a `begin` opened; otherwise null. */
  transaction: TransactionId | null
}

export interface Refusal {
  kind: 'refusal'
  code: ResultCode
  outcome: RunState
  /** Plain text for the caller; contains no key. */
  message: string
  /** Time after which a retry may succeed, in milliseconds; null when it can't. */
  retryAfterMs: number | null
}

export type Outcome = Success | Refusal
