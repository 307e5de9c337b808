import type { Milliseconds } from '../../types/clock.js'
import { latest } from '../../types/clock.js'
import type { DatabaseId } from '../../types/ids.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'
import type { GroupMember } from '../failover/group-view.js'
import type { PromotionContext, Step } from './promotion-context.js'

/** @returns when a database last gave this leader a sign of life; null if it has given none. What earlier leaders recorded is no sign. */
export function findLastSign ({ record }: PromotionContext, { database, registered: { announcement, announcedAt, statusAt } }: GroupMember): Milliseconds | null {
  const answeredAt = record.statuses.get(database)?.requestedAt
  const isRestored = (announcement.run?.sequence ?? 0) < 0
  const hasOnlyRestoredStatus = isRestored && statusAt === announcedAt
  const signs = [...(isRestored ? [] : [announcedAt]), ...(hasOnlyRestoredStatus ? [] : [statusAt]), ...(answeredAt === undefined ? [] : [answeredAt])]
  const [first, ...others] = signs
  return first === undefined ? null : latest(first, ...others)
}

/** @returns the record of the announced incarnation in the replicated log */
export function findMemberRecord ({ findRecord }: PromotionContext, { database, registered }: GroupMember): DatabaseRecord | undefined {
  return findRecord((known) => known.database === database && known.startedAt === registered.announcement.run?.startedAt)
}

/** @returns whether the replicated log says that elections can do without a database, and it has given no sign since */
export function isRecordedAbsent (context: PromotionContext, member: GroupMember): boolean {
  if (findMemberRecord(context, member)?.absent !== true) return false
  const lastSignAt = findLastSign(context, member)
  return lastSignAt === null || (context.record.holdingChecks.get(member.database)?.since ?? -Infinity) >= lastSignAt
}

/** @returns whether a status query of a database has failed since this time because it gave no answer */
export function isUnreachableSince ({ record }: PromotionContext, database: DatabaseId, since: number): boolean {
  return (record.unreachableAt.get(database) ?? -Infinity) > since
}

/** @returns whether a database has given this leader no sign for a time in milliseconds, and does not answer */
export function isSilentFor (context: PromotionContext, member: GroupMember, durationMs: number): boolean {
  const { view } = context
  const silentSince = findLastSign(context, member) ?? view.leadership.since
  return view.now - silentSince >= durationMs && isUnreachableSince(context, member.database, silentSince)
}

/** @returns whether a database does not answer, and elections can do without its position or it has given no sign for too long */
export function isAbsent (context: PromotionContext, member: GroupMember): boolean {
  const { times } = context
  const limitMs = findLastSign(context, member) === null ? times.unseenWaitMs : times.absentWaitMs
  return isSilentFor(context, member, isRecordedAbsent(context, member) ? 0 : limitMs)
}

/**
 * Whether an election needs the position of a database, where commits wait for replicas. Every commit that the former primary acknowledged
 * is in the log of a replica. A database that has been absent for too long counts as lost for good.
 */
export function isPositionNeeded (context: PromotionContext, { plan }: Step<'electing'>, member: GroupMember): boolean {
  return member.database !== plan.oldPrimary && !isAbsent(context, member)
}
