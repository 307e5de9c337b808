import type { Leadership, RegisteredDatabase, RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { Address, DatabaseId, GroupId, InstanceId } from '../../types/ids.js'
import type { ReplicatedGroup } from '../../types/replicated-state.js'

/** A database of the group that has announced itself. */
export interface GroupMember {
  database: DatabaseId
  address: Address
  weight: number
  registered: RegisteredDatabase
}

/** State of one group, read from the blackboard at one moment. */
export interface GroupView {
  now: Milliseconds
  leadership: Leadership
  group: GroupId
  replicated: ReplicatedGroup
  /** Ordered by name. */
  members: readonly GroupMember[]
  holders: readonly InstanceId[]
  instances: ReadonlyMap<InstanceId, RegisteredInstance>
}

/** @returns the database of that name, or undefined if it has not announced itself */
export function findMember (view: GroupView, database: DatabaseId | null): GroupMember | undefined {
  return view.members.find((member) => member.database === database)
}

/** @returns the highest term in the replicated log and in the statuses of the group's databases, fences included */
export function findHighestTerm (view: GroupView): number {
  const terms = view.members.flatMap(({ registered: { status } }) => [status.term, status.fencedTerm])
  return Math.max(view.replicated.term, ...terms)
}
