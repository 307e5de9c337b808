import type { Milliseconds } from '../../types/clock.js'
import { memberOf } from '../failover/group-view.js'
import type { GroupMember } from '../failover/group-view.js'
import type { Candidate } from './choose-candidate.js'
import type { PromotionContext, Step } from './promotion-context.js'
import { isLostPrimary, order } from './promotion-context.js'

/** @returns whether a replica may still receive; those that were not told to stop are told at once */
export function needsFences (context: PromotionContext, step: Step<'electing'>, candidates: readonly Candidate[], releasedAt: Milliseconds): boolean {
  const fenceTerm = fenceTermOf(context, step, releasedAt)
  if (fenceTerm === null) return false
  const receiving = candidates.map(({ member }) => member).filter((member) => mustFence(context, member, fenceTerm))
  if (!step.fencesOrdered) for (const member of receiving) fence(context, member, fenceTerm)
  step.fencesOrdered = true
  return receiving.length > 0
}

/**
 * A commit that is under way at the old primary can be acknowledged as long as one replica receives it, so positions count only
 * once none does.
 * @returns term above the newest that any database of the group knows, or null while it is not known or no fence is needed
 */
export function fenceTermOf ({ view, record, waitsForReplicas }: PromotionContext, step: Step<'electing'>, releasedAt: Milliseconds): number | null {
  if (!waitsForReplicas || step.plan.oldTerm === 0) return null
  const statuses = view.members.filter((member) => !isLostPrimary(step, member)).map(({ database }) => record.statuses.get(database))
  if (statuses.some((known) => known === undefined || known.askedAt < releasedAt)) return null
  return Math.max(...statuses.map((known) => known?.status.term ?? 0)) + 1
}

/** @returns whether the database is a replica that may still receive */
export function mustFence ({ record }: PromotionContext, { database }: GroupMember, fenceTerm: number): boolean {
  const status = record.statuses.get(database)?.status
  return status?.role === 'replica' && status.fencedTerm < fenceTerm
}

/** Tells a replica to receive nothing more until the election is over. */
export function fence (context: PromotionContext, member: GroupMember, term: number): void {
  context.record.fenced.set(member.database, context.view.now)
  order(context, member, { kind: 'fence', term })
}

/** Lets databases receive again that an election has fenced. */
export function liftFences (context: PromotionContext): void {
  const { view, record, times } = context
  for (const [database, toldAt] of record.fenced) {
    const member = memberOf(view, database)
    if (member === undefined || database === view.replicated.primary) record.fenced.delete(database)
    else if (view.now - toldAt >= times.orderRetryMs) {
      record.fenced.set(database, view.now)
      order(context, member, { kind: 'unfence' })
    }
  }
}
