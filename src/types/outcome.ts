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
  /** Position that the session must see from now on; null when nothing was learned. */
  position: LogPosition | null
  database: DatabaseId | null
  role: 'primary' | 'replica' | null
  /** How old the data of a read may be, in milliseconds; null when nothing was read outside a transaction. */
  ageMs: number | null
  /** Set by `begin`. */
  transaction: TransactionId | null
}

export interface Refusal {
  kind: 'refusal'
  code: ResultCode
  outcome: RunState
  /** Plain text for the caller; holds no key. */
  message: string
  /** When a repetition may succeed, in milliseconds; null when it can't. */
  retryAfterMs: number | null
}

export type Outcome = Success | Refusal
