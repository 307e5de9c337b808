import type { DatabaseCore } from './database-core.js'
import type { StatementResult } from './session.js'
import { SqlError, sqlStates } from './sql-error.js'
import type { SystemFunction } from './statement.js'
import type { Transaction } from './transaction.js'
import type { Column } from './wire-messages.js'

const TEXT_OID = 25
const INT8_OID = 20
const VOID_OID = 2278
const MAX_PORT = 65_535

const statusColumns: Column[] = [
  { name: 'database', oid: TEXT_OID },
  { name: 'incarnation', oid: TEXT_OID },
  { name: 'role', oid: TEXT_OID },
  { name: 'term', oid: INT8_OID },
  { name: 'fenced_term', oid: INT8_OID },
  { name: 'position_term', oid: INT8_OID },
  { name: 'position_offset', oid: INT8_OID },
  { name: 'age_ms', oid: INT8_OID }
]

/** Call of a function of the schema `catkinrelay`. */
export interface SystemCall {
  core: DatabaseCore
  name: SystemFunction
  values: (string | null)[]
  /** Open transaction of the connection, or null. */
  transaction: Transaction | null
  /** @returns the workspace of the connection. @throws SqlError 42501 when it is not set */
  workspace: () => string
  /** Aborted when the connection ends. */
  signal: AbortSignal
}

/** @returns the columns of the function's result */
export function findSystemFunctionColumns (name: SystemFunction): Column[] {
  if (name === 'begin_request') return [{ name: 'answer', oid: TEXT_OID }]
  if (name === 'finish_request') return [{ name: 'finish_request', oid: VOID_OID }]
  return statusColumns
}

function buildStatusResult (core: DatabaseCore): StatementResult {
  const status = core.status()
  const row = [status.database, status.incarnation, status.role, status.term, status.fencedTerm, status.position.term, status.position.offset, status.ageMs]
  return { rows: [row.map(String)], tag: 'SELECT' }
}

function parseInteger (value: string | null | undefined): number {
  const parsed = Number(value)
  if (value === null || value === undefined || !Number.isSafeInteger(parsed)) throw new SqlError(sqlStates.invalidText, `invalid input syntax for type bigint: "${value ?? 'null'}"`)
  return parsed
}

function parseHostAndPort (value: string | null | undefined): string {
  const port = Number(/^.+:(\d+)$/.exec(value ?? '')?.[1])
  if (!(port > 0 && port <= MAX_PORT)) throw new SqlError(sqlStates.invalidText, `invalid address: "${value ?? 'null'}"`)
  return value as string
}

function requireTransaction ({ transaction, name }: SystemCall): Transaction {
  if (transaction === null) throw new SqlError(sqlStates.wrongState, `catkinrelay.${name} needs a transaction`)
  return transaction
}

function requirePrimaryOfTerm (core: DatabaseCore, term: number): void {
  const isPrimary = core.log.role() === 'primary' && core.log.term() === term && core.log.fencedTerm() <= term
  if (!isPrimary) throw new SqlError(sqlStates.notPrimaryOfTerm, `the database is not the primary of term ${term}`)
}

async function beginRequest (call: SystemCall): Promise<StatementResult> {
  const { core, values } = call
  const transaction = requireTransaction(call)
  const [workspace = null, term, idempotencyKey = null, digest] = values
  if (workspace !== call.workspace()) throw new SqlError(sqlStates.insufficientPrivilege, 'the request belongs to another workspace than the connection')
  requirePrimaryOfTerm(core, parseInteger(term))
  transaction.request = { workspace, idempotencyKey, digest: digest ?? '' }
  if (idempotencyKey === null) return { rows: [[null]], tag: 'SELECT' }
  // A second request with the same key waits here until the first one has either recorded its answer or rolled back.
  await core.locks.acquire(transaction, `${workspace}/requests/${idempotencyKey}`)
  requirePrimaryOfTerm(core, parseInteger(term))
  const recorded = core.log.data().answer(workspace, idempotencyKey)
  if (recorded !== null && recorded.digest !== digest) throw new SqlError(sqlStates.idempotencyKeyReused, 'the idempotency key was used with another request')
  return { rows: [[recorded?.answer ?? null]], tag: 'SELECT' }
}

function finishRequest (call: SystemCall): StatementResult {
  const transaction = requireTransaction(call)
  const [idempotencyKey, answer] = call.values
  const request = transaction.request
  if (request === null || request.idempotencyKey === null || request.idempotencyKey !== idempotencyKey) {
    throw new SqlError(sqlStates.wrongState, 'finish_request needs the idempotency key of begin_request in the same transaction')
  }
  transaction.changes.push({ kind: 'record', workspace: request.workspace, idempotencyKey: request.idempotencyKey, digest: request.digest, answer: answer ?? '' })
  return { rows: [['']], tag: 'SELECT' }
}

/** Runs a function of the schema `catkinrelay`. The call uses no statement slot. @throws SqlError */
export async function callSystemFunction (call: SystemCall): Promise<StatementResult> {
  const { core, values } = call
  switch (call.name) {
    case 'begin_request': return await beginRequest(call)
    case 'finish_request': return finishRequest(call)
    case 'wait_status':
      await core.waitForStatus({ term: parseInteger(values[0]), offset: parseInteger(values[1]) }, parseInteger(values[2]), call.signal)
      break
    case 'fence':
      core.log.fence(parseInteger(values[0]))
      break
    case 'promote':
      core.promote(parseInteger(values[0]))
      break
    case 'follow':
      await core.follow(parseInteger(values[0]), parseHostAndPort(values[1]))
      break
    case 'status':
  }
  return buildStatusResult(core)
}
