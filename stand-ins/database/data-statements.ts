import type { DatabaseCore } from './database-core.js'
import type { StatementResult } from './session.js'
import { sleep } from './sleep.js'
import { SqlError, sqlStates } from './sql-error.js'
import type { Expression, Statement } from './statement.js'
import { visibleEntries, visibleValue, type Transaction } from './transaction.js'
import type { Change } from './workspace-data.js'
import type { Column } from './wire-messages.js'

const TEXT_OID = 25
const INT8_OID = 20

const dataKinds = ['select-value', 'insert-value', 'add-to-value', 'delete-value', 'append-entry', 'select-entries', 'count-entries'] as const
type DataKind = typeof dataKinds[number]
export type DataStatement = Extract<Statement, { kind: DataKind }>

const readKinds: readonly string[] = ['select-value', 'select-entries', 'count-entries']

/** A data statement with everything that it runs in. */
export interface DataStatementRun {
  core: DatabaseCore
  statement: DataStatement
  text: string
  values: readonly (string | null)[]
  /** @throws SqlError 42P02 for a parameter that was not bound */
  valueOf: (expression: Expression) => string | null
  workspace: string
  transaction: Transaction
  /** @throws SqlError when the connection has ended */
  requireOpen: () => void
}

export function isDataStatement (statement: Statement): statement is DataStatement {
  return (dataKinds as readonly string[]).includes(statement.kind)
}

export function dataColumns (statement: DataStatement): Column[] | null {
  if (statement.kind === 'count-entries') return [{ name: 'count', oid: INT8_OID }]
  return readKinds.includes(statement.kind) ? [{ name: 'value', oid: TEXT_OID }] : null
}

function requireWritable ({ core, transaction }: DataStatementRun): void {
  core.log.requireWritable()
  if (transaction.readOnly) throw new SqlError(sqlStates.readOnlyTransaction, 'cannot write in a read-only transaction')
}

function sum (value: string, amount: string): string {
  const total = Number(value) + Number(amount)
  if (!Number.isFinite(total)) throw new SqlError(sqlStates.invalidText, `invalid input for numeric addition: "${value}" + "${amount}"`)
  return String(total)
}

function read (run: DataStatementRun, key: string): StatementResult {
  const { core, statement, transaction, workspace } = run
  const data = core.log.data()
  if (statement.kind === 'select-value') {
    const value = visibleValue(data, transaction, workspace, key)
    return { rows: value === null ? [] : [[value]], tag: 'SELECT' }
  }
  const entries = visibleEntries(data, transaction, workspace, key)
  if (statement.kind === 'count-entries') return { rows: [[String(entries.length)]], tag: 'SELECT' }
  return { rows: entries.map((value) => [value]), tag: 'SELECT' }
}

/** @returns the change and its command tag; a null change affected no row */
function writeChange ({ core, statement, transaction, workspace, valueOf }: DataStatementRun, key: string): { change: Change | null, tag: string } {
  const present = visibleValue(core.log.data(), transaction, workspace, key)
  switch (statement.kind) {
    case 'insert-value':
      if (present !== null && !statement.replace) throw new SqlError(sqlStates.uniqueViolation, `duplicate key value violates unique constraint: (key)=(${key}) already exists`)
      return { change: { kind: 'set', workspace, key, value: valueOf(statement.value) ?? '' }, tag: 'INSERT 0 1' }
    case 'append-entry':
      return { change: { kind: 'append', workspace, key, value: valueOf(statement.value) ?? '' }, tag: 'INSERT 0 1' }
    case 'add-to-value':
      if (present === null) return { change: null, tag: 'UPDATE 0' }
      return { change: { kind: 'set', workspace, key, value: sum(present, valueOf(statement.amount) ?? '') }, tag: 'UPDATE 1' }
    case 'delete-value':
      if (present === null) return { change: null, tag: 'DELETE 0' }
      return { change: { kind: 'delete', workspace, key }, tag: 'DELETE 1' }
    default:
      throw new SqlError(sqlStates.internal, `${statement.kind} is not a write`)
  }
}

function write (run: DataStatementRun, key: string): StatementResult {
  const { change, tag } = writeChange(run, key)
  if (change !== null) {
    run.transaction.changes.push(change)
    run.transaction.writes.push({ workspace: run.workspace, statement: run.text, values: run.values })
  }
  return { rows: [], tag }
}

/** Runs a statement on `kv` or `entries` in a slot; writes lock their key first and go to the transaction. @throws SqlError */
export async function runDataStatement (run: DataStatementRun): Promise<StatementResult> {
  const { core, statement, transaction, workspace, valueOf, requireOpen } = run
  const key = valueOf(statement.key) ?? ''
  const reads = readKinds.includes(statement.kind)
  if (!reads) {
    requireWritable(run)
    const table = statement.kind === 'append-entry' ? 'entries' : 'kv'
    // The lock is awaited outside the slot, so that waiting transactions can't keep the lock's owner from running.
    await core.locks.acquire(transaction, `${workspace}/${table}/${key}`)
  }
  return await core.slots.run(async () => {
    await sleep(core.options.statementCostMs)
    requireOpen()
    if (reads) return read(run, key)
    requireWritable(run)
    return write(run, key)
  })
}
