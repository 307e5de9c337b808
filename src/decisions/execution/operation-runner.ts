import { milliseconds, type Clock, type Milliseconds } from '../../types/clock.js'
import type { DatabaseOperation } from '../../types/database-operation.js'
import type { ExecutorEffect } from '../../types/executor-message.js'
import type { ConnectionId } from '../../types/ids.js'
import type { PooledConnection } from '../connections/pooled-connection.js'
import type { RequestRecord } from './request-table.js'
import type { SlotAccounting } from './slot-accounting.js'

/** An operation that was sent to a database and has no result yet. */
export interface InFlightOperation {
  readonly connection: PooledConnection
  readonly record: RequestRecord
  readonly kind: DatabaseOperation['kind']
  /** Term of the group when the executor sent the operation. */
  readonly term: number
  readonly startedAt: Milliseconds
  /** When the executor abandons the operation: at the deadline of the request, or after `maxOperationMs` if that is earlier. */
  readonly deadline: Milliseconds
}

/** Sends operations over connections, at most one at a time on each. Each operation occupies a slot while it is in flight. */
export interface OperationRunner {
  /**
   * Sends an operation and occupies a slot.
   * @throws Error when an operation is in flight on the connection already
   */
  start: (connection: PooledConnection, record: RequestRecord, operation: DatabaseOperation, term: number) => void
  /** Removes the operation of a connection and frees its slot. @returns the operation; null when none is in flight there */
  finish: (connection: ConnectionId) => InFlightOperation | null
  findByRecord: (record: RequestRecord) => InFlightOperation | null
  /** @returns the operation in flight on a connection, or null */
  on: (connection: ConnectionId) => InFlightOperation | null
  all: () => InFlightOperation[]
}

export interface OperationRunnerOptions {
  clock: Clock
  slots: SlotAccounting
  maxOperationMs: number
  emit: (effect: ExecutorEffect) => void
}

export function createOperationRunner (options: OperationRunnerOptions): OperationRunner {
  const { clock, slots, emit } = options
  const operations = new Map<ConnectionId, InFlightOperation>()

  function start (connection: PooledConnection, record: RequestRecord, operation: DatabaseOperation, term: number): void {
    if (operations.has(connection.id)) throw new Error(`connection ${connection.id} already has an operation in flight`)
    const startedAt = clock.now()
    const deadline = milliseconds(Math.min(record.deadline, startedAt + options.maxOperationMs))
    operations.set(connection.id, { connection, record, kind: operation.kind, term, startedAt, deadline })
    slots.occupy(connection.database)
    record.stage = 'running'
    emit({ kind: 'run', connection: connection.id, operation })
  }

  function finish (id: ConnectionId): InFlightOperation | null {
    const inFlight = operations.get(id)
    if (inFlight === undefined) return null
    operations.delete(id)
    slots.release(inFlight.connection.database)
    return inFlight
  }

  return {
    start,
    finish,
    findByRecord: (record) => [...operations.values()].find((inFlight) => inFlight.record === record) ?? null,
    on: (connection) => operations.get(connection) ?? null,
    all: () => [...operations.values()]
  }
}
