import type { SessionEndpoint } from '../../types/manifest.js'
import type { Random } from '../../utils/create-random.js'

/**
 * Part of the objective for which an operation may wait for room: a slot or a connection of a database. One that waits longer would most
 * likely miss its objective, and its caller can still repeat it within the time budget.
 */
const HOLD_OBJECTIVE_PART = 0.25
/** Shortest stated time until there is room, in milliseconds: a round trip of the caller. */
const MIN_RETRY_MS = 10
/**
 * Retry time while a group has no primary, in milliseconds. Such an operation occupies no slot and no connection while it waits, and a
 * repetition waits as well. So the right time to come back is soon: an operation that returned only at the expected end of a change of
 * 1.5 to 4 s would exceed the time budget of its caller more often.
 */
const NO_PRIMARY_RETRY_MS = 100

/** Refuses what finds no room at the databases within a part of its objective, in place of holding it until its statement timeout. */
export interface BoundedHolding {
  /** Spreads the retry times, so that the callers that were refused together don't return together. */
  random: Random
}

/** @returns longest wait of an operation for room at the databases, in milliseconds */
export function computeHoldLimitMs ({ objectiveMs }: Pick<SessionEndpoint, 'objectiveMs'>): number {
  return objectiveMs * HOLD_OBJECTIVE_PART
}

/** @returns retry time for a refusal for want of room, in milliseconds: the expected time until there is room, and a random part of the same length */
export function computeRetryAfterMs (expectedWaitMs: number, { random }: BoundedHolding): number {
  return Math.ceil(Math.max(MIN_RETRY_MS, expectedWaitMs) * (1 + random()))
}

/** @returns retry time for an operation that waited for a primary, in milliseconds */
export function computeNoPrimaryRetryMs (holding: BoundedHolding): number {
  return computeRetryAfterMs(NO_PRIMARY_RETRY_MS, holding)
}
