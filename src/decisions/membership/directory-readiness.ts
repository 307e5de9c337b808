import type { Blackboard } from '../../blackboard/blackboard.js'
import { leadershipEntry, registeredDatabasesEntry, registeredInstancesEntry, replicatedStateEntry } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseId, GroupId } from '../../types/ids.js'

/** A new leader publishes without waiting for more databases after this time, in ms: one announcement interval of 1,000 ms and delays. */
export const MAX_DATABASE_WAIT_MS = 1500
/** Silence after which a primary is not waited for, in ms: holders ask at least every 200 ms. */
const PRIMARY_SILENT_MS = 500
/** Databases, the primary included, that a group needs to take writes. */
const MIN_WRITABLE_DATABASES = 2

/**
 * Tells whether a new leader may publish its first directory. Databases are known only once they announce themselves again; a directory
 * without them would make the holders close their connections. So it waits until every group in service has its primary, unless that
 * is silent, and can take writes. Meanwhile no instance gets a new lease.
 */
export function isDirectoryReady (blackboard: Blackboard, now: Milliseconds): boolean {
  const leading = blackboard.reader(leadershipEntry).read()
  if (leading === null) return false
  if (now - leading.since >= MAX_DATABASE_WAIT_MS) return true
  const { groups } = blackboard.reader(replicatedStateEntry).read()
  const databases = blackboard.reader(registeredDatabasesEntry).read()
  const announcedCounts = new Map<GroupId, number>()
  for (const { announcement } of databases.values()) announcedCounts.set(announcement.group, (announcedCounts.get(announcement.group) ?? 0) + 1)
  return groups.every(({ group, primary }) => {
    if (primary === null) return true
    return (announcedCounts.get(group) ?? 0) >= MIN_WRITABLE_DATABASES && (databases.has(primary) || isSilent(blackboard, primary))
  })
}

/** Whether all holders that reported miss the database, so that no announcement of it is to be waited for. */
function isSilent (blackboard: Blackboard, database: DatabaseId): boolean {
  const instances = blackboard.reader(registeredInstancesEntry).read()
  const observations = [...instances.values()].map((instance) => instance.observations.get(database)).filter((observation) => observation !== undefined)
  return observations.length > 0 && observations.every(({ silentForMs }) => silentForMs >= PRIMARY_SILENT_MS)
}
