import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseId } from '../../types/ids.js'
import { isAtOrPast } from '../../types/log-position.js'
import { isAbsent } from './database-absence.js'
import { isSuccessorExpected } from './holding-check.js'
import type { PromotionContext, Step } from './promotion-context.js'
import { computeTermAbove, needsFence, orderFence } from './replica-fences.js'

/**
 * Finds the database that a switchover can promote without the loss of an acknowledged commit.
 * @param releasedAt - when all instances that control reaches had released the term of the primary
 * @returns undefined while there is none; where commits wait for replicas, the others are being fenced then
 */
export function findSafeTarget (context: PromotionContext, step: Step<'switching'>, releasedAt: Milliseconds): DatabaseId | undefined {
  const target = step.confinedTo ?? findCaughtUpTarget(context, step, releasedAt)
  if (target === undefined || !context.waitsForReplicas) return target
  step.confinedTo = target
  return confineReplication(context, step, target, releasedAt) ? target : undefined
}

/** @returns a database that has reached the primary's position after the release of the term, preferably the switchover target */
function findCaughtUpTarget ({ view, record }: PromotionContext, step: Step<'switching'>, releasedAt: Milliseconds): DatabaseId | undefined {
  const primary = record.statuses.get(step.primary)
  if (primary === undefined || primary.requestedAt < releasedAt || primary.status.role !== 'primary') return undefined
  const caughtUpMembers = view.members.filter(({ database, weight }) => {
    const known = record.statuses.get(database)
    return database !== step.primary && weight > 0 && known !== undefined && known.requestedAt >= releasedAt && isAtOrPast(known.status.position, primary.status.position)
  })
  return (caughtUpMembers.find(({ database }) => database === step.target) ?? caughtUpMembers[0])?.database
}

/**
 * Fences all replicas but the target of a switchover. An instance that has not heard of the switchover may go on writing at the primary
 * until another database leads. From then on its commits are acknowledged only once the target has received them.
 * @returns whether the target holds everything that the primary acknowledged, and will hold what it acknowledges from now on
 */
function confineReplication (context: PromotionContext, step: Step<'switching'>, target: DatabaseId, releasedAt: Milliseconds): boolean {
  const { view, record, times } = context
  // A database that has ended can't be fenced and may still receive.
  if (context.endedDatabases.some(({ endedAt }) => isSuccessorExpected(context, endedAt))) return false
  const others = view.members.filter((member) => member.database !== step.primary && member.database !== target && !isAbsent(context, member))
  const fenceTerm = computeTermAbove(record, others, releasedAt)
  if (fenceTerm === null) return false
  for (const member of others) {
    const orderedAt = record.fencedDatabases.get(member.database) ?? -Infinity
    if (needsFence(context, member, fenceTerm) && view.now - orderedAt >= times.orderRetryMs) orderFence(context, member, fenceTerm)
  }
  const targetPosition = record.statuses.get(target)?.status.position
  if (targetPosition === undefined || others.some((member) => needsFence(context, member, fenceTerm))) return false
  return others.every(({ database }) => {
    const position = record.statuses.get(database)?.status.position
    return position !== undefined && isAtOrPast(targetPosition, position)
  })
}
