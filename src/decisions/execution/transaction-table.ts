import type { Clock, Milliseconds } from '../../types/clock.js'
import type { RequesterName } from '../../types/executor-message.js'
import { transactionId, type ConnectionId, type DatabaseId, type InstanceId, type TransactionId, type WorkspaceId } from '../../types/ids.js'
import type { PooledConnection } from '../connections/pooled-connection.js'
import type { RequestRecord } from './request-table.js'

/** An open transaction. Its connection belongs to it until it ends. */
export interface Transaction {
  readonly id: TransactionId
  readonly workspace: WorkspaceId
  readonly connection: PooledConnection
  readonly term: number
  readonly beganAt: Milliseconds
  /** Request that began it; its key must stay valid. */
  readonly beginRequest: RequestRecord['request']
  /** Requester that used it last; the transaction ends when that one is lost. */
  requester: RequesterName
  lastUsedAt: Milliseconds
  /** The connection time up to here was charged to the workspace. */
  chargedUntil: Milliseconds
  /** Operation that waits or runs; one at a time. */
  current: RequestRecord | null
}

/** Open transactions of one group at this instance. */
export interface TransactionTable {
  add: (record: RequestRecord, connection: PooledConnection, term: number) => Transaction
  remove: (transaction: Transaction) => void
  /** Remembers that a transaction was rolled back without its caller having asked for it. */
  markAborted: (transaction: Transaction) => void
  find: (id: TransactionId, workspace: WorkspaceId) => Transaction | null
  wasAborted: (id: TransactionId, workspace: WorkspaceId) => boolean
  findByConnection: (connection: ConnectionId) => Transaction | null
  all: () => Transaction[]
  countAt: (database: DatabaseId) => number
  size: () => number
}

export interface TransactionTableOptions {
  instance: InstanceId
  clock: Clock
  randomName: () => string
}

/** Aborted transactions that are remembered, so that their callers learn what happened. */
const MAX_REMEMBERED_ABORTS = 1000

export function createTransactionTable (options: TransactionTableOptions): TransactionTable {
  const open = new Map<TransactionId, Transaction>()
  const aborted = new Map<TransactionId, WorkspaceId>()

  function add (record: RequestRecord, connection: PooledConnection, term: number): Transaction {
    const now = options.clock.now()
    const transaction: Transaction = {
      id: transactionId(`${options.instance}.${options.randomName()}`),
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
