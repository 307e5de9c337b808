import type { FailoverOptions } from '../failover/failover-options.js'

/** Times of the controller for groups whose primary an external authority promotes, in milliseconds. */
export interface PromotionTimes {
  /** Time after which the freshness lease of every instance has expired. */
  leaseEndMs: number
  /** Interval at which a running database announces itself. */
  announcementMs: number
  /** Time without an answer to most instances after which a primary is replaced. Default 400: several attempts to connect, or several statements of usual length. */
  primarySilentMs: number
  /** An order without an answer is sent again after this time. Default 500. */
  orderRetryMs: number
  /** How long an election waits for the positions of further databases after the first one has answered. Where commits wait for replicas, each election after the first one of the group waits for all positions instead, and this long before it accepts a database that leads already. Default 250. */
  candidateWaitMs: number
  /** A new election replaces an accepted promotion that has had no effect for this long. An election that lacks positions keeps the former primary, if that one answers as primary, after the same time. Default 4000. */
  promotionTimeoutMs: number
  /** Shortest time between the starts of two elections of a group. Default 300. */
  minElectionIntervalMs: number
  /** A switchover waits this long for transactions in flight, and as long again for the target to catch up. Then its election begins in any case. Default 1500. */
  switchoverTimeoutMs: number
  /** Interval between the position queries of a switchover. Default 60. */
  positionQueryIntervalMs: number
  /** Where commits wait for replicas, an election waits this long after the end of a database for a successor that has its log. Default 10000. */
  endedWaitMs: number
  /**
   * Where commits wait for replicas, an election waits for the position of a database that has given no sign for less than this time.
   * Default 20000.
   */
  absentWaitMs: number
  /**
   * Where commits wait for replicas, a database at whose address nothing listens counts as ended this long after its last sign. Longer than a
   * cut that refuses connections on behalf of a database that runs. Default 10000.
   */
  endedSilenceMs: number
  /**
   * Where commits wait for replicas, an election waits this long, from the start of its leader, for the position of a database that has given
   * this leader no sign. After a restart of all instances, the group must serve again within the recovery time. Default 8500.
   */
  unseenWaitMs: number
  /** How long the first start of a group waits for a running primary to announce itself. Default 4000. */
  firstStartWaitMs: number
}

/** Times as configured: those that have no default are required. */
export type PromotionSettings = Pick<PromotionTimes, 'leaseEndMs' | 'announcementMs'> & Partial<PromotionTimes>

export interface PromotionOptions extends Pick<FailoverOptions, 'blackboard' | 'clock'> {
  times: PromotionSettings
}

/** Time for the start of the control instances, the election of their leader, and a promotion. */
const RECOVERY_STEPS_MS = 3500
/** Longest time for which an election waits for a database that gives no sign. */
const ABSENT_WAIT_MS = 20_000

/**
 * @param recoveryLimitMs - time after a restart of all instances within which a group must serve again, in milliseconds
 * @returns how long an election may wait for databases that have given its leader no sign, in milliseconds
 */
export function computeUnseenWaitMs (recoveryLimitMs: number): number {
  return Math.min(Math.max(recoveryLimitMs - RECOVERY_STEPS_MS, 0), ABSENT_WAIT_MS)
}

/** @returns all times, with defaults for those that are absent */
export function resolvePromotionTimes (settings: PromotionSettings): PromotionTimes {
  return {
    primarySilentMs: 400,
    orderRetryMs: 500,
    candidateWaitMs: 250,
    promotionTimeoutMs: 4000,
    minElectionIntervalMs: 300,
    switchoverTimeoutMs: 1500,
    positionQueryIntervalMs: 60,
    firstStartWaitMs: 4000,
    endedWaitMs: 10_000,
    absentWaitMs: ABSENT_WAIT_MS,
    endedSilenceMs: 10_000,
    unseenWaitMs: 8500,
    ...settings
  }
}
