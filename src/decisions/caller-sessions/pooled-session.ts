import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Clock } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { ConnectionLoss, DatabaseReply, DatabaseRequest, DatabaseSession } from '../../types/database-session.js'
import type { DatabaseId, InstanceId, WorkspaceId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionState, SessionStatement } from '../../types/session-statement.js'
import { digestKey } from '../../utils/digest-key.js'
import type { ValuesView } from './session-values.js'
import type { StatementLoss, StatementRequest } from './statement-runner.js'

/** A connection to a database, held by this instance or borrowed from a connection holder. It runs one statement or transaction at a time. */
export interface PooledSession {
  readonly database: DatabaseId
  readonly workspace: WorkspaceId
  /** Whether no statement has run on it yet. An unused connection is too new to have become silent unnoticed. */
  isUnused: boolean
  /** Whether the connection has ended and can't be used again. */
  ended: boolean
  /** Part of the time for its acquisition that was a wait for a slot, in milliseconds. Default 0. */
  readonly slotWaitMs?: number
  /** @returns the instance that holds the connection; null when this instance holds it or no connection holder was found */
  heldBy: () => InstanceId | null
  /** Applies the values of the caller's session to the connection, then runs the statement. */
  run: (run: StatementRequest) => Promise<Result<DatabaseReply, StatementLoss>>
  /** Ends the connection; the database rolls back an open transaction. */
  close: () => void
}

/** Wraps a connection that this instance has just opened. */
export function createOwnSession (session: DatabaseSession, database: DatabaseId, workspace: WorkspaceId, clock: Clock): PooledSession {
  /** Caller session whose values the connection has, and their version; null when it has none. */
  let appliedValues: { owner: string, version: number } | null = null
  /** Names of the statements prepared on the connection, by the digest of their definition. */
  const prepared = new Map<string, string>()
  let lastPreparedNumber = 0
  let state: SessionState = 'idle'

  async function run (request: StatementRequest): Promise<Result<DatabaseReply, ConnectionLoss>> {
    const sendBy = request.sendBy ?? addTime(clock.now(), request.limitMs)
    const applied = await applyValues(request.values)
    if (applied.isErr()) return err(applied.error)
    const isTooLate = (): boolean => clock.now() >= sendBy || request.isCancelled?.() === true
    // Nothing may wait between these checks and the writes to the database.
    if (isTooLate()) return ok(buildUnsentReply())
    if (request.begin === undefined) return await send(request, request.after)
    const begun = recordState(await session.run({ id: null, statement: { kind: 'begin', readOnly: request.begin.readOnly }, after: request.after }))
    if (begun.isErr() || begun.value.outcome.kind === 'error') return begun
    const result = isTooLate() ? ok(buildUnsentReply()) : await send(request, null)
    return result.map((reply): DatabaseReply => ({ ...reply, hasBegun: true }))
  }

  async function send (request: StatementRequest, after: LogPosition | null): Promise<Result<DatabaseReply, ConnectionLoss>> {
    const { id, statement } = request
    return recordState(statement.kind === 'execute' ? await executePrepared(request, statement, after) : await session.run({ id, statement, after }))
  }

  function recordState (result: Result<DatabaseReply, ConnectionLoss>): Result<DatabaseReply, ConnectionLoss> {
    if (result.isOk()) state = result.value.state
    return result
  }

  function buildUnsentReply (): DatabaseReply {
    return { rows: [], outcome: { kind: 'error', error: 'not-sent', message: 'the statement was not sent, since its time limit had passed or its caller was answered' }, state, position: null }
  }

  /** Makes the values of the connection equal to those of the caller's session. No statement may run before the database has confirmed them. */
  async function applyValues (values: ValuesView): Promise<Result<void, ConnectionLoss>> {
    // Read before the wait for the replies, during which the session may change its values.
    const { owner } = values
    const version = values.version()
    const isUpToDate = appliedValues === null ? version === 0 : appliedValues.owner === owner && appliedValues.version === version
    if (isUpToDate) return ok(undefined)
    const isSameSession = appliedValues?.owner === owner
    const requests: DatabaseRequest[] = []
    if (appliedValues !== null && !isSameSession) {
      requests.push({ id: null, statement: { kind: 'reset' }, after: null })
      prepared.clear()
    }
    for (const { name, value } of values.since(isSameSession ? appliedValues?.version ?? 0 : 0)) requests.push({ id: null, statement: { kind: 'set', name, value }, after: null })
    appliedValues = null
    const replies = await Promise.all(requests.map((request) => session.run(request)))
    for (const reply of replies) {
      if (reply.isErr()) return err(reply.error)
      if (reply.value.outcome.kind === 'error') return err({ kind: 'lost', message: `the database refused a session value: ${reply.value.outcome.message}` })
    }
    appliedValues = version === 0 ? null : { owner, version }
    return ok(undefined)
  }

  /** Executes a prepared statement and prepares it first where needed. All sessions on the connection share the statement of a definition. */
  async function executePrepared (statementRequest: StatementRequest, statement: Extract<SessionStatement, { kind: 'execute' }>, after: LogPosition | null): Promise<Result<DatabaseReply, ConnectionLoss>> {
    const definition = statementRequest.values.prepared.get(statement.name)
    if (definition === undefined) throw new Error(`the session has no prepared statement ${statement.name}`)
    // A digest, since the connection keeps its statements for as long as it lives.
    const key = digestKey(`${definition.access} ${definition.shape}`)
    const existingName = prepared.get(key)
    const name = existingName ?? `p${++lastPreparedNumber}`
    const request: DatabaseRequest = { id: statementRequest.id, statement: { ...statement, name }, after }
    if (existingName !== undefined) return await session.run(request)
    prepared.set(key, name)
    // The database handles requests in order. If it can't prepare the statement, the execute request fails without running anything.
    const preparing = session.run({ id: null, statement: { kind: 'prepare', name, ...definition }, after: null })
    const executed = session.run(request)
    const answer = await preparing
    if (answer.isOk() && answer.value.outcome.kind === 'error') prepared.delete(key)
    return await executed
  }

  return { database, workspace, isUnused: true, ended: false, heldBy: () => null, run, close: session.close }
}
