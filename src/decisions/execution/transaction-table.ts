import type { Clock, Milliseconds } from '../../types/clock.js'
import type { RequesterName } from '../../types/executor-message.js'
import { transactionId, type ConnectionId, type DatabaseId, type InstanceId, type TransactionId, type WorkspaceId } from '../../types/ids.js'
import type { PooledConnection } from '../connections/pooled-connection.js'
import type { RequestRecord } from './request-table.js'

/** An open transaction. No other request uses its connection until it ends. */
export interface Transaction {
  readonly id: TransactionId
  readonly workspace: WorkspaceId
  readonly connection: PooledConnection
  /** Term of the group when the transaction began. */
  readonly term: number
  readonly beganAt: Milliseconds
  /** Request that began the transaction; the key of that request must stay valid. */
  readonly beginRequest: RequestRecord['request']
  /** Requester of the latest operation. The executor aborts the transaction when this requester is lost. */
  requester: RequesterName
  lastUsedAt: Milliseconds
  /** Time up to which the workspace was charged for the connection. */
  chargedUntil: Milliseconds
  /** Pending operation of the transaction; null when there is none. A transaction has at most one at a time. */
  current: RequestRecord | null
}

/** Open transactions of one group at this instance, and the ids of recently aborted ones. */
export interface TransactionTable {
  add: (record: RequestRecord, connection: PooledConnection, term: number) => Transaction
  remove: (transaction: Transaction) => void
  /** Records that a transaction was aborted without a rollback by its caller. */
  markAborted: (transaction: Transaction) => void
  /** @returns the open transaction; null when the id is unknown or belongs to another workspace */
  find: (id: TransactionId, workspace: WorkspaceId) => Transaction | null
  /** @returns whether the transaction of the workspace is recorded as aborted */
  wasAborted: (id: TransactionId, workspace: WorkspaceId) => boolean
  findByConnection: (connection: ConnectionId) => Transaction | null
  all: () => Transaction[]
  /** @returns the number of open transactions at a database */
  countAt: (database: DatabaseId) => number
  size: () => number
}

export interface TransactionTableOptions {
  instance: InstanceId
  clock: Clock
  /** @returns unguessable text without a full stop */
  createRandomName: () => string
}

/**
 * Number of aborted transactions whose ids are kept. Later statements and commits of these transactions are
 * refused with `transactionAborted` instead of `unknownTransaction`, so that the caller knows what happened.
 */
const MAX_REMEMBERED_ABORTS = 1000

export function createTransactionTable (options: TransactionTableOptions): TransactionTable {
  const open = new Map<TransactionId, Transaction>()
  const aborted = new Map<TransactionId, WorkspaceId>()

  function add (record: RequestRecord, connection: PooledConnection, term: number): Transaction {
    const now = options.clock.now()
    const transaction: Transaction = {
      id: transactionId(`${options.instance}.${options.createRandomName()}`),
      workspace: record.request.workspace,
      connection,
      term,
      beganAt: now,
      beginRequest: record.request,
      requester: record.from,
      lastUsedAt: now,
      chargedUntil: now,
      current: null
    }
    open.set(transaction.id, transaction)
    return transaction
  }

  function markAborted (transaction: Transaction): void {
    aborted.set(transaction.id, transaction.workspace)
    const oldest = aborted.keys().next().value
    if (aborted.size > MAX_REMEMBERED_ABORTS && oldest !== undefined) aborted.delete(oldest)
  }

  function find (id: TransactionId, workspace: WorkspaceId): Transaction | null {
    const transaction = open.get(id)
    return transaction?.workspace === workspace ? transaction : null
  }

  return {
    add,
    remove: (transaction) => { open.delete(transaction.id) },
    markAborted,
    find,
    wasAborted: (id, workspace) => aborted.get(id) === workspace,
    findByConnection: (connection) => [...open.values()].find((transaction) => transaction.connection.id === connection) ?? null,
    all: () => [...open.values()],
    countAt: (database) => [...open.values()].filter((transaction) => transaction.connection.database === database).length,
    size: () => open.size
  }
}
