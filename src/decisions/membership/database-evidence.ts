import type { Blackboard } from '../../blackboard/blackboard.js'
import { registeredDatabasesEntry, registeredInstancesEntry } from '../../blackboard/control-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { Announcement } from '../../types/database-status.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'
import { RUNNING_INTERVALS } from './continued-reports.js'

/** Age of an instance's report up to which it shows that a database answers, in milliseconds: three heartbeat intervals. */
const MAX_REPORT_AGE_MS = 1500

export interface DatabaseEvidenceOptions {
  blackboard: Blackboard
  clock: Clock
  /** Time between two announcements of a database, in milliseconds. */
  announcementIntervalMs: number
}

/**
 * Creates the check of whether a recorded database runs, besides a claim to its id or address.
 * @returns a function that returns true if this leader has heard the recorded incarnation at its recorded address within `RUNNING_INTERVALS`,
 * or if instances get answers there that cannot come from the claimant
 */
export function createDatabaseEvidence ({ blackboard, clock, announcementIntervalMs }: DatabaseEvidenceOptions): (record: DatabaseRecord, claim: Announcement) => boolean {
  const databases = blackboard.reader(registeredDatabasesEntry)
  const instances = blackboard.reader(registeredInstancesEntry)

  return (record, claim) => {
    const registered = databases.read().get(record.database)
    if (registered === undefined) return false
    const { announcement, announcedAt } = registered
    if (announcement.run?.startedAt !== record.startedAt || announcement.address !== record.address) return false
    if (clock.now() - announcedAt < announcementIntervalMs * RUNNING_INTERVALS) return true
    // Connections name id and address, but no incarnation.
    if (record.database === claim.database && record.address === claim.address) return false
    return [...instances.read().values()].some(({ observations }) => {
      const observation = observations.get(record.database)
      return observation?.silentForMs === 0 && clock.now() - observation.arrivedAt < MAX_REPORT_AGE_MS
    })
  }
}
