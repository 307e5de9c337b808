import { beginElection } from './election.js'
import type { GroupContext } from './group-context.js'
import { groupMajority } from '../../utils/group-majority.js'
import type { ElectionPlan } from './group-step.js'
import { findHighestTerm } from './group-view.js'
import type { GroupMember, GroupView } from './group-view.js'

/**
 * Begins the election of a group's first primary once a majority of its databases is known (see `ASSUMED_GROUP_SIZE`).
 * A primary that already runs under the highest term of that majority is adopted with its term: only the control leader orders
 * promotions, so no newer primary can exist. Otherwise a primary is elected after `firstStartWaitMs`, in which a running primary can
 * still announce itself.
 */
export function startGroupIfReady (context: GroupContext): void {
  const { view, record, options } = context
  if (view.members.length < groupMajority(view.members.length)) return
  record.majorityKnownAt ??= view.now
  const running = findRunningPrimary(view)
  if (running !== undefined) return beginElection(context, { ...createFirstStartPlan(), adoptedPrimary: running.database }, running.registered.status.term)
  if (view.now - record.majorityKnownAt >= options.firstStartWaitMs) beginElection(context, createFirstStartPlan())
}

function findRunningPrimary (view: GroupView): GroupMember | undefined {
  const highest = findHighestTerm(view)
  // The replicated log accepts only a term above its own.
  if (highest <= view.replicated.term) return undefined
  return view.members.find(({ registered: { announcement: { status } } }) => status.role === 'primary' && status.term === highest)
}

function createFirstStartPlan (): ElectionPlan {
  return { cause: 'first', oldTerm: 0, oldPrimary: null, preferredTarget: null, adoptedPrimary: null, gapStartedAt: null, stop: null }
}
