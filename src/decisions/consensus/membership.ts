import type { ControlMember } from '../../types/consensus-entry.js'
import type { Address, MemberId } from '../../types/ids.js'

/** A member that asked to join. */
export interface JoinRequest {
  member: MemberId
  address: Address
}

/** A change of one member. Memberships that differ by one voter have majorities that overlap. */
export type MembershipChange =
  | { kind: 'add-learner', member: ControlMember }
  | { kind: 'add-voter', member: ControlMember }
  | { kind: 'remove', member: ControlMember }

/**
 * Chooses the next change of one member. A replaced member is removed only after its successor became a voter.
 * @param members - newest membership, all of it committed
 * @param joins - requests of members that are not in it
 * @param isCaughtUp - whether a learner has the leader's whole log and answers
 * @returns null when nothing is to be changed
 */
export function nextMembershipChange (members: readonly ControlMember[], joins: readonly JoinRequest[], isCaughtUp: (member: MemberId) => boolean): MembershipChange | null {
  const replaced = members.find((member, position) => isReplaced(member, members.slice(position + 1)))
  if (replaced !== undefined) return { kind: 'remove', member: replaced }

  const ready = members.find((member) => member.role === 'learner' && isCaughtUp(member.member))
  if (ready !== undefined) return { kind: 'add-voter', member: { ...ready, role: 'voter' } }

  const join = joins[0]
  if (join === undefined) return null
  // A learner whose folder was emptied before it became a voter counted for nothing.
  const staleLearner = members.find((member) => member.role === 'learner' && member.address === join.address)
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
