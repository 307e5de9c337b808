import type { DatabaseCore } from './database-core.js'
import type { StatementResult } from './session.js'
import { sleep } from './sleep.js'
import { SqlError, sqlStates } from './sql-error.js'
import type { Expression, Statement } from './statement.js'
import { findVisibleEntries, findVisibleValue, type Transaction } from './transaction.js'
import type { Change } from './workspace-data.js'
import type { Column } from './wire-messages.js'

const TEXT_OID = 25
const INT8_OID = 20

const dataKinds = ['select-value', 'insert-value', 'add-to-value', 'delete-value', 'append-entry', 'select-entries', 'count-entries'] as const
type DataKind = typeof dataKinds[number]
export type DataStatement = Extract<Statement, { kind: DataKind }>

const readKinds: readonly string[] = ['select-value', 'select-entries', 'count-entries']

/** A data statement with its parameters, its transaction and the database that runs it. */
export interface DataStatementContext {
  core: DatabaseCore
  statement: DataStatement
  text: string
  values: readonly (string | null)[]
  /** @returns the value of a literal or bound parameter. @throws SqlError 42P02 for a parameter without a value */
  evaluate: (expression: Expression) => string | null
  workspace: string
  transaction: Transaction
  /** @throws SqlError when the connection has ended */
  requireOpen: () => void
}

export function isDataStatement (statement: Statement): statement is DataStatement {
  return (dataKinds as readonly string[]).includes(statement.kind)
}

/** @returns the columns of a statement's result, or null for a write */
export function findDataColumns (statement: DataStatement): Column[] | null {
  if (statement.kind === 'count-entries') return [{ name: 'count', oid: INT8_OID }]
  return readKinds.includes(statement.kind) ? [{ name: 'value', oid: TEXT_OID }] : null
}

function requireWritable ({ core, transaction }: DataStatementContext): void {
  core.log.requireWritable()
  if (transaction.readOnly) throw new SqlError(sqlStates.readOnlyTransaction, 'cannot write in a read-only transaction')
}

function addNumbers (value: string, amount: string): string {
  const total = Number(value) + Number(amount)
  if (!Number.isFinite(total)) throw new SqlError(sqlStates.invalidText, `invalid input for numeric addition: "${value}" + "${amount}"`)
  return String(total)
}

function runRead (context: DataStatementContext, key: string): StatementResult {
  const { core, statement, transaction, workspace } = context
  const data = core.log.data()
  if (statement.kind === 'select-value') {
    const value = findVisibleValue(data, transaction, workspace, key)
    return { rows: value === null ? [] : [[value]], tag: 'SELECT' }
  }
  const entries = findVisibleEntries(data, transaction, workspace, key)
  if (statement.kind === 'count-entries') return { rows: [[String(entries.length)]], tag: 'SELECT' }
  return { rows: entries.map((value) => [value]), tag: 'SELECT' }
}

/** @returns the change that the statement makes, or null when it affects no row, and the command tag */
function buildChange ({ core, statement, transaction, workspace, evaluate }: DataStatementContext, key: string): { change: Change | null, tag: string } {
  const current = findVisibleValue(core.log.data(), transaction, workspace, key)
  switch (statement.kind) {
    case 'insert-value':
      if (current !== null && !statement.replace) throw new SqlError(sqlStates.uniqueViolation, `duplicate key value violates unique constraint: (key)=(${key}) already exists`)
      return { change: { kind: 'set', workspace, key, value: evaluate(statement.value) ?? '' }, tag: 'INSERT 0 1' }
    case 'append-entry':
      return { change: { kind: 'append', workspace, key, value: evaluate(statement.value) ?? '' }, tag: 'INSERT 0 1' }
    case 'add-to-value':
      if (current === null) return { change: null, tag: 'UPDATE 0' }
      return { change: { kind: 'set', workspace, key, value: addNumbers(current, evaluate(statement.amount) ?? '') }, tag: 'UPDATE 1' }
    case 'delete-value':
      if (current === null) return { change: null, tag: 'DELETE 0' }
      return { change: { kind: 'delete', workspace, key }, tag: 'DELETE 1' }
    default:
      throw new SqlError(sqlStates.internal, `${statement.kind} is not a write`)
  }
}

function runWrite (context: DataStatementContext, key: string): StatementResult {
  const { change, tag } = buildChange(context, key)
  if (change !== null) {
    context.transaction.changes.push(change)
    context.transaction.writes.push({ workspace: context.workspace, statement: context.text, values: context.values })
  }
  return { rows: [], tag }
}

/**
 * Runs a statement on the tables `kv` or `entries` in a slot. A write locks its key first and adds its change to the transaction.
 * @throws SqlError
 */
export async function runDataStatement (context: DataStatementContext): Promise<StatementResult> {
  const { core, statement, transaction, workspace, evaluate, requireOpen } = context
  const key = evaluate(statement.key) ?? ''
  const isRead = readKinds.includes(statement.kind)
  if (!isRead) {
    requireWritable(context)
    const table = statement.kind === 'append-entry' ? 'entries' : 'kv'
    // A transaction waits for the lock without a slot. Otherwise waiting transactions could fill all slots and block the lock's owner.
    await core.locks.acquire(transaction, `${workspace}/${table}/${key}`)
  }
  return await core.slots.run(async () => {
    await sleep(core.options.statementCostMs)
    requireOpen()
    if (isRead) return runRead(context, key)
    requireWritable(context)
    return runWrite(context, key)
  })
}
