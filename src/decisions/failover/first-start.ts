import { beginElection } from './election.js'
import type { GroupContext } from './group-context.js'
import { groupMajority } from '../../utils/group-majority.js'
import type { ElectionPlan } from './group-step.js'
import { highestTerm } from './group-view.js'
import type { GroupMember, GroupView } from './group-view.js'

/**
 * Gives a group its first primary once a majority of its databases is known (see `ASSUMED_GROUP_SIZE`).
 * A primary that already runs under the highest term of that majority is taken over with its term: nobody else orders promotions,
 * so no newer one can exist. Otherwise one is elected, after a wait in which a running primary may still announce itself.
 */
export function mayStartGroup (context: GroupContext): void {
  const { view, record, options } = context
  if (view.members.length < groupMajority(view.members.length)) return
  record.majorityKnownAt ??= view.now
  const running = runningPrimary(view)
  if (running !== undefined) return beginElection(context, { ...firstPlan(), adopted: running.database }, running.registered.status.term)
  if (view.now - record.majorityKnownAt >= options.firstStartWaitMs) beginElection(context, firstPlan())
}

function runningPrimary (view: GroupView): GroupMember | undefined {
  const highest = highestTerm(view)
  if (highest <= view.replicated.term) return undefined
  return view.members.find(({ registered: { announcement: { status } } }) => status.role === 'primary' && status.term === highest)
}

function firstPlan (): ElectionPlan {
  return { cause: 'first', oldTerm: 0, oldPrimary: null, preferred: null, adopted: null, gapSince: null, stop: null }
}
