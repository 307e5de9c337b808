import type { Blackboard } from '../../blackboard/blackboard.js'
import type { Clock } from '../../types/clock.js'

export interface FailoverOptions {
  blackboard: Blackboard
  clock: Clock
  /** Missing proofs of a primary after which a holder takes it for silent, in ms. Default: 1,000, several missed answers of 200 ms. */
  primarySilentMs?: number
  /** A holder without a heartbeat for this long does not count, in ms. Default: 1,000, two heartbeat intervals. */
  holderCutOffMs?: number
  /** An order without an answer is given again after this time, in ms. Default: 250. */
  orderRetryMs?: number
  /** A promotion without an answer for this long is replaced by a new election, in ms. Default: 1,000. */
  promotionGiveUpMs?: number
  /** How long an election with a fenced majority waits for a better candidate, in ms. Default: 200. */
  candidateWaitMs?: number
  /** Least time between two elections of a group by the same leader, in ms. Default: 300. */
  electionPauseMs?: number
  /** A planned switchover that is not ready after this time is given up, in ms. Default: 2,000; writes are held no longer. */
  switchoverBoundMs?: number
  /** Pause before a given up switchover is tried again, in ms; doubles up to eight times this. Default: 2,000. */
  switchoverRetryMs?: number
  /** Interval of position queries during a switchover, in ms. Default: 50. */
  positionQueryMs?: number
  /** How long the first start of a group waits for a running primary to announce itself, in ms. Default: 1,500, an announcement interval and a half. */
  firstStartWaitMs?: number
  /** Interval of repeated follow orders to a database, in ms. Default: 1,000. */
  followRetryMs?: number
  /** Interval in which groups in service are looked at, in ms. Default: 100; at 400 groups each look takes a share of the leader's core. */
  idleCheckMs?: number
  /** A database with no sign of life for this long gets no orders outside an election, in ms. Default: 3,000, three announcement intervals. */
  databaseSilentMs?: number
}

export type ResolvedFailoverOptions = Required<FailoverOptions>

/** @returns the options with defaults filled in */
export function resolveFailoverOptions (options: FailoverOptions): ResolvedFailoverOptions {
  return {
    primarySilentMs: 1000,
    holderCutOffMs: 1000,
    orderRetryMs: 250,
    promotionGiveUpMs: 1000,
    candidateWaitMs: 200,
    electionPauseMs: 300,
    switchoverBoundMs: 2000,
    switchoverRetryMs: 2000,
    positionQueryMs: 50,
    firstStartWaitMs: 1500,
    followRetryMs: 1000,
    idleCheckMs: 100,
    databaseSilentMs: 3000,
    ...options
  }
}
