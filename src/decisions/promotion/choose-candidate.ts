import { compareLogPositions } from '../../types/log-position.js'
import type { DatabaseId } from '../../types/ids.js'
import type { GroupMember } from '../failover/group-view.js'
import type { KnownStatus, PromotionPlan } from './promotion-step.js'

/** A database that has reported its position in this election. */
export interface Candidate {
  member: GroupMember
  known: KnownStatus
}

/**
 * Chooses the database to promote.
 *
 * Only databases with the history of the newest promotion are eligible. A former primary keeps the commits that a promotion has cut
 * off until it reaches its successor, so its offset can be the highest although its history has ended.
 *
 * Where commits wait for replicas, the database with the furthest position goes first, because only that one surely has every
 * acknowledged commit. Elsewhere a database with a weight above 0 goes first: a commit that only the lost primary has is lost in any
 * case, and a primary of weight 0 would serve no requests.
 * @param candidates - databases with known positions
 * @param plan - the election; a lost primary and the primary of a planned switchover are excluded
 * @param waitsForReplicas - whether the databases acknowledge a commit only after a replica has received it
 * @returns the database to promote, or undefined if no candidate is eligible
 */
export function chooseCandidate (candidates: readonly Candidate[], plan: PromotionPlan, waitsForReplicas: boolean): DatabaseId | undefined {
  const isPrimaryExcluded = plan.cause === 'lost' || plan.cause === 'planned'
  const notExcluded = candidates.filter(({ member }) => !isPrimaryExcluded || member.database !== plan.oldPrimary)
  const newestTerm = Math.max(...notExcluded.map(({ known }) => known.status.term))
  const eligible = notExcluded.filter(({ known }) => known.status.term === newestTerm)
  const running = eligible.find(({ member, known }) => known.status.role === 'primary' && member.weight > 0)
  // A promotion that an earlier leader ordered has taken effect; promoting another database would only interrupt writes again.
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
