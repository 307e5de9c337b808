import type { Blackboard } from '../../blackboard/blackboard.js'
import {
  databaseWeightsEntry, connectionHoldersEntry, leadershipEntry, publishedDirectoryEntry, registeredDatabasesEntry, registeredInstancesEntry,
  replicatedStateEntry, switchingGroupsEntry
} from '../../blackboard/control-instance-entries.js'
import type { Directory, DirectoryDatabase, DirectoryGroup, DirectoryInstance } from '../../types/directory.js'
import type { Address, GroupId } from '../../types/ids.js'

export interface DirectoryBuilderOptions {
  blackboard: Blackboard
  /** @returns addresses of the control members that are not in the settings of the instances. Default: none. */
  controlMembers?: () => Address[]
}

/** Builds the directory that the leader publishes to every instance. */
export interface DirectoryBuilder {
  /**
   * Builds the directory from the blackboard. The version advances only when the content differs from the published one.
   * @returns the new directory, or null if its content did not change or this member does not lead
   */
  build: () => Directory | null
  /** Clears the published directory. The coordinator calls it at each change of leadership. */
  reset: () => void
}

type DirectoryContent = Required<Omit<Directory, 'version'>>

/** Creates the builder; it writes `publishedDirectoryEntry`. */
export function createDirectoryBuilder (options: DirectoryBuilderOptions): DirectoryBuilder {
  const { blackboard } = options
  const entry = blackboard.claim(publishedDirectoryEntry, 'directory-builder')
  const leadership = blackboard.reader(leadershipEntry)
  const readContent = createContentReader(blackboard, options.controlMembers ?? (() => []))

  function build (): Directory | null {
    const leading = leadership.read()
    if (leading === null) return null
    const published = entry.read()
    const content = readContent()
    if (published !== null && isSameContent(published, content)) return null
    const directory = { version: { leaderTerm: leading.term, counter: (published?.version.counter ?? 0) + 1 }, ...content }
    entry.write(directory)
    return directory
  }

  return { build, reset: () => entry.write(null) }
}

function createContentReader (blackboard: Blackboard, controlMembers: () => Address[]): () => DirectoryContent {
  const instances = blackboard.reader(registeredInstancesEntry)
  const databases = blackboard.reader(registeredDatabasesEntry)
  const weights = blackboard.reader(databaseWeightsEntry)
  const holders = blackboard.reader(connectionHoldersEntry)
  const switchingGroups = blackboard.reader(switchingGroupsEntry)
  const state = blackboard.reader(replicatedStateEntry)

  function buildGroups (): DirectoryGroup[] {
    const { manifest, groups } = state.read()
    const replicated = new Map(groups.map((group) => [group.group, group]))
    const configured = (manifest?.groups ?? []).map(({ id }) => id)
    return configured.sort().map((group) => {
      const known = replicated.get(group)
      // A group that has had no primary yet is published as electing, so that no instance acknowledges writes.
      const { term, primary, phase } = known ?? { term: 0, primary: null, phase: 'electing' as const }
      return { group, term, primary, phase: phase === 'serving' && switchingGroups.read().has(group) ? 'switching' : phase, holders: [...(holders.read().get(group) ?? [])] }
    })
  }

  function buildDatabases (groups: ReadonlySet<GroupId>): DirectoryDatabase[] {
    const listed = [...databases.read().values()].filter(({ announcement }) => groups.has(announcement.group))
    return sortBy(listed.map(({ announcement: { database, group, address, failureDomain, slots } }) => ({
      database, group, address, failureDomain, weight: weights.read().get(database) ?? 0, ...(slots === undefined ? {} : { slots })
    })), ({ database }) => database)
  }

  function buildInstances (): DirectoryInstance[] {
    const listed = [...instances.read().values()].map(({ instance, incarnation, peerAddress, failureDomain, draining }) => ({ instance, incarnation, peerAddress, failureDomain, draining }))
    return sortBy(listed, ({ instance }) => instance)
  }

  return () => {
    const groups = buildGroups()
    return { instances: buildInstances(), groups, databases: buildDatabases(new Set(groups.map(({ group }) => group))), controlMembers: controlMembers() }
  }
}

function sortBy<Item> (items: Item[], nameOf: (item: Item) => string): Item[] {
  return items.sort((left, right) => nameOf(left) < nameOf(right) ? -1 : 1)
}

function isSameContent (left: Omit<Directory, 'version'>, right: DirectoryContent): boolean {
  return isSameList(left.controlMembers ?? [], right.controlMembers, Object.is) &&
    isSameList(left.groups, right.groups, isSameGroup) &&
    isSameList(left.databases, right.databases, isSameRecord) &&
    isSameList(left.instances, right.instances, isSameRecord)
}

function isSameList<Item> (left: readonly Item[], right: readonly Item[], isSame: (left: Item, right: Item) => boolean): boolean {
  return left.length === right.length && left.every((item, index) => isSame(item, right[index] as Item))
}

function isSameGroup (left: DirectoryGroup, right: DirectoryGroup): boolean {
  return left.group === right.group && left.term === right.term && left.primary === right.primary && left.phase === right.phase &&
    isSameList(left.holders, right.holders, Object.is)
}

function isSameRecord<Item extends object> (left: Item, right: Item): boolean {
  const keys = Object.keys(left) as (keyof Item)[]
  return keys.length === Object.keys(right).length && keys.every((key) => left[key] === right[key])
}
