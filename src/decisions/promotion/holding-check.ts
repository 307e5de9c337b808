import type { EndedDatabase } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import { latest } from '../../types/clock.js'
import type { Address, DatabaseId } from '../../types/ids.js'
import { isAtOrPast } from '../../types/log-position.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'
import { findMember } from '../failover/group-view.js'
import type { GroupMember } from '../failover/group-view.js'
import { findLastSign, findMemberRecord, isRecordedAbsent, isSilentFor } from './database-absence.js'
import type { PromotionContext } from './promotion-context.js'
import { addOrder } from './promotion-context.js'
import type { HoldingCheck } from './promotion-step.js'

/** A database whose log another replica may hold as well. */
interface StoppedDatabase {
  database: DatabaseId
  address: Address
  /** Last sign of life, or start of this leader without one. */
  lastSignAt: Milliseconds
  /** When the last status query failed in a way that shows the end of the database; absent: none has. */
  stoppedAt: Milliseconds | undefined
}

/**
 * Records databases as ended or absent once elections can do without their logs: another replica holds everything that they held, or they
 * have been gone for too long. Called while the group serves, so that the records outlive this leader.
 */
export function checkHoldings (context: PromotionContext): void {
  const { view, record, endedDatabases, waitsForReplicas } = context
  if (!waitsForReplicas) return
  const missing = view.members.filter((member) => isMissing(context, member))
  const names = new Set([...missing.map(({ database }) => database), ...endedDatabases.map(({ announcement }) => announcement.database)])
  for (const ended of endedDatabases) checkEnded(context, ended)
  for (const member of missing) checkMissing(context, member)
  for (const database of record.holdingChecks.keys()) if (!names.has(database)) finishCheck(context, database)
}

/** @returns whether a replica has given this leader no sign, or none for two announcement intervals */
function isMissing (context: PromotionContext, member: GroupMember): boolean {
  if (member.database === context.view.replicated.primary) return false
  const lastSignAt = findLastSign(context, member)
  return lastSignAt === null || context.view.now - lastSignAt >= context.times.announcementMs * 2
}

function checkEnded (context: PromotionContext, { announcement: { database, address }, endedAt }: EndedDatabase): void {
  const { record } = context
  const lastSignAt = latest(endedAt, record.statuses.get(database)?.requestedAt ?? endedAt)
  // It has announced its end, so any failure to answer shows it.
  const result = advanceCheck(context, { database, address, lastSignAt, stoppedAt: record.unreachableAt.get(database) })
  const known = context.findRecord((candidate) => candidate.database === database)
  if (result === 'waiting' || known === undefined) return
  if (result === 'held' || !isSuccessorExpected(context, endedAt)) context.effects.push({ kind: 'record', database: { ...known, state: 'gone' } })
}

function checkMissing (context: PromotionContext, member: GroupMember): void {
  const { view, record, times, effects } = context
  const { database, address } = member
  const known = findMemberRecord(context, member)
  const lastSignAt = findLastSign(context, member) ?? view.leadership.since
  if (known === undefined) return
  if (isRecordedAbsent(context, member)) {
    if (!record.holdingChecks.has(database)) findOrCreateCheck(context, database, lastSignAt)
    return
  }
  if (known.absent === true) return recordPresence(context, known)
  // A replica that only control can't reach may still receive, and the primary may acknowledge commits because of it.
  const notRunningAt = record.notRunningAt.get(database)
  const hasEnded = notRunningAt !== undefined && notRunningAt - lastSignAt >= times.endedSilenceMs
  const result = advanceCheck(context, { database, address, lastSignAt, stoppedAt: hasEnded ? notRunningAt : undefined })
  if (result === 'waiting' || !(result === 'held' || isSilentFor(context, member, times.absentWaitMs))) return
  effects.push({ kind: 'record', database: { ...known, absent: true } })
  effects.push({ kind: 'log', name: 'databaseAbsent', details: { group: view.group, database, heldByReplica: result === 'held' } })
}

/** Ends the check of a database that has given a sign or left the group. */
function finishCheck (context: PromotionContext, database: DatabaseId): void {
  const member = findMember(context.view, database)
  const known = member === undefined ? undefined : findMemberRecord(context, member)
  if (known?.absent === true) recordPresence(context, known)
  else context.record.holdingChecks.delete(database)
}

function recordPresence ({ view, record, times, effects }: PromotionContext, known: DatabaseRecord): void {
  const check = record.holdingChecks.get(known.database)
  if (check !== undefined && view.now - check.queriedAt < times.orderRetryMs) return
  if (check !== undefined) check.queriedAt = view.now
  const { absent, ...present } = known
  effects.push({ kind: 'record', database: present })
}

function findOrCreateCheck ({ view, record }: PromotionContext, database: DatabaseId, lastSignAt: Milliseconds): HoldingCheck {
  const since = latest(record.serving?.since ?? view.now, lastSignAt)
  const last = record.holdingChecks.get(database)
  if (last !== undefined && last.since >= since) return last
  const check: HoldingCheck = { since, stoppedAt: null, primaryPosition: null, queriedAt: -Infinity as Milliseconds }
  record.holdingChecks.set(database, check)
  return check
}

/**
 * Queries a database until it is found to have stopped, and then the members of its group.
 * @returns `held` if a replica holds everything that the database can hold, `waiting` between two queries
 */
function advanceCheck (context: PromotionContext, { database, address, lastSignAt, stoppedAt }: StoppedDatabase): 'waiting' | 'held' | 'not-held' {
  const { view, times } = context
  const check = findOrCreateCheck(context, database, lastSignAt)
  if (view.now - check.queriedAt < times.orderRetryMs) return 'waiting'
  check.queriedAt = view.now
  if (stoppedAt !== undefined && stoppedAt > check.since) check.stoppedAt ??= view.now
  const queried = check.stoppedAt === null ? [{ database, address }] : view.members.filter((member) => !isMissing(context, member))
  for (const target of queried) addOrder(context, target, { kind: 'status' })
  return check.stoppedAt !== null && isHeldByReplica(context, check, check.stoppedAt) ? 'held' : 'not-held'
}

function isHeldByReplica ({ view, record }: PromotionContext, check: HoldingCheck, stoppedAt: Milliseconds): boolean {
  const { primary } = view.replicated
  const statuses = view.members.flatMap(({ database }) => record.statuses.get(database) ?? []).filter(({ requestedAt }) => requestedAt >= stoppedAt)
  const leading = statuses.find(({ status }) => status.database === primary && status.role === 'primary')?.status
  if (leading === undefined) return false
  check.primaryPosition ??= leading.position
  const required = check.primaryPosition
  // A former primary may have a further position in a history that a promotion has cut off; it still reports the earlier promotion.
  return statuses.some(({ status }) => status.role === 'replica' && status.term === leading.term && isAtOrPast(status.position, required))
}

/** @returns whether a database with the log of one that ended at this time may still start */
export function isSuccessorExpected ({ view, times }: PromotionContext, endedAt: Milliseconds): boolean {
  return view.now - endedAt < times.endedWaitMs
}
