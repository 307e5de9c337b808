import type { DatabaseOperation, FailurePhase, OperationDone, OperationFailed, OperationResult } from '../../types/database-operation.js'
import type { WorkspaceId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import type { Row } from '../../types/outcome.js'
import { databaseCalls, readStatusRow } from './database-calls.js'
import type { PostgresClient } from './postgres-client.js'
import type { BatchOutcome, BatchStatement, StatementResult } from './statement-batch.js'

type WriteOperation = Extract<DatabaseOperation, { kind: 'write' }>
type BeginOperation = Extract<DatabaseOperation, { kind: 'begin' }>
type FailedOutcome = Exclude<BatchOutcome, { kind: 'completed' }>

/** The transaction that is open on the connection. */
interface OpenTransaction {
  term: number
  idempotencyKey: string | null
}

interface RecordedAnswer {
  rows: Row[]
  rowCount: number
}

const noRows: RecordedAnswer = { rows: [], rowCount: 0 }

function done (answer: RecordedAnswer, position: LogPosition | null, replayed: boolean): OperationDone {
  return { kind: 'done', rows: answer.rows, rowCount: answer.rowCount, position, replayed }
}

function failed (phase: FailurePhase, outcome: FailedOutcome, connectionUsable: boolean): OperationFailed {
  const sqlState = outcome.kind === 'error' ? outcome.sqlState : null
  return { kind: 'failed', phase, sqlState, message: outcome.message, connectionUsable }
}

function unknown (message: string): OperationFailed {
  return { kind: 'failed', phase: 'commit-sent', sqlState: null, message, connectionUsable: false }
}

/** @returns the position that the status row at the end of the results proves, if the database is primary of the term */
function positionUnder (term: number, results: readonly StatementResult[]): LogPosition | null {
  const status = readStatusRow(results.at(-1)?.rows[0])
  return status !== null && status.role === 'primary' && status.term === term ? status.position : null
}

/** @returns a function that runs one operation at a time on a connection */
export function createOperationRunner (client: PostgresClient): (operation: DatabaseOperation) => Promise<OperationResult> {
  let knownWorkspace: WorkspaceId | null = null
  let workspaceSetInTransaction = false
  let transaction: OpenTransaction | null = null

  function setWorkspace (workspace: WorkspaceId): BatchStatement[] {
    if (workspace === knownWorkspace) return []
    // Until the batch has succeeded the setting is not known, as a rollback takes it back.
    knownWorkspace = null
    return [databaseCalls.setWorkspace(workspace)]
  }

  async function rollback (): Promise<BatchOutcome> {
    if (workspaceSetInTransaction) knownWorkspace = null
    transaction = null
    return await client.run([databaseCalls.rollback()])
  }

  /** Ends the transaction after an error of the database; nothing of it remains even if the connection is lost meanwhile. */
  async function refuse (outcome: FailedOutcome): Promise<OperationFailed> {
    const ended = await rollback()
    return failed('refused', outcome, ended.kind === 'completed')
  }

  async function read ({ workspace, statement, values }: Extract<DatabaseOperation, { kind: 'read' }>): Promise<OperationResult> {
    const outcome = await client.run([...setWorkspace(workspace), { text: statement, values }])
    if (outcome.kind === 'error') {
      knownWorkspace = null
      return failed('refused', outcome, true)
    }
    if (outcome.kind === 'lost') return failed('before-commit', outcome, false)
    knownWorkspace = workspace
    return done(outcome.results.at(-1) ?? noRows, null, false)
  }

  /** Returns the recorded answer with the current position, which is at or past that of the record. */
  async function replay (term: number, recorded: string): Promise<OperationResult> {
    if (workspaceSetInTransaction) knownWorkspace = null
    const outcome = await client.run([databaseCalls.rollback(), databaseCalls.status()])
    if (outcome.kind !== 'completed') return unknown(`the recorded answer could not be confirmed: ${outcome.message}`)
    const position = positionUnder(term, outcome.results)
    if (position === null) return unknown(`the database is no longer primary of term ${term}`)
    return done(JSON.parse(recorded) as RecordedAnswer, position, true)
  }

  /** Begins the transaction, with the statements in the same round trip. */
  async function beginWith (operation: WriteOperation | BeginOperation, statements: readonly BatchStatement[]): Promise<{ results: readonly StatementResult[] } | { ended: OperationResult }> {
    const { workspace, term, idempotencyKey, requestDigest } = operation
    const settings = setWorkspace(workspace)
    workspaceSetInTransaction = settings.length > 0
    const outcome = await client.run([
      ...settings, databaseCalls.begin(), databaseCalls.beginRequest(workspace, term, idempotencyKey, requestDigest), ...statements
    ])
    if (outcome.kind === 'lost') return { ended: failed('before-commit', outcome, false) }
    const results = outcome.results.slice(settings.length + 1)
    const recorded = results[0]?.rows[0]?.['answer']
    // The statement that went along with a replayed request may have failed; the rollback undoes it either way.
    if (typeof recorded === 'string') return { ended: await replay(term, recorded) }
    if (outcome.kind === 'error') return { ended: await refuse(outcome) }
    knownWorkspace = workspace
    transaction = { term, idempotencyKey }
    return { results: results.slice(1) }
  }

  async function commitWith ({ term, idempotencyKey }: OpenTransaction, answer: RecordedAnswer): Promise<OperationResult> {
    const record = idempotencyKey === null ? [] : [databaseCalls.finishRequest(idempotencyKey, JSON.stringify({ rows: answer.rows, rowCount: answer.rowCount }))]
    const outcome = await client.run([...record, databaseCalls.commit(), databaseCalls.status()])
    transaction = null
    if (outcome.kind === 'lost') return failed(outcome.submitted ? 'commit-sent' : 'before-commit', outcome, false)
    const committed = outcome.results[record.length]
    if (committed === undefined && outcome.kind === 'error') return await refuse(outcome)
    if (committed?.command === 'ROLLBACK') {
      if (workspaceSetInTransaction) knownWorkspace = null
      return { kind: 'failed', phase: 'refused', sqlState: '25P02', message: 'the transaction was rolled back', connectionUsable: true }
    }
    const position = positionUnder(term, outcome.results)
    if (position === null) return unknown(`the commit was answered but the database is no longer known to be primary of term ${term}`)
    return done(answer, position, false)
  }

  async function write (operation: WriteOperation): Promise<OperationResult> {
    const begun = await beginWith(operation, [{ text: operation.statement, values: operation.values }])
    if ('ended' in begun) return begun.ended
    return await commitWith(operation, begun.results[0] ?? noRows)
  }

  async function begin (operation: BeginOperation): Promise<OperationResult> {
    const begun = await beginWith(operation, [])
    return 'ended' in begun ? begun.ended : done(noRows, null, false)
  }

  async function statement ({ statement: text, values }: Extract<DatabaseOperation, { kind: 'statement' }>): Promise<OperationResult> {
    const outcome = await client.run([{ text, values }])
    if (outcome.kind === 'error') return failed('refused', outcome, true)
    if (outcome.kind === 'lost') return failed('before-commit', outcome, false)
    return done(outcome.results[0] ?? noRows, null, false)
  }

  async function commit (): Promise<OperationResult> {
    if (transaction === null) return { kind: 'failed', phase: 'refused', sqlState: null, message: 'no transaction is open', connectionUsable: true }
    return await commitWith(transaction, noRows)
  }

  async function endByRollback (): Promise<OperationResult> {
    const outcome = await rollback()
    return outcome.kind === 'completed' ? done(noRows, null, false) : failed('before-commit', outcome, false)
  }

  return async (operation) => {
    switch (operation.kind) {
      case 'read': return await read(operation)
      case 'write': return await write(operation)
      case 'begin': return await begin(operation)
      case 'statement': return await statement(operation)
      case 'commit': return await commit()
      case 'rollback': return await endByRollback()
    }
  }
}
