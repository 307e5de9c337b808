import type { Blackboard } from '../../blackboard/blackboard.js'
import { leadershipEntry, registeredDatabasesEntry, registeredInstancesEntry, replicatedStateEntry } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseId, GroupId } from '../../types/ids.js'

/** A new leader waits at most this long for announcements: one announcement interval of 1,000 ms and delays. */
export const MAX_DATABASE_WAIT_MS = 1500
/** A new leader does not wait for a primary that has been silent for this long, in ms: connection holders poll its status at least every 200 ms. */
const PRIMARY_SILENT_MS = 500
/** Number of databases, the primary included, that a group needs to accept writes. */
const MIN_WRITABLE_DATABASES = 2

/**
 * Decides whether a new leader may publish its first directory. The leader knows a database only after its next announcement, and a
 * directory without a database would make the connection holders close their connections to it. So the leader waits until every group
 * with a primary can accept writes and its primary has announced itself or is silent. Meanwhile no instance gets a new lease.
 * @param now - current time of the control instance, in ms
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

/** Whether the database is silent to all instances that reported on it, so that the leader need not wait for its announcement. */
function isSilent (blackboard: Blackboard, database: DatabaseId): boolean {
  const instances = blackboard.reader(registeredInstancesEntry).read()
  const observations = [...instances.values()].map((instance) => instance.observations.get(database)).filter((observation) => observation !== undefined)
  return observations.length > 0 && observations.every(({ silentForMs }) => silentForMs >= PRIMARY_SILENT_MS)
}
