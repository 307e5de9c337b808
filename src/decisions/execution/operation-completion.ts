import type { OperationDone, OperationFailed, OperationResult } from '../../types/database-operation.js'
import type { ConnectionId, DatabaseId } from '../../types/ids.js'
import type { Refusal } from '../../types/outcome.js'
import { finishOperation, type ExecutorParts } from './executor-parts.js'
import type { RunningOperation } from './operation-runner.js'
import { notDurable, refusalOfAbandoned, refusalOfFailure, successOf } from './operation-outcome.js'
import type { RequestRecord } from './request-table.js'
import type { TransactionOperations } from './transaction-operations.js'
import { refuse } from '../../types/result-code.js'

/** Ends operations: by their result, by the loss of their connection, or because nobody waits for them any more. */
export interface OperationCompletion {
  complete: (connection: ConnectionId, result: OperationResult) => void
  /** The connection ended by itself. */
  connectionLost: (connection: ConnectionId) => void
  /** Answers a request at its deadline or after its caller was lost. */
  abandon: (record: RequestRecord, message: string) => void
  /** Abandons everything that is past its deadline. */
  abandonOverdue: () => void
}

export function createOperationCompletion (parts: ExecutorParts, transactionOperations: TransactionOperations): OperationCompletion {
  const { options, requests, queue, runner, pool, transactions, durability } = parts
  const { clock } = options

  function closeConnection (id: ConnectionId, message: string): void {
    const transaction = transactions.onConnection(id)
    if (transaction !== null) {
      transactionOperations.abort(transaction, message)
      return
    }
    const running = finishOperation(parts, id)
    pool.discard(id)
    if (running !== null) requests.end(running.record, refusalOfAbandoned(running.kind, message))
  }

  function awaitMajority (running: RunningOperation, done: OperationDone): void {
    const { connection, record, term } = running
    if (done.position === null || connection.incarnation === null) {
      requests.end(record, notDurable('the database told no position for the write'))
      return
    }
    const success = successOf(done, { database: connection.database, role: 'primary', position: done.position, transaction: null })
    durability.add({ record, term, position: done.position, primary: connection.database, incarnation: connection.incarnation, success })
  }

  function finishBegin (running: RunningOperation, done: OperationDone): void {
    const { connection, record, term } = running
    if (done.replayed) {
      // The whole transaction was committed before under this idempotency key, so there is nothing to begin.
      pool.discard(connection.id)
      awaitMajority(running, done)
      return
    }
    const transaction = transactions.add(record, connection, term)
    requests.end(record, successOf({ rows: [], rowCount: 0 }, { database: connection.database, role: 'primary', position: null, transaction: transaction.id }))
  }

  function finishRead (running: RunningOperation, done: OperationDone): void {
    const { connection, record } = running
    const role = parts.view.group()?.primary === connection.database ? 'primary' : 'replica'
    const ageMs = role === 'primary' ? 0 : replicaAge(connection.database)
    requests.end(record, successOf(done, { database: connection.database, role, position: null, transaction: null, ...ageMs === null ? {} : { ageMs } }))
  }

  function replicaAge (database: DatabaseId): number | null {
    const observed = parts.view.observed(database)
    return observed === null ? null : observed.status.ageMs + (clock.now() - observed.observedAt)
  }

  function finishTransactionOperation (running: RunningOperation, done: OperationDone): void {
    const transaction = transactions.onConnection(running.connection.id)
    if (transaction === null) return
    transaction.current = null
    transaction.lastUsedAt = clock.now()
    if (running.kind !== 'statement') transactionOperations.endClean(transaction)
    if (running.kind === 'commit') {
      awaitMajority(running, done)
      return
    }
    const source = { database: running.connection.database, role: 'primary' as const, position: null, transaction: null }
    requests.end(running.record, successOf(done, source))
  }

  function succeed (running: RunningOperation, done: OperationDone): void {
    if (running.kind === 'begin') {
      finishBegin(running, done)
      return
    }
    if (running.kind !== 'read' && running.kind !== 'write') {
      finishTransactionOperation(running, done)
      return
    }
    pool.release(running.connection.id)
    if (running.kind === 'read') finishRead(running, done)
    else awaitMajority(running, done)
  }

  function fail (running: RunningOperation, failure: OperationFailed): void {
    const refusal = refusalOfFailure(running.kind, running.connection.mode, failure)
    const transaction = transactions.onConnection(running.connection.id)
    if (transaction !== null) {
      // After an error the database takes nothing more in the transaction, so it ends here.
      transaction.current = null
      transactionOperations.abort(transaction, failure.message)
    } else if (failure.connectionUsable && failure.phase === 'refused') {
      pool.release(running.connection.id)
    } else {
      pool.discard(running.connection.id)
    }
    requests.end(running.record, refusal)
  }

  function complete (id: ConnectionId, result: OperationResult): void {
    const running = runner.on(id)
    if (running === null) {
      closeConnection(id, 'the database sent a result that nothing waited for')
      return
    }
    if (clock.now() >= running.deadline) {
      closeConnection(id, 'the answer of the database came after the deadline')
      return
    }
    finishOperation(parts, id)
    if (result.kind === 'done') succeed(running, result)
    else fail(running, result)
  }

  function abandonWaiting (record: RequestRecord, refusal: Refusal): void {
    queue.cancel(record.key)
    const transaction = transactions.all().find((open) => open.current === record)
    if (transaction !== undefined) transaction.current = null
    requests.end(record, refusal)
  }

  function abandon (record: RequestRecord, message: string): void {
    const running = runner.of(record)
    if (running !== null) {
      closeConnection(running.connection.id, message)
      return
    }
    if (record.stage === 'awaiting-majority') {
      durability.cancel(record)
      requests.end(record, notDurable(message))
      return
    }
    abandonWaiting(record, refuse('deadlineExceeded', 'not-run', message))
  }

  function abandonOverdue (): void {
    const now = clock.now()
    for (const running of runner.all()) {
      if (now >= running.deadline) closeConnection(running.connection.id, 'the database did not answer before the deadline')
    }
    for (const { current } of transactions.all()) {
      if (current !== null && now >= current.deadline) abandon(current, 'no slot became free before the deadline')
    }
  }

  function connectionLost (id: ConnectionId): void {
    pool.forget(id)
    closeConnection(id, 'the connection to the database was lost')
  }

  return { complete, connectionLost, abandon, abandonOverdue }
}
