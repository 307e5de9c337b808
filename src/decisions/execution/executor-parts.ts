import type { ConnectionPool } from '../connections/connection-pool.js'
import type { DurabilityWait } from './durability-wait.js'
import type { ResolvedExecutorOptions } from './executor-options.js'
import type { GroupView } from './group-view.js'
import type { KeyCheck } from './key-check.js'
import type { OperationRunner, RunningOperation } from './operation-runner.js'
import type { RequestQueue } from './request-queue.js'
import type { RequestRecord, RequestTable } from './request-table.js'
import type { SlotAccounting } from './slot-accounting.js'
import type { TransactionTable } from './transaction-table.js'
import type { ConnectionId } from '../../types/ids.js'

/** State of one executor, shared by its modules. */
export interface ExecutorParts {
  options: ResolvedExecutorOptions
  view: GroupView
  keys: KeyCheck
  requests: RequestTable
  queue: RequestQueue<RequestRecord>
  slots: SlotAccounting
  runner: OperationRunner
  pool: ConnectionPool
  transactions: TransactionTable
  durability: DurabilityWait
}

/** Slot time that the queue charges in advance for each request, in milliseconds: about one short statement. */
export const EXPECTED_SLOT_MS = 1

/** Ends the operation of a connection and charges its slot time beyond the expected one to its workspace. */
export function finishOperation (parts: ExecutorParts, connection: ConnectionId): RunningOperation | null {
  const running = parts.runner.finish(connection)
  // The time of a transaction is charged as a whole, for as long as it holds its connection.
  if (running === null || parts.transactions.onConnection(connection) !== null) return running
  const used = parts.options.clock.now() - running.startedAt
  parts.queue.charge(running.record.request.workspace, Math.max(0, used - EXPECTED_SLOT_MS))
  return running
}
