import type { EndedDatabase } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import { isAtOrPast } from '../../types/log-position.js'
import type { PromotionContext } from './promotion-context.js'
import { addOrder } from './promotion-context.js'
import type { HoldingCheck } from './promotion-step.js'

/**
 * Records the end of databases once an election can do without their logs: another replica holds everything that they held, or no
 * database with such a log has started at their addresses within `endedWaitMs`. Called while the group serves.
 */
export function checkHoldings (context: PromotionContext): void {
  const { view, record, times, endedDatabases } = context
  if (endedDatabases.length === 0) {
    record.holdingCheck = null
    return
  }
  const since = Math.max(record.serving?.since ?? view.now, ...endedDatabases.map((ended) => findLastSign(context, ended))) as Milliseconds
  if (record.holdingCheck === null || record.holdingCheck.since < since) record.holdingCheck = { since, unreachableAt: null, primaryPosition: null, queriedAt: -Infinity as Milliseconds }
  const check = record.holdingCheck
  if (view.now - check.queriedAt < times.orderRetryMs) return
  check.queriedAt = view.now
  const areUnreachable = endedDatabases.every(({ announcement }) => (record.unreachableAt.get(announcement.database) ?? -Infinity) > since)
  if (areUnreachable) check.unreachableAt ??= view.now
  recordEnds(context, check.unreachableAt !== null && isHeldByReplica(context, check, check.unreachableAt))
  const ended = endedDatabases.map(({ announcement: { database, address } }) => ({ database, address }))
  for (const queried of check.unreachableAt === null ? ended : view.members) addOrder(context, queried, { kind: 'status' })
}

/** @returns when an ended database last gave a sign of life */
function findLastSign ({ record }: PromotionContext, { announcement, endedAt }: EndedDatabase): number {
  return Math.max(endedAt, record.statuses.get(announcement.database)?.requestedAt ?? -Infinity)
}

function isHeldByReplica ({ view, record }: PromotionContext, check: HoldingCheck, unreachableAt: Milliseconds): boolean {
  const { primary } = view.replicated
  const statuses = view.members.flatMap(({ database }) => record.statuses.get(database) ?? []).filter(({ requestedAt }) => requestedAt >= unreachableAt)
  const leading = statuses.find(({ status }) => status.database === primary && status.role === 'primary')?.status
  if (leading === undefined) return false
  check.primaryPosition ??= leading.position
  const required = check.primaryPosition
  // A former primary may have a further position in a history that a promotion has cut off; it still reports the earlier promotion.
  return statuses.some(({ status }) => status.role === 'replica' && status.term === leading.term && isAtOrPast(status.position, required))
}

function recordEnds (context: PromotionContext, isHeld: boolean): void {
  for (const ended of context.endedDatabases) {
    const known = context.findRecord(({ database }) => database === ended.announcement.database)
    if (known !== undefined && (isHeld || !isSuccessorExpected(context, ended.endedAt))) context.effects.push({ kind: 'record', database: { ...known, state: 'gone' } })
  }
}

/** @returns whether a database with the log of one that ended at this time may still start */
export function isSuccessorExpected ({ view, times }: PromotionContext, endedAt: Milliseconds): boolean {
  return view.now - endedAt < times.endedWaitMs
}
