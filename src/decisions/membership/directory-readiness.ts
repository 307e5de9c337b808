import type { Blackboard } from '../../blackboard/blackboard.js'
import { leadershipEntry, registeredDatabasesEntry, replicatedStateEntry } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { GroupId } from '../../types/ids.js'

/** A new leader publishes without waiting for more databases after this time, in ms: one announcement interval of 1,000 ms and delays. */
export const DATABASE_WAIT_MS = 1500
/** Databases, the primary included, that a group needs to take writes. */
const WRITABLE_DATABASES = 2

/**
 * Tells whether a new leader may publish its first directory. Databases are known only once they announce themselves again; a directory
 * without them would make the holders close their connections. So it waits until every group in service has its primary and can take
 * writes. Meanwhile no instance gets a new lease.
 */
export function isDirectoryReady (blackboard: Blackboard, now: Milliseconds): boolean {
  const leading = blackboard.reader(leadershipEntry).read()
  if (leading === null) return false
  if (now - leading.since >= DATABASE_WAIT_MS) return true
  const { groups } = blackboard.reader(replicatedStateEntry).read()
  const databases = blackboard.reader(registeredDatabasesEntry).read()
  const known = new Map<GroupId, number>()
  for (const { announcement } of databases.values()) known.set(announcement.group, (known.get(announcement.group) ?? 0) + 1)
  return groups.every(({ group, primary }) => primary === null || (databases.has(primary) && (known.get(group) ?? 0) >= WRITABLE_DATABASES))
}
