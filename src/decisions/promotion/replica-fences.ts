import type { Milliseconds } from '../../types/clock.js'
import { findMember } from '../failover/group-view.js'
import type { GroupMember } from '../failover/group-view.js'
import type { Candidate } from './choose-candidate.js'
import { isPositionNeeded, isRecordedAbsent } from './database-absence.js'
import type { PromotionContext, Step } from './promotion-context.js'
import { addOrder } from './promotion-context.js'
import type { PromotionRecord } from './promotion-step.js'

/**
 * Sends the first fence order of an election to each candidate that may still receive from the former primary. The election itself
 * sends later ones after `orderRetryMs`.
 * @returns whether a candidate may still receive
 */
export function fenceReceivingReplicas (context: PromotionContext, step: Step<'electing'>, candidates: readonly Candidate[], releasedAt: Milliseconds): boolean {
  const fenceTerm = computeFenceTerm(context, step, releasedAt)
  if (fenceTerm === null) return false
  const receiving = candidates.map(({ member }) => member).filter((member) => needsFence(context, member, fenceTerm))
  if (!step.fencesOrdered) for (const member of receiving) orderFence(context, member, fenceTerm)
  step.fencesOrdered = true
  return receiving.length > 0
}

/**
 * Computes the term for fence orders. The former primary can acknowledge a commit in flight as long as one replica receives it, so
 * positions are comparable only once no replica receives.
 * @returns a term above the newest promotion; null while a status that the election needs is missing, or if no fence is needed
 */
export function computeFenceTerm (context: PromotionContext, step: Step<'electing'>, releasedAt: Milliseconds): number | null {
  const { view, record, waitsForReplicas } = context
  if (!waitsForReplicas || step.plan.oldTerm === 0) return null
  return computeTermAbove(record, view.members.filter((member) => isPositionNeeded(context, step, member)), releasedAt)
}

/** @returns a term above the newest promotion that the databases know; null while one of them has not answered a query since `since` */
export function computeTermAbove ({ historyTerm, statuses }: PromotionRecord, members: readonly GroupMember[], since: Milliseconds): number | null {
  const known = members.map(({ database }) => statuses.get(database))
  if (known.some((status) => status === undefined || status.requestedAt < since)) return null
  return Math.max(historyTerm, ...known.map((status) => status?.status.term ?? 0)) + 1
}

/** @returns whether the database is a replica that may still receive from the former primary */
export function needsFence ({ record }: PromotionContext, { database }: GroupMember, fenceTerm: number): boolean {
  const status = record.statuses.get(database)?.status
  return status?.role === 'replica' && status.fencedTerm < fenceTerm
}

/** Orders a replica to receive nothing until its fence is lifted after the election. */
export function orderFence (context: PromotionContext, member: GroupMember, term: number): void {
  context.record.fencedDatabases.set(member.database, context.view.now)
  addOrder(context, member, { kind: 'fence', term })
}

/** Sends unfence orders to the databases that an election may have fenced, until they answer. One that is absent gets them once it is back. */
export function liftFences (context: PromotionContext): void {
  const { view, record, times } = context
  for (const [database, orderedAt] of record.fencedDatabases) {
    const member = findMember(view, database)
    if (member === undefined || database === view.replicated.primary) record.fencedDatabases.delete(database)
    else if (!isRecordedAbsent(context, member) && view.now - orderedAt >= times.orderRetryMs) {
      record.fencedDatabases.set(database, view.now)
      addOrder(context, member, { kind: 'unfence' })
    }
  }
}
