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

/** The transaction open on the connection. */
interface OpenTransaction {
  term: number
  idempotencyKey: string | null
}

interface RecordedAnswer {
  rows: Row[]
  rowCount: number
}

const noRows: RecordedAnswer = { rows: [], rowCount: 0 }

function buildDone (answer: RecordedAnswer, position: LogPosition | null, replayed: boolean): OperationDone {
  return { kind: 'done', rows: answer.rows, rowCount: answer.rowCount, position, replayed }
}

function buildFailed (phase: FailurePhase, outcome: FailedOutcome, connectionUsable: boolean): OperationFailed {
  const sqlState = outcome.kind === 'error' ? outcome.sqlState : null
  return { kind: 'failed', phase, sqlState, message: outcome.message, connectionUsable }
}

function buildUnknown (message: string): OperationFailed {
  return { kind: 'failed', phase: 'commit-sent', sqlState: null, message, connectionUsable: false }
}

/** @returns the position in the status row at the end of the results; null unless the row shows the database as primary of the term */
function readPrimaryPosition (term: number, results: readonly StatementResult[]): LogPosition | null {
  const status = readStatusRow(results.at(-1)?.rows[0])
  return status !== null && status.role === 'primary' && status.term === term ? status.position : null
}

/** Creates a function that runs operations on a connection, one at a time. */
export function createOperationRunner (client: PostgresClient): (operation: DatabaseOperation) => Promise<OperationResult> {
  let currentWorkspace: WorkspaceId | null = null
  let isWorkspaceSetInTransaction = false
  let openTransaction: OpenTransaction | null = null

  function buildWorkspaceSettings (workspace: WorkspaceId): BatchStatement[] {
    if (workspace === currentWorkspace) return []
    // Until the batch has succeeded, the setting of the connection is unknown, since a rollback reverts it.
    currentWorkspace = null
    return [databaseCalls.setWorkspace(workspace)]
  }

  async function rollback (): Promise<BatchOutcome> {
    if (isWorkspaceSetInTransaction) currentWorkspace = null
    openTransaction = null
    return await client.run([databaseCalls.rollback()])
  }

  /** Rolls the transaction back after an error of the database. Nothing of it remains, even if the connection is lost during the rollback. */
  async function rollBackAfterError (outcome: FailedOutcome): Promise<OperationFailed> {
    const ended = await rollback()
    return buildFailed('refused', outcome, ended.kind === 'completed')
  }

  async function read ({ workspace, statement, values }: Extract<DatabaseOperation, { kind: 'read' }>): Promise<OperationResult> {
    const outcome = await client.run([...buildWorkspaceSettings(workspace), { text: statement, values }])
    if (outcome.kind === 'error') {
      currentWorkspace = null
      return buildFailed('refused', outcome, true)
    }
    if (outcome.kind === 'lost') return buildFailed('before-commit', outcome, false)
    currentWorkspace = workspace
    return buildDone(outcome.results.at(-1) ?? noRows, null, false)
  }

  /** Answers a known idempotency key with its recorded answer and the current position, which is at or after the position of the recorded write. */
  async function replay (term: number, recorded: string): Promise<OperationResult> {
    if (isWorkspaceSetInTransaction) currentWorkspace = null
    const outcome = await client.run([databaseCalls.rollback(), databaseCalls.status()])
    if (outcome.kind !== 'completed') return buildUnknown(`the recorded answer could not be confirmed: ${outcome.message}`)
    const position = readPrimaryPosition(term, outcome.results)
    if (position === null) return buildUnknown(`the database is no longer primary of term ${term}`)
    return buildDone(JSON.parse(recorded) as RecordedAnswer, position, true)
  }

  /**
   * Begins a transaction and runs the statements in the same round trip.
   * @returns the results of the statements, or the result of the operation when it has ended: replayed, refused or lost
   */
  async function beginTransaction (operation: WriteOperation | BeginOperation, statements: readonly BatchStatement[]): Promise<{ results: readonly StatementResult[] } | { ended: OperationResult }> {
    const { workspace, term, idempotencyKey, requestDigest } = operation
    const settings = buildWorkspaceSettings(workspace)
    isWorkspaceSetInTransaction = settings.length > 0
    const outcome = await client.run([
      ...settings, databaseCalls.begin(), databaseCalls.beginRequest(workspace, term, idempotencyKey, requestDigest), ...statements
    ])
    if (outcome.kind === 'lost') return { ended: buildFailed('before-commit', outcome, false) }
    const results = outcome.results.slice(settings.length + 1)
    const recorded = results[0]?.rows[0]?.['answer']
    // With a recorded answer, the statements sent along have run a second time or failed; the rollback in `replay` undoes them either way.
    if (typeof recorded === 'string') return { ended: await replay(term, recorded) }
    if (outcome.kind === 'error') return { ended: await rollBackAfterError(outcome) }
    currentWorkspace = workspace
    openTransaction = { term, idempotencyKey }
    return { results: results.slice(1) }
  }

  async function commitTransaction ({ term, idempotencyKey }: OpenTransaction, answer: RecordedAnswer): Promise<OperationResult> {
    const record = idempotencyKey === null ? [] : [databaseCalls.finishRequest(idempotencyKey, JSON.stringify({ rows: answer.rows, rowCount: answer.rowCount }))]
    const outcome = await client.run([...record, databaseCalls.commit(), databaseCalls.status()])
    openTransaction = null
    if (outcome.kind === 'lost') return buildFailed(outcome.submitted ? 'commit-sent' : 'before-commit', outcome, false)
    const committed = outcome.results[record.length]
    if (committed === undefined && outcome.kind === 'error') return await rollBackAfterError(outcome)
    if (committed?.command === 'ROLLBACK') {
      if (isWorkspaceSetInTransaction) currentWorkspace = null
      return { kind: 'failed', phase: 'refused', sqlState: '25P02', message: 'the transaction was rolled back', connectionUsable: true }
    }
    const position = readPrimaryPosition(term, outcome.results)
    if (position === null) return buildUnknown(`the commit was answered but the database is no longer known to be primary of term ${term}`)
    return buildDone(answer, position, false)
  }

  async function write (operation: WriteOperation): Promise<OperationResult> {
    const begun = await beginTransaction(operation, [{ text: operation.statement, values: operation.values }])
    if ('ended' in begun) return begun.ended
    return await commitTransaction(operation, begun.results[0] ?? noRows)
  }

  async function begin (operation: BeginOperation): Promise<OperationResult> {
    const begun = await beginTransaction(operation, [])
    return 'ended' in begun ? begun.ended : buildDone(noRows, null, false)
  }

  async function statement ({ statement: text, values }: Extract<DatabaseOperation, { kind: 'statement' }>): Promise<OperationResult> {
    const outcome = await client.run([{ text, values }])
    if (outcome.kind === 'error') return buildFailed('refused', outcome, true)
    if (outcome.kind === 'lost') return buildFailed('before-commit', outcome, false)
    return buildDone(outcome.results[0] ?? noRows, null, false)
  }

  async function commit (): Promise<OperationResult> {
    if (openTransaction === null) return { kind: 'failed', phase: 'refused', sqlState: null, message: 'no transaction is open', connectionUsable: true }
    return await commitTransaction(openTransaction, noRows)
  }

  async function endByRollback (): Promise<OperationResult> {
    const outcome = await rollback()
    return outcome.kind === 'completed' ? buildDone(noRows, null, false) : buildFailed('before-commit', outcome, false)
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
