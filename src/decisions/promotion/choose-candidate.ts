import { compareLogPositions } from '../../types/log-position.js'
import type { DatabaseId } from '../../types/ids.js'
import type { GroupMember } from '../failover/group-view.js'
import type { KnownStatus, PromotionPlan } from './promotion-step.js'

/** A database whose position is known. */
export interface Candidate {
  member: GroupMember
  known: KnownStatus
}

/**
 * Chooses the database to be promoted.
 *
 * Where commits wait for replicas, the one that has received most comes first, as only it is sure to hold every acknowledged commit.
 * Elsewhere a database that may get work comes first: a commit that only the lost primary holds is lost in any case, and a primary
 * that may get no work serves nobody.
 * @param waitsForReplicas - whether the databases acknowledge a commit only after a replica has received it
 */
export function chooseCandidate (candidates: readonly Candidate[], plan: PromotionPlan, waitsForReplicas: boolean): DatabaseId | undefined {
  const isPrimaryExcluded = plan.cause === 'lost' || plan.cause === 'planned'
  const eligible = candidates.filter(({ member }) => !isPrimaryExcluded || member.database !== plan.oldPrimary)
  const running = eligible.find(({ member, known }) => known.status.role === 'primary' && member.weight > 0)
  // A promotion of an earlier leader has been carried out; a further change would only cost another gap.
  if (running !== undefined && plan.cause !== 'planned') return running.member.database
  const ordered = [...eligible].sort((left, right) => compareCandidates(left, right, plan, waitsForReplicas))
  return ordered[0]?.member.database
}

function compareCandidates (left: Candidate, right: Candidate, plan: PromotionPlan, waitsForReplicas: boolean): number {
  const positionOrder = compareLogPositions(right.known.status.position, left.known.status.position)
  if (waitsForReplicas && positionOrder !== 0) return positionOrder
  const weightOrder = Number(right.member.weight > 0) - Number(left.member.weight > 0)
  if (weightOrder !== 0) return weightOrder
  if (positionOrder !== 0) return positionOrder
  const preferenceOrder = Number(right.member.database === plan.preferredTarget) - Number(left.member.database === plan.preferredTarget)
  if (preferenceOrder !== 0) return preferenceOrder
  return left.member.database < right.member.database ? -1 : 1
}
