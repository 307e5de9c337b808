/** A literal or a parameter `$n`; `index` is n, which counts from 1. */
export type Expression =
  | { kind: 'literal', value: string | null }
  | { kind: 'parameter', index: number }

/** Function of the schema `catkinrelay`. */
export type SystemFunction = 'status' | 'wait_status' | 'begin_request' | 'finish_request' | 'fence' | 'promote' | 'follow'

/** A statement that the stand-in can run. */
export type Statement =
  | { kind: 'empty' }
  | { kind: 'select-value', key: Expression }
  | { kind: 'insert-value', key: Expression, value: Expression, replace: boolean }
  | { kind: 'add-to-value', key: Expression, amount: Expression }
  | { kind: 'delete-value', key: Expression }
  | { kind: 'append-entry', key: Expression, value: Expression }
  | { kind: 'select-entries', key: Expression }
  | { kind: 'count-entries', key: Expression }
  | { kind: 'begin', readOnly: boolean }
  | { kind: 'commit' }
  | { kind: 'rollback' }
  | { kind: 'set', name: string, value: Expression, local: boolean }
  | { kind: 'set-config', name: Expression, value: Expression, local: Expression }
  | { kind: 'sleep', seconds: Expression }
  | { kind: 'call', name: SystemFunction, values: Expression[] }

/** A parsed statement. */
export interface ParsedStatement {
  statement: Statement
  /** Text of the statement, for the history and for faults that match statements. */
  text: string
  /** Highest parameter number in the statement; 0 without parameters. */
  parameterCount: number
}
