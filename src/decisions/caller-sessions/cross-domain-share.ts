/**
 * Share of a group's reads that leave their failure domain. It handles the load that one failure domain can't serve while others can: a
 * database that is slow, has too little capacity, or gets the callers of another failure domain.
 */

/** Largest change of the share in one step: the share moves from 0 to 1 within 2.5 s at steps of 250 ms. */
const MAX_STEP = 0.1
/** Part of the unloaded response time by which leaving must be quicker before the share rises. The response times of few reads vary by about a third. */
const RISE_MARGIN_PART = 0.5
/** Part of the margin for rising below which the share falls. Between the two it stays. */
const FALL_MARGIN_PART = 0.5
/** Smallest margin for rising in milliseconds: the resolution of measured times on a busy process. */
const MIN_RISE_MARGIN_MS = 2
/** Part of the objective of a read within which it should begin. */
const BEGIN_PART = 0.25
/** A smaller share is 0, so that the share returns to it. */
const MIN_SHARE = 0.001

/** Measured inputs of one step. All times are in milliseconds. */
export interface ShareInputs {
  /** Expected time of a read at the best database of the own failure domain; null when there is none that may serve it. */
  ownMs: number | null
  /** Expected time of a read at the best database elsewhere, with the round trip; null when there is none. */
  otherMs: number | null
  /** Response time of an unloaded database of the group. */
  unloadedMs: number
  /** Time that a read must gain by leaving. */
  priceMs: number
}

/** @returns margin in milliseconds by which leaving must be quicker, beyond the price, before the share rises */
export function computeRiseMarginMs (unloadedMs: number): number {
  return Math.max(MIN_RISE_MARGIN_MS, unloadedMs * RISE_MARGIN_PART)
}

/**
 * Computes the share after one step. Steps shrink as the gain approaches its threshold: a change of the whole share could turn the gain
 * into a loss of the same size, so a step in proportion to the distance stays below the change that reverses the comparison.
 */
export function stepShare (share: number, { ownMs, otherMs, unloadedMs, priceMs }: ShareInputs): number {
  // Without a database of its own, the failure domain has no choice that a share could express.
  if (ownMs === null) return lower(share, MAX_STEP)
  if (otherMs === null) return lower(share, MAX_STEP)
  const riseMarginMs = computeRiseMarginMs(unloadedMs)
  const fallMarginMs = riseMarginMs * FALL_MARGIN_PART
  const gainMs = ownMs - otherMs - priceMs
  if (gainMs > riseMarginMs) return Math.min(1, share + MAX_STEP * Math.min(1, (gainMs - riseMarginMs) / Math.max(ownMs - unloadedMs, riseMarginMs)))
  if (gainMs >= fallMarginMs) return share
  const loadMs = Math.max(ownMs, otherMs) - unloadedMs
  return lower(share, MAX_STEP * Math.min(1, (fallMarginMs - gainMs) / Math.max(loadMs, fallMarginMs)))
}

/**
 * Computes which part of the reads the own failure domain lacks the capacity for. Such reads leave in addition to the share, which takes
 * seconds to rise. The part grows from 0, at a wait of a quarter of the objective, to 1, at half of it, so that it doesn't change abruptly.
 * @param objectiveMs - time in milliseconds within which the caller wants the answer
 */
export function computeOverflow ({ ownMs, otherMs, unloadedMs, priceMs }: ShareInputs, objectiveMs: number): number {
  if (ownMs === null || otherMs === null || ownMs - otherMs <= priceMs) return 0
  const beginMs = objectiveMs * BEGIN_PART
  return Math.min(1, Math.max(0, (ownMs - unloadedMs - beginMs) / beginMs))
}

function lower (share: number, step: number): number {
  const next = share - step
  return next < MIN_SHARE ? 0 : next
}
