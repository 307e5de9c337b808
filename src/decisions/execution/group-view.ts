import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, drainingEntry, freshnessEntry, manifestEntry, observedDatabasesEntry, sharesEntry, type ObservedDatabase } from '../../blackboard/entry-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { Directory, DirectoryDatabase, DirectoryGroup } from '../../types/directory.js'
import { resourceId, type DatabaseId, type GroupId, type InstanceId, type ResourceId } from '../../types/ids.js'
import type { Manifest } from '../../types/manifest.js'

/** Current state of one database group, as this instance's blackboard holds it. */
export interface GroupView {
  manifest: () => Manifest | null
  /** @returns whether the instance knows that its manifest and directory are current: it has both and a valid freshness lease */
  isFresh: () => boolean
  group: () => DirectoryGroup | null
  databases: () => readonly DirectoryDatabase[]
  database: (id: DatabaseId) => DirectoryDatabase | null
  /** @returns the last status of a database and when it was received, or null */
  observed: (id: DatabaseId) => ObservedDatabase | null
  /** @returns whether the last status of a database is recent and reports the current term of the group */
  isCurrent: (id: DatabaseId) => boolean
  /** @returns whether this instance is a connection holder of the group */
  isHolder: () => boolean
  /** @returns whether this instance is shutting down */
  isDraining: () => boolean
  /** @returns whether the directory lists another connection holder that is not draining */
  hasOtherHolder: () => boolean
  /** @returns the number of a database's slots that this instance may use now; 0 without a valid lease */
  slots: (id: DatabaseId) => number
  /** @returns the number of connections to a database that this instance may hold now; 0 without a valid lease */
  connections: (id: DatabaseId) => number
  /** @returns whether the lease on a database's slots is valid, even if the share is 0 */
  hasSlotLease: (id: DatabaseId) => boolean
  /** @returns whether the lease on the connections to a database is valid, even if the share is 0 */
  hasConnectionLease: (id: DatabaseId) => boolean
  /** @returns the primary if it accepts writes under the current term, otherwise null */
  findWritePrimary: () => DirectoryDatabase | null
}

export interface GroupViewOptions {
  group: GroupId
  instance: InstanceId
  blackboard: Blackboard
  clock: Clock
  maxStatusAgeMs: number
}

interface DirectoryPart {
  directory: Directory | null
  group: DirectoryGroup | null
  databases: DirectoryDatabase[]
}

function selectPart (directory: Directory | null, group: GroupId): DirectoryPart {
  return {
    directory,
    group: directory?.groups.find((entry) => entry.group === group) ?? null,
    databases: directory?.databases.filter((entry) => entry.group === group) ?? []
  }
}

/** @returns a view that reads the blackboard at each call */
export function createGroupView (options: GroupViewOptions): GroupView {
  const { clock, instance } = options
  const manifestReader = options.blackboard.reader(manifestEntry)
  const directoryReader = options.blackboard.reader(directoryEntry)
  const freshnessReader = options.blackboard.reader(freshnessEntry)
  const sharesReader = options.blackboard.reader(sharesEntry)
  const observedReader = options.blackboard.reader(observedDatabasesEntry)
  const drainingReader = options.blackboard.reader(drainingEntry)
  let cached = selectPart(null, options.group)

  // Each change of the directory replaces the whole object, so comparing references detects a change.
  function readPart (): DirectoryPart {
    const directory = directoryReader.read()
    if (cached.directory !== directory) cached = selectPart(directory, options.group)
    return cached
  }

  // Shares are read several times for each message; caching avoids building the resource id each time.
  const resourceIds: Record<'slots' | 'connections', Map<DatabaseId, ResourceId>> = { slots: new Map(), connections: new Map() }

  function findOrCreateResourceId (kind: 'slots' | 'connections', id: DatabaseId): ResourceId {
    const known = resourceIds[kind].get(id)
    if (known !== undefined) return known
    const created = resourceId(kind, id)
    resourceIds[kind].set(id, created)
    return created
  }

  function readLeasedAmount (kind: 'slots' | 'connections', id: DatabaseId): number | null {
    const share = sharesReader.read().get(findOrCreateResourceId(kind, id))
    if (share === undefined || clock.now() >= share.validUntil) return null
    return Math.floor(share.amount)
  }

  const group = (): DirectoryGroup | null => readPart().group
  const database = (id: DatabaseId): DirectoryDatabase | null => readPart().databases.find((entry) => entry.database === id) ?? null
  const observed = (id: DatabaseId): ObservedDatabase | null => observedReader.read().get(id) ?? null
  const isHolder = (): boolean => group()?.holders.includes(instance) ?? false

  function isCurrent (id: DatabaseId): boolean {
    const observation = observed(id)
    if (observation === null || observation.status.term !== group()?.term) return false
    return clock.now() - observation.observedAt <= options.maxStatusAgeMs
  }

  function hasOtherHolder (): boolean {
    const holders = group()?.holders ?? []
    const instances = readPart().directory?.instances ?? []
    return instances.some((entry) => entry.instance !== instance && !entry.draining && holders.includes(entry.instance))
  }

  function findWritePrimary (): DirectoryDatabase | null {
    const current = group()
    if (current === null || current.primary === null || current.phase !== 'serving') return null
    const primary = database(current.primary)
    if (primary === null || primary.weight <= 0 || !isCurrent(primary.database)) return null
    const status = observed(primary.database)?.status
    if (status?.role !== 'primary' || status.fencedTerm > current.term) return null
    return primary
  }

  return {
    manifest: () => manifestReader.read()?.manifest ?? null,
    isFresh: () => clock.now() < freshnessReader.read().validUntil && manifestReader.read() !== null && directoryReader.read() !== null,
    group,
    databases: () => readPart().databases,
    database,
    observed,
    isCurrent,
    isHolder,
    isDraining: () => drainingReader.read(),
    hasOtherHolder,
    slots: (id) => readLeasedAmount('slots', id) ?? 0,
    connections: (id) => readLeasedAmount('connections', id) ?? 0,
    hasSlotLease: (id) => readLeasedAmount('slots', id) !== null,
    hasConnectionLease: (id) => readLeasedAmount('connections', id) !== null,
    findWritePrimary
  }
}
