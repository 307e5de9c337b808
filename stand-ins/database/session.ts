import type { DatabaseCore } from './database-core.js'
import { callSystemFunction, findSystemFunctionColumns } from './system-functions.js'
import { sleep } from './sleep.js'
import { SqlError, sqlStates } from './sql-error.js'
import type { Expression, ParsedStatement, Statement } from './statement.js'
import { runDataStatement, findDataColumns, isDataStatement } from './data-statements.js'
import { createTransaction, type Transaction } from './transaction.js'
import type { Column } from './wire-messages.js'

const WORKSPACE_SETTING = 'catkinrelay.workspace'
const READ_ONLY_SETTING = 'default_transaction_read_only'
const TEXT_OID = 25
const VOID_OID = 2278
const MS_PER_SECOND = 1_000

/** Result of one statement; values are text. */
export interface StatementResult {
  rows: (string | null)[][]
  /** Command tag of the PostgreSQL protocol, without the row count of a select. */
  tag: string
}

/** Settings and transaction of one client connection, independent of the wire protocol. */
export interface SqlSession {
  /** @throws SqlError when the statement fails, the transaction was aborted or the connection has ended */
  execute: (parsed: ParsedStatement, values: readonly (string | null)[]) => Promise<StatementResult>
  /** Aborts an open transaction. The session then refuses every statement except commit and rollback. */
  abortTransaction: () => void
  /** @returns the transaction status of the PostgreSQL protocol: `I` outside a transaction, `T` inside one, `E` inside an aborted one */
  transactionStatus: () => 'I' | 'T' | 'E'
  /** Rolls back an open transaction and refuses all further statements. */
  end: () => void
}

/** @returns the columns of a statement's result, or null when the statement returns no rows */
export function findResultColumns (statement: Statement): Column[] | null {
  switch (statement.kind) {
    case 'call': return findSystemFunctionColumns(statement.name)
    case 'set-config': return [{ name: 'set_config', oid: TEXT_OID }]
    case 'sleep': return [{ name: 'pg_sleep', oid: VOID_OID }]
    default: return isDataStatement(statement) ? findDataColumns(statement) : null
  }
}

const isOn = (value: string | undefined): boolean => value !== undefined && ['on', 'true', 't', '1', 'yes'].includes(value.toLowerCase())
const buildEmptyResult = (tag: string): StatementResult => ({ rows: [], tag })

/**
 * Creates the session of a new connection.
 * @param connection - number of the connection in the history
 * @param initialSettings - settings from the startup message
 */
