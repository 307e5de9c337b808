import type { FailoverOptions } from '../failover/failover-options.js'

/** Times of the promotion by an external authority, in milliseconds. */
export interface PromotionTimes {
  /** Time after which a freshness lease of any instance has run out. */
  leaseEndMs: number
  /** Longest pause between two announcements of a database that runs. */
  announcementMs: number
  /** Silence of a primary towards most instances after which it is replaced. Default 400: several tries to connect, or several statements of usual length. */
  primarySilentMs: number
  /** An order without an answer is given again after this time. Default 500. */
  orderRetryMs: number
  /** How long an election waits for the positions of further databases after the first answer. Default 250. */
  candidateWaitMs: number
  /** An accepted promotion that shows no effect for this long is replaced by a new election. Default 4000. */
  promotionTimeoutMs: number
  /** Least time between two elections of a group. Default 300. */
  minElectionIntervalMs: number
  /** Longest wait of a planned change for running transactions, and again for the target to catch up. Default 1500. */
  switchoverTimeoutMs: number
  /** Interval of position queries. Default 60. */
  positionQueryIntervalMs: number
  /** How long the first start of a group waits for a running primary to announce itself. Default 4000. */
  firstStartWaitMs: number
}

/** Times that have a default. */
export type PromotionSettings = Pick<PromotionTimes, 'leaseEndMs' | 'announcementMs'> & Partial<PromotionTimes>

export interface PromotionOptions extends Pick<FailoverOptions, 'blackboard' | 'clock'> {
  times: PromotionSettings
}

/** @returns all times, with defaults filled in */
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
    ...settings
  }
}
