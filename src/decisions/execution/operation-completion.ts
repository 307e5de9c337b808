import type { OperationDone, OperationFailed, OperationResult } from '../../types/database-operation.js'
import type { ConnectionId, DatabaseId } from '../../types/ids.js'
import type { Refusal } from '../../types/outcome.js'
import { finishOperation, type ExecutorParts } from './executor-parts.js'
import type { InFlightOperation } from './operation-runner.js'
import { buildNotDurableRefusal, buildAbandonedRefusal, buildFailureRefusal, buildSuccess } from './operation-outcome.js'
import type { RequestRecord } from './request-table.js'
import type { TransactionOperations } from './transaction-operations.js'
import { buildRefusal } from '../../types/result-code.js'

/**
 * Ends operations when their result arrives, when their connection is lost, at their deadline, and when their requester
 * cancels them or is lost.
 */
export interface OperationCompletion {
  /** Handles the result that the database sent for the operation in flight on a connection. */
  complete: (connection: ConnectionId, result: OperationResult) => void
  /** Handles a connection that closed although the executor did not close it. */
  handleConnectionLoss: (connection: ConnectionId) => void
  /**
   * Stops work on a request and answers it. An operation in flight is stopped by closing its connection.
   * @param message - the reason, for the answer
   */
  abandon: (record: RequestRecord, message: string) => void
  /** Abandons the operations in flight, and those of transactions that wait for a slot, whose deadline has passed. */
  abandonOverdue: () => void
}

export function createOperationCompletion (parts: ExecutorParts, transactionOperations: TransactionOperations): OperationCompletion {
  const { options, requests, queue, runner, pool, transactions, durability } = parts
  const { clock } = options

  function closeConnection (id: ConnectionId, message: string): void {
    const transaction = transactions.findByConnection(id)
    if (transaction !== null) {
      transactionOperations.abort(transaction, message)
      return
    }
    const inFlight = finishOperation(parts, id)
    pool.discard(id)
    if (inFlight !== null) requests.end(inFlight.record, buildAbandonedRefusal(inFlight.kind, message))
  }

  function awaitMajority (inFlight: InFlightOperation, done: OperationDone): void {
    const { connection, record, term } = inFlight
    if (done.position === null || connection.incarnation === null) {
      requests.end(record, buildNotDurableRefusal('the database reported no log position for the write'))
      return
    }
    const success = buildSuccess(done, { database: connection.database, role: 'primary', position: done.position, transaction: null })
    durability.add({ record, term, position: done.position, primary: connection.database, incarnation: connection.incarnation, success })
  }

  function finishBegin (inFlight: InFlightOperation, done: OperationDone): void {
    const { connection, record, term } = inFlight
    if (done.replayed) {
      // An earlier attempt with this idempotency key committed the whole transaction, so the executor begins no new one and
      // answers with the recorded position.
      pool.discard(connection.id)
      awaitMajority(inFlight, done)
      return
    }
    const transaction = transactions.add(record, connection, term)
    requests.end(record, buildSuccess({ rows: [], rowCount: 0 }, { database: connection.database, role: 'primary', position: null, transaction: transaction.id }))
  }

  function finishRead (inFlight: InFlightOperation, done: OperationDone): void {
    const { connection, record } = inFlight
    const role = parts.view.group()?.primary === connection.database ? 'primary' : 'replica'
    const ageMs = role === 'primary' ? 0 : computeReplicaAgeMs(connection.database)
    requests.end(record, buildSuccess(done, { database: connection.database, role, position: null, transaction: null, ...ageMs === null ? {} : { ageMs } }))
  }

  function computeReplicaAgeMs (database: DatabaseId): number | null {
    const observed = parts.view.observed(database)
    return observed === null ? null : observed.status.ageMs + (clock.now() - observed.observedAt)
  }

  function finishTransactionOperation (inFlight: InFlightOperation, done: OperationDone): void {
    const transaction = transactions.findByConnection(inFlight.connection.id)
    if (transaction === null) return
    transaction.current = null
    transaction.lastUsedAt = clock.now()
    if (inFlight.kind !== 'statement') transactionOperations.endFinished(transaction)
    if (inFlight.kind === 'commit') {
      awaitMajority(inFlight, done)
      return
    }
    const source = { database: inFlight.connection.database, role: 'primary' as const, position: null, transaction: null }
    requests.end(inFlight.record, buildSuccess(done, source))
  }

  function handleSuccess (inFlight: InFlightOperation, done: OperationDone): void {
    if (inFlight.kind === 'begin') {
      finishBegin(inFlight, done)
      return
    }
    if (inFlight.kind !== 'read' && inFlight.kind !== 'write') {
      finishTransactionOperation(inFlight, done)
      return
    }
    pool.release(inFlight.connection.id)
    if (inFlight.kind === 'read') finishRead(inFlight, done)
    else awaitMajority(inFlight, done)
  }

  function handleFailure (inFlight: InFlightOperation, failure: OperationFailed): void {
    const refusal = buildFailureRefusal(inFlight.kind, inFlight.connection.mode, failure)
    const transaction = transactions.findByConnection(inFlight.connection.id)
    if (transaction !== null) {
      // After an error PostgreSQL accepts only a rollback in the transaction, so the executor aborts it.
      transaction.current = null
      transactionOperations.abort(transaction, failure.message)
    } else if (failure.connectionUsable && failure.phase === 'refused') {
      pool.release(inFlight.connection.id)
    } else {
      pool.discard(inFlight.connection.id)
    }
    requests.end(inFlight.record, refusal)
  }

  function complete (id: ConnectionId, result: OperationResult): void {
    const inFlight = runner.on(id)
    if (inFlight === null) {
      closeConnection(id, 'the database sent a result, but no operation was in flight on the connection')
      return
    }
    if (clock.now() >= inFlight.deadline) {
      closeConnection(id, 'the database answered after the deadline')
      return
    }
    finishOperation(parts, id)
    if (result.kind === 'done') handleSuccess(inFlight, result)
    else handleFailure(inFlight, result)
  }

  function abandonUnsent (record: RequestRecord, refusal: Refusal): void {
    queue.cancel(record.key)
    const transaction = transactions.all().find((open) => open.current === record)
    if (transaction !== undefined) transaction.current = null
    requests.end(record, refusal)
  }

  function abandon (record: RequestRecord, message: string): void {
    const inFlight = runner.findByRecord(record)
    if (inFlight !== null) {
      closeConnection(inFlight.connection.id, message)
      return
    }
    if (record.stage === 'awaiting-majority') {
      durability.cancel(record)
      requests.end(record, buildNotDurableRefusal(message))
      return
    }
    abandonUnsent(record, buildRefusal('deadlineExceeded', 'not-run', message))
  }

  function abandonOverdue (): void {
    const now = clock.now()
    for (const inFlight of runner.all()) {
      if (now >= inFlight.deadline) closeConnection(inFlight.connection.id, 'the database did not answer before the deadline')
    }
    for (const { current } of transactions.all()) {
      if (current !== null && now >= current.deadline) abandon(current, 'no slot became free before the deadline')
    }
  }

  function handleConnectionLoss (id: ConnectionId): void {
    pool.remove(id)
    closeConnection(id, 'the connection to the database was lost')
  }

  return { complete, handleConnectionLoss, abandon, abandonOverdue }
}
