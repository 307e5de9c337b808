import type { Blackboard } from '../../blackboard/blackboard.js'
import type { Clock } from '../../types/clock.js'

export interface FailoverOptions {
  blackboard: Blackboard
  clock: Clock
  /** A connection holder counts the primary as silent after this time without evidence of it, in ms. Default: 1,000, several missed status polls of 200 ms. */
  primarySilentMs?: number
  /** The reports of a connection holder without a heartbeat for this long are ignored, in ms. Default: 1,000, two heartbeat intervals. */
  maxHeartbeatAgeMs?: number
  /** An order without an answer is sent again after this time, in ms. Default: 250. */
  orderRetryMs?: number
  /** A new election replaces a promotion that has not succeeded within this time after the release of the old term, in ms. Default: 1,000. */
  promotionTimeoutMs?: number
  /** How long an election with a fenced majority waits for a better candidate, in ms. Default: 200. */
  candidateWaitMs?: number
  /** Shortest time between the starts of two elections of a group by the same leader, in ms. Default: 300. */
  minElectionIntervalMs?: number
  /** The leader abandons a planned switchover that is not ready after this time, in ms. An abandoned switchover queues writes no longer than this. Default: 2,000. */
  switchoverTimeoutMs?: number
  /** Delay before the retry of an abandoned switchover, in ms. It doubles with each attempt, up to eight times this. Default: 2,000. */
  switchoverRetryMs?: number
  /** Interval of position queries during a switchover, in ms. Default: 50. */
  positionQueryIntervalMs?: number
  /** How long the first start of a group waits for a running primary to announce itself, in ms. Default: 1,500, one and a half announcement intervals. */
  firstStartWaitMs?: number
  /** A follow order to a database that does not follow yet is sent again after this time, in ms. Default: 1,000. */
  followRetryMs?: number
  /** Interval at which groups without an election or switchover in progress are checked, in ms. Default: 100, which is longer than a tick because a check of 400 groups costs the leader processor time. */
  idleCheckIntervalMs?: number
  /** A database without a status for this long gets no follow orders and is no switchover target, in ms. Default: 3,000, three announcement intervals. */
  databaseSilentMs?: number
}

export type ResolvedFailoverOptions = Required<FailoverOptions>

/** @returns the options, with defaults for those that are absent */
export function resolveFailoverOptions (options: FailoverOptions): ResolvedFailoverOptions {
  return {
    primarySilentMs: 1000,
    maxHeartbeatAgeMs: 1000,
    orderRetryMs: 250,
    promotionTimeoutMs: 1000,
    candidateWaitMs: 200,
    minElectionIntervalMs: 300,
    switchoverTimeoutMs: 2000,
    switchoverRetryMs: 2000,
    positionQueryIntervalMs: 50,
    firstStartWaitMs: 1500,
    followRetryMs: 1000,
    idleCheckIntervalMs: 100,
    databaseSilentMs: 3000,
    ...options
  }
}
