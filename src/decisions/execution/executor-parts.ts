import type { ConnectionPool } from '../connections/connection-pool.js'
import type { DurabilityWait } from './durability-wait.js'
import type { ResolvedExecutorOptions } from './executor-options.js'
import type { GroupView } from './group-view.js'
import type { KeyCheck } from './key-check.js'
import { EXPECTED_SLOT_MS, laneOf, type QueueLanes } from './queue-lanes.js'
import type { OperationRunner, InFlightOperation } from './operation-runner.js'
import type { RequestTable } from './request-table.js'
import type { SlotAccounting } from './slot-accounting.js'
import type { TransactionTable } from './transaction-table.js'
import type { ConnectionId } from '../../types/ids.js'

/** Components of one executor, shared by its modules. */
export interface ExecutorParts {
  options: ResolvedExecutorOptions
  view: GroupView
  keys: KeyCheck
  requests: RequestTable
  queue: QueueLanes
  slots: SlotAccounting
  runner: OperationRunner
  pool: ConnectionPool
  transactions: TransactionTable
  durability: DurabilityWait
}

/**
 * Ends the operation in flight on a connection and frees its slot. The queue charged `EXPECTED_SLOT_MS` to the workspace
 * in advance; this charges the slot time beyond that.
 * @returns the operation, or null when none is in flight on the connection
 */
export function finishOperation (parts: ExecutorParts, connection: ConnectionId): InFlightOperation | null {
  const inFlight = parts.runner.finish(connection)
  // A transaction is charged for the whole time that it holds its connection, so its operations are not charged again.
  if (inFlight === null || parts.transactions.findByConnection(connection) !== null) return inFlight
  const usedMs = parts.options.clock.now() - inFlight.startedAt
  parts.queue.charge(laneOf(inFlight.record), inFlight.record.request.workspace, Math.max(0, usedMs - EXPECTED_SLOT_MS))
  return inFlight
}
