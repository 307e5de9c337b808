import type { ControlMember } from '../../types/consensus-entry.js'
import type { Address, MemberId } from '../../types/ids.js'

/** A member that asked to join. */
export interface JoinRequest {
  member: MemberId
  address: Address
}

/** `silent`: has not answered for the learner timeout. */
export type LearnerCondition = 'caught-up' | 'behind' | 'silent'

/** A change of one member. Memberships that differ by one voter have majorities that overlap. */
export type MembershipChange =
  | { kind: 'add-learner', member: ControlMember }
  | { kind: 'add-voter', member: ControlMember }
  | { kind: 'remove', member: ControlMember }

/**
 * Chooses the next change of one member. A replaced member is removed only after its successor became a voter.
 * @param members - newest membership, all of it committed
 * @param joins - requests of members that are not in it
 * @param conditionOf - how a learner is doing
 * @returns null when nothing is to be changed
 */
export function nextMembershipChange (members: readonly ControlMember[], joins: readonly JoinRequest[], conditionOf: (member: MemberId) => LearnerCondition): MembershipChange | null {
  const replaced = members.find((member, position) => isReplaced(member, members.slice(position + 1)))
  if (replaced !== undefined) return { kind: 'remove', member: replaced }

  // A late probe of a removed member can add it again. A learner that is alive asks to join once more.
  const learners = members.filter((member) => member.role === 'learner')
  const silent = learners.find((member) => conditionOf(member.member) === 'silent')
  if (silent !== undefined) return { kind: 'remove', member: silent }

  const ready = learners.find((member) => conditionOf(member.member) === 'caught-up')
  if (ready !== undefined) return { kind: 'add-voter', member: { ...ready, role: 'voter' } }

  const join = joins[0]
  if (join === undefined) return null
  // A learner whose folder was emptied before it became a voter counted for nothing.
  const staleLearner = learners.find((member) => member.address === join.address)
  if (staleLearner !== undefined) return { kind: 'remove', member: staleLearner }
  return { kind: 'add-learner', member: { ...join, role: 'learner' } }
}

function isReplaced (member: ControlMember, later: readonly ControlMember[]): boolean {
  return later.some((successor) => successor.role === 'voter' && successor.address === member.address)
}

/** @returns the membership after a change */
export function changeMembers (members: readonly ControlMember[], change: MembershipChange): ControlMember[] {
  const others = members.filter((member) => member.member !== change.member.member)
  return change.kind === 'remove' ? others : [...others, change.member]
}
