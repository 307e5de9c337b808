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
  /** @returns a number from 0 up to 1; spreads reads */
  random: () => number
  /** @returns unguessable text without a full stop, for transaction ids */
  randomName: () => string
  /** How long a read waits for a replica that qualifies before it may use the primary. Default 50. */
  replicaWaitMs?: number
  /** Age of a status beyond which its database gets no new work. Default 1,000. */
  maxStatusAgeMs?: number
  /** Longest time for one operation of a database. Default 5,000. */
  maxOperationMs?: number
  /** How long a transaction may be idle. Default 10,000. */
  maxTransactionIdleMs?: number
  /** How long a transaction may stay open. Default 60,000. */
  maxTransactionMs?: number
  /**
   * How long open transactions may hold up a planned switchover. Default 1,000: a departing database gets no new work
   * after 3 s, and the control leader gives a switchover up after 2 s.
   */
  switchoverGraceMs?: number
}

export type ResolvedExecutorOptions = Required<GroupExecutorOptions>

/** @returns the options with defaults filled in */
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
