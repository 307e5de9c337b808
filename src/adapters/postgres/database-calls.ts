import type { DatabaseStatus } from '../../types/database-status.js'
import { databaseId, incarnationId, type Address, type WorkspaceId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import type { Row } from '../../types/outcome.js'
import type { BatchStatement } from './statement-batch.js'

/** Builders of the statements that the adapters send besides those of callers. */
export const databaseCalls = {
  setWorkspace: (workspace: WorkspaceId): BatchStatement => ({ text: "select set_config('catkinrelay.workspace', $1, false)", values: [workspace] }),
  setReadOnly: (): BatchStatement => ({ text: 'set default_transaction_read_only = on', values: [] }),
  begin: (): BatchStatement => ({ text: 'begin', values: [] }),
  commit: (): BatchStatement => ({ text: 'commit', values: [] }),
  rollback: (): BatchStatement => ({ text: 'rollback', values: [] }),
  beginRequest: (workspace: WorkspaceId, term: number, idempotencyKey: string | null, digest: string): BatchStatement =>
    ({ text: 'select answer from catkinrelay.begin_request($1, $2, $3, $4)', values: [workspace, term, idempotencyKey, digest] }),
  finishRequest: (idempotencyKey: string, answer: string): BatchStatement =>
    ({ text: 'select catkinrelay.finish_request($1, $2)', values: [idempotencyKey, answer] }),
  status: (): BatchStatement => ({ text: 'select * from catkinrelay.status()', values: [] }),
  waitStatus: (after: LogPosition, waitMs: number): BatchStatement =>
    ({ text: 'select * from catkinrelay.wait_status($1, $2, $3)', values: [after.term, after.offset, waitMs] }),
  fence: (term: number): BatchStatement => ({ text: 'select * from catkinrelay.fence($1)', values: [term] }),
  promote: (term: number): BatchStatement => ({ text: 'select * from catkinrelay.promote($1)', values: [term] }),
  follow: (term: number, primaryAddress: Address): BatchStatement =>
    ({ text: 'select * from catkinrelay.follow($1, $2)', values: [term, primaryAddress] })
}

function readInteger (row: Row, name: string): number {
  const value = Number(row[name] ?? NaN)
  if (!Number.isSafeInteger(value)) throw new RangeError(`status column ${name} is not an integer`)
  return value
}

function readText (row: Row, name: string): string {
  const value = row[name]
  if (typeof value !== 'string') throw new TypeError(`status column ${name} is not text`)
  return value
}

/**
 * Parses the row with which a database answers status calls and orders.
 * @returns null when the row is missing or is not a valid status
 */
export function readStatusRow (row: Row | undefined): DatabaseStatus | null {
  if (row === undefined) return null
  try {
    const role = readText(row, 'role')
    if (role !== 'primary' && role !== 'replica') return null
    return {
      database: databaseId(readText(row, 'database')),
      incarnation: incarnationId(readText(row, 'incarnation')),
      role,
      term: readInteger(row, 'term'),
      fencedTerm: readInteger(row, 'fenced_term'),
      position: { term: readInteger(row, 'position_term'), offset: readInteger(row, 'position_offset') },
      ageMs: readInteger(row, 'age_ms')
    }
  } catch {
    return null
  }
}
