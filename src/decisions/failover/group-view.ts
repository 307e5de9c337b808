import type { Leadership, RegisteredDatabase, RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { Address, DatabaseId, GroupId, InstanceId } from '../../types/ids.js'
import type { ReplicatedGroup } from '../../types/replicated-state.js'

/** A database of the group that announced itself. */
export interface GroupMember {
  database: DatabaseId
  address: Address
  weight: number
  registered: RegisteredDatabase
}

/** What the failover of one group reads from the blackboard at one moment. */
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

/** @returns the member of that name, if it announced itself */
export function memberOf (view: GroupView, database: DatabaseId | null): GroupMember | undefined {
  return view.members.find((member) => member.database === database)
}

/** @returns the highest term that the log or any known database of the group has seen */
export function highestTerm (view: GroupView): number {
  const terms = view.members.flatMap(({ registered: { status } }) => [status.term, status.fencedTerm])
  return Math.max(view.replicated.term, ...terms)
}
