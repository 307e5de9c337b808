import type { Blackboard } from '../../blackboard/blackboard.js'
import type { Clock } from '../../types/clock.js'
import type { GroupId, InstanceId } from '../../types/ids.js'
import type { CreateRequestQueue } from './request-queue.js'

/** Options of `createGroupExecutor`. Times are in milliseconds. */
export interface GroupExecutorOptions {
  group: GroupId
  instance: InstanceId
  blackboard: Blackboard
  clock: Clock
  createQueue: CreateRequestQueue
  /** @returns a number from 0 (included) to 1 (excluded), used to spread reads over databases */
  random: () => number
  /** @returns unguessable text without a full stop, used as the last part of a transaction id */
  createRandomName: () => string
  /** Time that a read waits for a qualifying replica before it may run on the primary. Default 50. */
  replicaWaitMs?: number
  /** Age of a database's last status beyond which the database receives no new work. Default 1,000. */
  maxStatusAgeMs?: number
  /** Time after which the executor abandons an operation that the database has not answered. Default 5,000. */
  maxOperationMs?: number
  /** Idle time between two operations after which the executor aborts a transaction. Default 10,000. */
  maxTransactionIdleMs?: number
  /** Time since its begin after which the executor aborts a transaction. Default 60,000. */
  maxTransactionMs?: number
  /**
   * Time after which transactions without a pending operation may no longer delay a switchover. Default 1,000: the control
   * leader cancels a switchover that takes longer than 2 s, and a departing database receives no new work after 3 s.
   */
  switchoverGraceMs?: number
}

export type ResolvedExecutorOptions = Required<GroupExecutorOptions>

/** @returns the options with the default for each option that was not given */
export function resolveExecutorOptions (options: GroupExecutorOptions): ResolvedExecutorOptions {
  return {
    replicaWaitMs: 50,
    maxStatusAgeMs: 1000,
    maxOperationMs: 5000,
    maxTransactionIdleMs: 10_000,
    maxTransactionMs: 60_000,
    switchoverGraceMs: 1000,
    ...options
  }
}