export function createSqlSession (core: DatabaseCore, connection: number, initialSettings: ReadonlyMap<string, string>): SqlSession {
  let settings = new Map(initialSettings)
  let transaction: Transaction | null = null
  let isAborted = false
  const endController = new AbortController()

  const findSetting = (name: string): string | undefined => transaction?.localSettings.get(name) ?? settings.get(name)

  function requireOpen (): void {
    if (endController.signal.aborted) throw new SqlError(sqlStates.shutdown, 'the connection has ended')
  }

  function workspace (): string {
    const name = findSetting(WORKSPACE_SETTING)
    if (name === undefined || name === '') throw new SqlError(sqlStates.insufficientPrivilege, `${WORKSPACE_SETTING} is not set`)
    return name
  }

  function openTransaction (readOnly: boolean): Transaction {
    return createTransaction({
      term: core.log.term(),
      readOnly: readOnly || isOn(settings.get(READ_ONLY_SETTING)),
      savedSettings: new Map(settings)
    })
  }

  function discard (ended: Transaction): void {
    core.locks.releaseAll(ended)
    ended.changes.length = 0
    ended.writes.length = 0
  }

  function commit (ended: Transaction): void {
    try {
      // A request's transaction commits only in the term in which it began, even without changes. `append` checks this for changes.
      if (ended.request !== null) core.log.requireWritable()
      if (ended.request !== null && core.log.term() !== ended.term) throw new SqlError(sqlStates.notPrimaryOfTerm, `the database is no longer primary of term ${ended.term}`)
      if (ended.changes.length === 0) return
      const entry = core.log.append(ended.term, ended.changes.slice())
      core.history?.record(ended.writes.map((write) => ({ ...write, term: entry.term, offset: entry.offset, connection })))
    } finally {
      core.locks.releaseAll(ended)
    }
  }

  function endTransaction (shouldCommit: boolean): StatementResult {
    const ended = transaction
    const wasAborted = isAborted
    transaction = null
    isAborted = false
    if (ended === null) return buildEmptyResult(shouldCommit ? 'COMMIT' : 'ROLLBACK')
    if (shouldCommit && !wasAborted) {
      try {
        commit(ended)
      } catch (error) {
        settings = ended.savedSettings
        throw error
      }
      return buildEmptyResult('COMMIT')
    }
    settings = ended.savedSettings
    discard(ended)
    return buildEmptyResult('ROLLBACK')
  }

  async function runInTransaction (work: (current: Transaction) => Promise<StatementResult>): Promise<StatementResult> {
    if (transaction !== null) return await work(transaction)
    const statementTransaction = openTransaction(false)
    try {
      const result = await work(statementTransaction)
      commit(statementTransaction)
      return result
    } finally {
      core.locks.releaseAll(statementTransaction)
    }
  }

  function changeSetting (name: string, value: string | null, local: boolean): void {
    if (local) transaction?.localSettings.set(name, value ?? '')
    else settings.set(name, value ?? '')
  }

  async function run ({ statement, text }: ParsedStatement, values: readonly (string | null)[]): Promise<StatementResult> {
    const evaluate = (expression: Expression): string | null => {
      if (expression.kind === 'literal') return expression.value
      const value = values[expression.index - 1]
      if (value === undefined) throw new SqlError(sqlStates.undefinedParameter, `there is no parameter $${expression.index}`)
      return value
    }
    if (isDataStatement(statement)) {
      return await runInTransaction(async (current) => await runDataStatement({ core, statement, text, values, evaluate, workspace: workspace(), transaction: current, requireOpen }))
    }
    switch (statement.kind) {
      case 'empty': return buildEmptyResult('')
      case 'begin':
        transaction ??= openTransaction(statement.readOnly)
        return buildEmptyResult('BEGIN')
      case 'commit': return endTransaction(true)
      case 'rollback': return endTransaction(false)
      case 'set':
        changeSetting(statement.name, evaluate(statement.value), statement.local)
        return buildEmptyResult('SET')
      case 'set-config': {
        const value = evaluate(statement.value)
        changeSetting(String(evaluate(statement.name)), value, isOn(evaluate(statement.local) ?? undefined))
        return { rows: [[value ?? '']], tag: 'SELECT' }
      }
      case 'sleep': {
        const durationMs = Number(evaluate(statement.seconds)) * MS_PER_SECOND
        await core.slots.run(async () => await sleep(durationMs, endController.signal))
        return { rows: [['']], tag: 'SELECT' }
      }
      case 'call':
        return await callSystemFunction({ core, name: statement.name, values: statement.values.map(evaluate), transaction, workspace, signal: endController.signal })
    }
  }

  function abortTransaction (): void {
    if (transaction === null) return
    isAborted = true
    discard(transaction)
  }

  async function execute (parsed: ParsedStatement, values: readonly (string | null)[]): Promise<StatementResult> {
    requireOpen()
    const isTransactionEnd = parsed.statement.kind === 'commit' || parsed.statement.kind === 'rollback'
    if (isAborted && !isTransactionEnd) throw new SqlError(sqlStates.transactionAborted, 'current transaction is aborted, commands ignored until end of transaction block')
    try {
      const result = await run(parsed, values)
      requireOpen()
      return result
    } catch (error) {
      abortTransaction()
      throw error
    }
  }

  return {
    execute,
    abortTransaction,
    transactionStatus: () => {
      if (transaction === null) return 'I'
      return isAborted ? 'E' : 'T'
    },
    end: () => {
      endController.abort()
      if (transaction !== null) discard(transaction)
      isAborted = true
    }
  }
}
