import type { ControlMember } from '../../types/consensus-entry.js'
import type { Address, MemberId } from '../../types/ids.js'

/** A member that requested to join. */
export interface JoinRequest {
  member: MemberId
  address: Address
}

/** `silent`: the learner has not answered for the learner timeout. */
export type LearnerCondition = 'caught-up' | 'behind' | 'silent'

/** A change of one member. Two memberships that differ by one voter have overlapping majorities. */
export type MembershipChange =
  | { kind: 'add-learner', member: ControlMember }
  | { kind: 'add-voter', member: ControlMember }
  | { kind: 'remove', member: ControlMember }

/**
 * Selects the next change of one member. A replaced member is removed only after its successor became a voter.
 * @param members - newest membership; its log entry must be committed
 * @param joinRequests - join requests of members that are not in the membership
 * @param conditionOf - condition of a learner
 * @returns null when no change is needed
 */
export function selectMembershipChange (members: readonly ControlMember[], joinRequests: readonly JoinRequest[], conditionOf: (member: MemberId) => LearnerCondition): MembershipChange | null {
  const replaced = members.find((member, position) => isReplaced(member, members.slice(position + 1)))
  if (replaced !== undefined) return { kind: 'remove', member: replaced }

  // A delayed probe can add a removed member again as a learner, which then never answers. A learner that still runs can request to join again.
  const learners = members.filter((member) => member.role === 'learner')
  const unresponsive = learners.find((member) => conditionOf(member.member) === 'silent')
  if (unresponsive !== undefined) return { kind: 'remove', member: unresponsive }

  const caughtUp = learners.find((member) => conditionOf(member.member) === 'caught-up')
  if (caughtUp !== undefined) return { kind: 'add-voter', member: { ...caughtUp, role: 'voter' } }

  const request = joinRequests[0]
  if (request === undefined) return null
  // The learner at this address lost its folder before it became a voter. No majority depends on its log, so it can be removed at once.
  const staleLearner = learners.find((member) => member.address === request.address)
  if (staleLearner !== undefined) return { kind: 'remove', member: staleLearner }
  return { kind: 'add-learner', member: { ...request, role: 'learner' } }
}

function isReplaced (member: ControlMember, laterMembers: readonly ControlMember[]): boolean {
  return laterMembers.some((successor) => successor.role === 'voter' && successor.address === member.address)
}

/** @returns the membership after a change */
export function applyMembershipChange (members: readonly ControlMember[], change: MembershipChange): ControlMember[] {
  const others = members.filter((member) => member.member !== change.member.member)
  return change.kind === 'remove' ? others : [...others, change.member]
}
