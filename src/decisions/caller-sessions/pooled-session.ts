import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { ConnectionLoss, DatabaseReply, DatabaseRequest, DatabaseSession } from '../../types/database-session.js'
import type { DatabaseId, InstanceId, WorkspaceId } from '../../types/ids.js'
import type { SessionStatement } from '../../types/session-statement.js'
import type { ValuesView } from './session-values.js'
import type { StatementLoss, StatementRun } from './statement-runner.js'

/** A connection for one statement or transaction, held here or borrowed from another instance. */
export interface PooledSession {
  readonly database: DatabaseId
  readonly workspace: WorkspaceId
  /** Whether nothing ran on it yet; a new one can't have gone silent unnoticed. */
  isFresh: boolean
  ended: boolean
  /** @returns the instance that holds the connection; null: this one, or none was found */
  heldBy: () => InstanceId | null
  /** Runs a statement after setting what the caller's session needs there. */
  run: (run: StatementRun) => Promise<Result<DatabaseReply, StatementLoss>>
  /** Ends the connection; the database rolls an open transaction back. */
  close: () => void
}

/** Wraps a connection that was just opened. */
export function createOwnSession (session: DatabaseSession, database: DatabaseId, workspace: WorkspaceId): PooledSession {
  /** Caller session whose values are set, and their version; null: none are. */
  let valuesSet: { owner: string, version: number } | null = null
  /** Names prepared on the connection, by what they run. */
  const prepared = new Map<string, string>()
  let preparedCount = 0

  async function run (run: StatementRun): Promise<Result<DatabaseReply, ConnectionLoss>> {
    const set = await setValues(run.values)
    if (set.isErr()) return err(set.error)
    if (run.statement.kind !== 'execute') return await session.run({ id: run.id, statement: run.statement, after: run.after })
    return await execute(run, run.statement)
  }

  /** Brings the values on the connection to those of the caller's session. A statement must not run before they are confirmed. */
  async function setValues (values: ValuesView): Promise<Result<void, ConnectionLoss>> {
    const version = values.version()
    const isSame = valuesSet === null ? version === 0 : valuesSet.owner === values.owner && valuesSet.version === version
    if (isSame) return ok(undefined)
    const isOwn = valuesSet?.owner === values.owner
    const requests: DatabaseRequest[] = []
    if (valuesSet !== null && !isOwn) {
      requests.push({ id: null, statement: { kind: 'reset' }, after: null })
      prepared.clear()
    }
    for (const { name, value } of values.since(isOwn ? valuesSet?.version ?? 0 : 0)) requests.push({ id: null, statement: { kind: 'set', name, value }, after: null })
    valuesSet = null
    const replies = await Promise.all(requests.map((request) => session.run(request)))
    for (const reply of replies) {
      if (reply.isErr()) return err(reply.error)
      if (reply.value.outcome.kind === 'error') return err({ kind: 'lost', message: `the database refused a session value: ${reply.value.outcome.message}` })
    }
    valuesSet = version === 0 ? null : { owner: values.owner, version }
    return ok(undefined)
  }

  /** Prepared statements are named by what they run, so that all sessions on the connection share them. */
  async function execute (run: StatementRun, statement: Extract<SessionStatement, { kind: 'execute' }>): Promise<Result<DatabaseReply, ConnectionLoss>> {
    const definition = run.values.prepared.get(statement.name)
    if (definition === undefined) throw new Error(`the session prepared no statement ${statement.name}`)
    const key = `${definition.access} ${definition.shape}`
    const known = prepared.get(key)
    const name = known ?? `p${++preparedCount}`
    const request: DatabaseRequest = { id: run.id, statement: { ...statement, name }, after: run.after }
    if (known !== undefined) return await session.run(request)
    prepared.set(key, name)
    // The database takes requests in order; if it can't prepare the statement, executing it fails without a run.
    const preparing = session.run({ id: null, statement: { kind: 'prepare', name, ...definition }, after: null })
    const executed = session.run(request)
    const answer = await preparing
    if (answer.isOk() && answer.value.outcome.kind === 'error') prepared.delete(key)
    return await executed
  }

  return { database, workspace, isFresh: true, ended: false, heldBy: () => null, run, close: session.close }
}
