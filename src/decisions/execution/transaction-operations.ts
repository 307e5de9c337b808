import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseOperation } from '../../types/database-operation.js'
import type { Refusal } from '../../types/outcome.js'
import type { Operation } from '../../types/peer-message.js'
import { buildRefusal } from '../../types/result-code.js'
import { finishOperation, type ExecutorParts } from './executor-parts.js'
import { buildAbandonedRefusal, buildSuccess } from './operation-outcome.js'
import type { RequestRecord } from './request-table.js'
import type { Transaction } from './transaction-table.js'

type TransactionOperation = Exclude<Operation, { kind: 'statement' } | { kind: 'begin' }>

/** Runs the operations of open transactions and aborts transactions that may not continue. */
export interface TransactionOperations {
  /**
   * Accepts a statement, commit or rollback, which then waits for a slot. Answers it at once when it may not run or its
   * transaction has ended.
   */
  accept: (record: RequestRecord, operation: TransactionOperation) => void
  /** Starts the operations that wait for a slot, where one is free. */
  runWaiting: () => void
  /** Aborts a transaction: closes its connection, and the database then rolls the transaction back. */
  abort: (transaction: Transaction, message: string) => void
  /** Removes a transaction that the database committed or rolled back, and releases its connection for other requests. */
  endFinished: (transaction: Transaction) => void
  /**
   * Aborts transactions whose term ended, whose key was withdrawn, whose connection share expired, whose time limit expired,
   * or that delay a switchover while idle. Charges the connection time since the last call to the workspaces of the remaining
   * transactions.
   */
  sweep: () => void
}

function toDatabaseOperation (operation: TransactionOperation): DatabaseOperation {
  if (operation.kind === 'transaction-statement') return { kind: 'statement', statement: operation.statement, values: operation.values }
  return { kind: operation.kind }
}

export function createTransactionOperations (parts: ExecutorParts): TransactionOperations {
  const { options, view, keys, requests, queue, slots, runner, pool, transactions } = parts
  const { clock } = options
  let switchingSince: Milliseconds | null = null

  function chargeHeldTime (transaction: Transaction): void {
    const heldMs = clock.now() - transaction.chargedUntil
    transaction.chargedUntil = clock.now()
    if (heldMs > 0) queue.charge('primary', transaction.workspace, heldMs)
  }

  function abort (transaction: Transaction, message: string): void {
    const inFlight = finishOperation(parts, transaction.connection.id)
    chargeHeldTime(transaction)
    transactions.remove(transaction)
    transactions.markAborted(transaction)
    pool.discard(transaction.connection.id)
    if (transaction.current === null) return
    const refusal = inFlight === null ? buildRefusal('transactionAborted', 'not-run', message) : buildAbandonedRefusal(inFlight.kind, message)
    requests.end(transaction.current, refusal)
  }

  function endFinished (transaction: Transaction): void {
    chargeHeldTime(transaction)
    transactions.remove(transaction)
    pool.release(transaction.connection.id)
  }

  function answerForEnded (record: RequestRecord, operation: TransactionOperation): void {
    if (!transactions.wasAborted(operation.transaction, record.request.workspace)) {
      requests.end(record, buildRefusal('unknownTransaction', 'not-run', 'the transaction does not exist or has ended'))
      return
    }
    // The abort has rolled the transaction back already.
    if (operation.kind === 'rollback') {
      requests.end(record, buildSuccess({ rows: [], rowCount: 0 }, { database: null, role: null, position: null, transaction: null }))
      return
    }
    requests.end(record, buildRefusal('transactionAborted', 'not-run', 'the transaction was aborted earlier'))
  }

  /** @returns the refusal when the operation may not run now, otherwise null */
  function findRefusal (record: RequestRecord, transaction: Transaction): Refusal | null {
    if (!view.isFresh()) return buildRefusal('notFresh', 'not-run', 'the instance has no valid freshness lease')
    const key = record.request.keyId
    if (key === null || !keys.isKeyValid(transaction.workspace, key)) return buildRefusal('keyRefused', 'not-run', 'the key was withdrawn')
    return null
  }

  function accept (record: RequestRecord, operation: TransactionOperation): void {
    const transaction = transactions.find(operation.transaction, record.request.workspace)
    if (transaction === null) {
      answerForEnded(record, operation)
      return
    }
    const refusal = findRefusal(record, transaction)
    if (refusal !== null) {
      requests.end(record, refusal)
      return
    }
    if (transaction.current !== null) {
      requests.end(record, buildRefusal('transactionBusy', 'not-run', 'an earlier operation of the transaction has no answer yet'))
      return
    }
    transaction.current = record
    transaction.requester = record.from
    transaction.lastUsedAt = clock.now()
    record.stage = 'waiting-for-slot'
  }

  function runCurrent (transaction: Transaction, record: RequestRecord): void {
    const refusal = findRefusal(record, transaction)
    if (refusal !== null) {
      transaction.current = null
      requests.end(record, refusal)
      return
    }
    const operation = record.request.operation
    if (operation.kind === 'statement' || operation.kind === 'begin') return
    runner.start(transaction.connection, record, toDatabaseOperation(operation), transaction.term)
  }

  // An open transaction holds locks and a connection, so its operations run before the requests in the fair queue.
  function runWaiting (): void {
    const waiting = transactions.all().filter((transaction) => transaction.current?.stage === 'waiting-for-slot')
    waiting.sort((left, right) => left.lastUsedAt - right.lastUsedAt)
    for (const transaction of waiting) {
      if (transaction.current === null || !slots.hasFreeSlotForTransaction(transaction.connection.database)) continue
      runCurrent(transaction, transaction.current)
    }
  }

  function recordSwitchover (): void {
    if (view.group()?.phase !== 'switching') switchingSince = null
    else switchingSince ??= clock.now()
  }

  // A switchover waits for the last open transaction, and all writes of the group wait for the switchover.
  function isDelayingSwitchover (transaction: Transaction): boolean {
    return transaction.current === null && switchingSince !== null && clock.now() - switchingSince >= options.switchoverGraceMs
  }

  /** @returns why the transaction must be aborted, or null */
  function findEndReason (transaction: Transaction): string | null {
    const key = transaction.beginRequest.keyId
    const now = clock.now()
    if (view.group()?.term !== transaction.term) return `term ${transaction.term} of the group ended`
    if (key === null || !keys.isKeyValid(transaction.workspace, key)) return 'the key of the transaction was withdrawn'
    if (!view.hasConnectionLease(transaction.connection.database)) return 'the connection share of the instance expired'
    if (now - transaction.beganAt >= options.maxTransactionMs) return `the transaction was open for ${options.maxTransactionMs} ms`
    if (isDelayingSwitchover(transaction)) return 'a switchover of the group is in progress'
    if (transaction.current === null && now - transaction.lastUsedAt >= options.maxTransactionIdleMs) return `the transaction was idle for ${options.maxTransactionIdleMs} ms`
    return null
  }

  function sweep (): void {
    recordSwitchover()
    for (const transaction of transactions.all()) {
      const reason = findEndReason(transaction)
      if (reason === null) chargeHeldTime(transaction)
      else abort(transaction, reason)
    }
  }

  return { accept, runWaiting, abort, endFinished, sweep }
}
