import type { DatabaseCore } from './database-core.js'
import { callSystemFunction, systemFunctionColumns } from './system-functions.js'
import { sleep } from './sleep.js'
import { SqlError, sqlStates } from './sql-error.js'
import type { Expression, ParsedStatement, Statement } from './statement.js'
import { runDataStatement, dataColumns, isDataStatement } from './data-statements.js'
import { createTransaction, type Transaction } from './transaction.js'
import type { Column } from './wire-messages.js'

const WORKSPACE_SETTING = 'catkinrelay.workspace'
const READ_ONLY_SETTING = 'default_transaction_read_only'
const TEXT_OID = 25
const VOID_OID = 2278
const MS_PER_SECOND = 1_000

export interface StatementResult {
  rows: (string | null)[][]
  /** Command tag without the row count of a select. */
  tag: string
}

/** State of one client connection above the wire protocol. */
export interface SqlSession {
  /** @throws SqlError */
  execute: (parsed: ParsedStatement, values: readonly (string | null)[]) => Promise<StatementResult>
  /** Aborts an open transaction; it takes nothing but its end any more. */
  fail: () => void
  transactionStatus: () => 'I' | 'T' | 'E'
  /** Rolls back and lets nothing run any more. */
  end: () => void
}

/** @returns columns that a statement answers with; null when it returns no rows */
export function columnsOf (statement: Statement): Column[] | null {
  switch (statement.kind) {
    case 'call': return systemFunctionColumns(statement.name)
    case 'set-config': return [{ name: 'set_config', oid: TEXT_OID }]
    case 'sleep': return [{ name: 'pg_sleep', oid: VOID_OID }]
    default: return isDataStatement(statement) ? dataColumns(statement) : null
  }
}

const isOn = (value: string | undefined): boolean => value !== undefined && ['on', 'true', 't', '1', 'yes'].includes(value.toLowerCase())
const done = (tag: string): StatementResult => ({ rows: [], tag })

/**
 * @param connection - number of the connection, for the history
 * @param initialSettings - settings of the startup message
 */
export function createSqlSession (core: DatabaseCore, connection: number, initialSettings: ReadonlyMap<string, string>): SqlSession {
  let settings = new Map(initialSettings)
  let transaction: Transaction | null = null
  let failed = false
  const ending = new AbortController()

  const setting = (name: string): string | undefined => transaction?.localSettings.get(name) ?? settings.get(name)

  function requireOpen (): void {
    if (ending.signal.aborted) throw new SqlError(sqlStates.shutdown, 'the connection has ended')
  }

  function workspace (): string {
    const name = setting(WORKSPACE_SETTING)
    if (name === undefined || name === '') throw new SqlError(sqlStates.insufficientPrivilege, `${WORKSPACE_SETTING} is not set`)
    return name
  }

  function open (readOnly: boolean): Transaction {
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
      if (ended.request !== null) core.log.requireWritable()
      if (ended.request !== null && core.log.term() !== ended.term) throw new SqlError(sqlStates.notPrimaryOfTerm, `the database is no longer primary of term ${ended.term}`)
      if (ended.changes.length === 0) return
      const entry = core.log.append(ended.term, ended.changes.slice())
      core.history?.record(ended.writes.map((write) => ({ ...write, term: entry.term, offset: entry.offset, connection })))
    } finally {
      core.locks.releaseAll(ended)
    }
  }

  function endTransaction (keep: boolean): StatementResult {
    const ended = transaction
    const wasFailed = failed
    transaction = null
    failed = false
    if (ended === null) return done(keep ? 'COMMIT' : 'ROLLBACK')
    if (keep && !wasFailed) {
      try {
        commit(ended)
      } catch (error) {
        settings = ended.savedSettings
        throw error
      }
      return done('COMMIT')
    }
    settings = ended.savedSettings
    discard(ended)
    return done('ROLLBACK')
  }

  async function inTransaction (work: (current: Transaction) => Promise<StatementResult>): Promise<StatementResult> {
    if (transaction !== null) return await work(transaction)
    const single = open(false)
    try {
      const result = await work(single)
      commit(single)
      return result
    } finally {
      core.locks.releaseAll(single)
    }
  }

  function change (name: string, value: string | null, local: boolean): void {
    if (local) transaction?.localSettings.set(name, value ?? '')
    else settings.set(name, value ?? '')
  }

  async function run ({ statement, text }: ParsedStatement, values: readonly (string | null)[]): Promise<StatementResult> {
    const valueOf = (expression: Expression): string | null => {
      if (expression.kind === 'literal') return expression.value
      const value = values[expression.index - 1]
      if (value === undefined) throw new SqlError(sqlStates.undefinedParameter, `there is no parameter $${expression.index}`)
      return value
    }
    if (isDataStatement(statement)) {
      return await inTransaction(async (current) => await runDataStatement({ core, statement, text, values, valueOf, workspace: workspace(), transaction: current, requireOpen }))
    }
    switch (statement.kind) {
      case 'empty': return done('')
      case 'begin':
        transaction ??= open(statement.readOnly)
        return done('BEGIN')
      case 'commit': return endTransaction(true)
      case 'rollback': return endTransaction(false)
      case 'set':
        change(statement.name, valueOf(statement.value), statement.local)
        return done('SET')
      case 'set-config': {
        const value = valueOf(statement.value)
        change(String(valueOf(statement.name)), value, isOn(valueOf(statement.local) ?? undefined))
        return { rows: [[value ?? '']], tag: 'SELECT' }
      }
      case 'sleep': {
        const duration = Number(valueOf(statement.seconds)) * MS_PER_SECOND
        await core.slots.run(async () => await sleep(duration, ending.signal))
        return { rows: [['']], tag: 'SELECT' }
      }
      case 'call':
        return await callSystemFunction({ core, name: statement.name, values: statement.values.map(valueOf), transaction, workspace, signal: ending.signal })
    }
  }

  function fail (): void {
    if (transaction === null) return
    failed = true
    discard(transaction)
  }

  async function execute (parsed: ParsedStatement, values: readonly (string | null)[]): Promise<StatementResult> {
    requireOpen()
    const ends = parsed.statement.kind === 'commit' || parsed.statement.kind === 'rollback'
    if (failed && !ends) throw new SqlError(sqlStates.transactionAborted, 'current transaction is aborted, commands ignored until end of transaction block')
    try {
      const result = await run(parsed, values)
      requireOpen()
      return result
    } catch (error) {
      fail()
      throw error
    }
  }

  return {
    execute,
    fail,
    transactionStatus: () => {
      if (transaction === null) return 'I'
      return failed ? 'E' : 'T'
    },
    end: () => {
      ending.abort()
      if (transaction !== null) discard(transaction)
      failed = true
    }
  }
}
