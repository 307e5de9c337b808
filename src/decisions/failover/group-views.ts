import type { EntryReader } from '../../blackboard/blackboard.js'
import type { Leadership, RegisteredDatabase, RegisteredInstance } from '../../blackboard/control-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { DatabaseId, GroupId, InstanceId } from '../../types/ids.js'
import type { ReplicatedGroup, ReplicatedState } from '../../types/replicated-state.js'
import type { GroupMember, GroupView } from './group-view.js'

export interface GroupViewSources {
  clock: Clock
  leadership: EntryReader<Leadership | null>
  instances: EntryReader<ReadonlyMap<InstanceId, RegisteredInstance>>
  databases: EntryReader<ReadonlyMap<DatabaseId, RegisteredDatabase>>
  weights: EntryReader<ReadonlyMap<DatabaseId, number>>
  holders: EntryReader<ReadonlyMap<GroupId, readonly InstanceId[]>>
  state: EntryReader<ReplicatedState>
}

/** Reads the state of single groups from the blackboard. */
export interface GroupViews {
  /** Rebuilds the index of databases by group. @returns the groups of the manifest */
  groups: () => GroupId[]
  /** @returns the state of the group, or undefined if the manifest does not name it or this member does not lead */
  viewOf: (group: GroupId) => GroupView | undefined
}

/** Creates the reader. It indexes databases by group, so that a tick over 400 groups does not search 1,200 databases for each group. */
export function createGroupViews (sources: GroupViewSources): GroupViews {
  const replicatedGroups = createGroupIndex(sources.state)
  let members = new Map<GroupId, DatabaseId[]>()
  let indexedDatabaseCount = -1

  function groups (): GroupId[] {
    members = indexMembers(sources.databases.read())
    indexedDatabaseCount = sources.databases.read().size
    return [...replicatedGroups().keys()]
  }

  function viewOf (group: GroupId): GroupView | undefined {
    const leadership = sources.leadership.read()
    const replicated = replicatedGroups().get(group)
    if (leadership === null || replicated === undefined) return undefined
    // A replacement of one database by another leaves the count unchanged. An election must not miss the new one, which may have the log of the old one.
    const isReplaced = (members.get(group) ?? []).some((database) => !sources.databases.read().has(database))
    if (isReplaced || indexedDatabaseCount !== sources.databases.read().size) groups()
    return {
      now: sources.clock.now(),
      leadership,
      group,
      replicated,
      members: (members.get(group) ?? []).flatMap((database) => readMember(database)),
      holders: sources.holders.read().get(group) ?? [],
      instances: sources.instances.read()
    }
  }

  function readMember (database: DatabaseId): GroupMember[] {
    const registered = sources.databases.read().get(database)
    if (registered === undefined) return []
    return [{ database, address: registered.announcement.address, weight: sources.weights.read().get(database) ?? 0, registered }]
  }

  return { groups, viewOf }
}

function indexMembers (databases: ReadonlyMap<DatabaseId, RegisteredDatabase>): Map<GroupId, DatabaseId[]> {
  const index = new Map<GroupId, DatabaseId[]>()
  for (const database of [...databases.keys()].sort()) {
    const group = databases.get(database)?.announcement.group as GroupId
    const members = index.get(group)
    if (members === undefined) index.set(group, [database])
    else members.push(database)
  }
  return index
}

/** @returns a function that returns the groups of the manifest by name; it rebuilds its index when the replicated state changes */
function createGroupIndex (reader: EntryReader<ReplicatedState>): () => ReadonlyMap<GroupId, ReplicatedGroup> {
  let indexed: ReplicatedState | null = null
  let index = new Map<GroupId, ReplicatedGroup>()

  return () => {
    const state = reader.read()
    if (state === indexed) return index
    const known = new Map(state.groups.map((entry) => [entry.group, entry]))
    index = new Map((state.manifest?.groups ?? []).map(({ id }) => [id, known.get(id) ?? { group: id, term: 0, primary: null, phase: 'serving' }]))
    indexed = state
    return index
  }
}
