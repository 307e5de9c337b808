import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { classifyAnnouncement, buildRecordedAnnouncement } from '../decisions/membership/announcement-classification.js'
import type { ControlLog, ControlLogFailure } from '../types/control-log.js'
import type { Announcement } from '../types/database-status.js'
import type { DatabaseId, GroupId } from '../types/ids.js'
import type { DatabaseRecord } from '../types/replicated-state.js'

export interface DatabaseAnnouncementsOptions {
  log: ControlLog
  /** @returns whether this member leads and has applied everything that earlier leaders committed */
  isEstablished: () => boolean
  /** Applies an announcement that the classification did not reject. */
  apply: (announcement: Announcement) => void
}

/** Handles announcements that databases send directly to the control instances. */
export interface DatabaseAnnouncements {
  /**
   * Handles an announcement. Resolves after the control log has recorded a new state of the database.
   * @returns `ignored` for an announcement of an earlier or ended incarnation; an error when this member does not lead or could not record it
   */
  announce: (announcement: Announcement) => Promise<Result<'accepted' | 'ignored', ControlLogFailure>>
  /** @returns the announcement of a database that the control log recorded last */
  recorded: (database: DatabaseId) => Announcement | undefined
  /** Applies the announcements that earlier leaders recorded. They are in force until the databases announce themselves again. */
  applyRecorded: () => void
}

/** Creates the part of the coordinator that handles announcements of databases. */
export function createDatabaseAnnouncements ({ log, isEstablished, apply }: DatabaseAnnouncementsOptions): DatabaseAnnouncements {
  function waitsForReplicas (group: GroupId): boolean {
    return (log.state().manifest?.groups.find(({ id }) => id === group)?.acknowledgingReplicas ?? 0) > 0
  }

  /**
   * Where commits wait for replicas, the end of a database is recorded as a departure, so that a later leader still waits for its log.
   * The promotion controller records the end once an election can do without that log.
   */
  function toProposedRecord (record: DatabaseRecord): DatabaseRecord {
    return record.state === 'gone' && waitsForReplicas(record.group) ? { ...record, state: 'departing' } : record
  }

  async function announce (announcement: Announcement): Promise<Result<'accepted' | 'ignored', ControlLogFailure>> {
    if (!isEstablished()) return err({ kind: 'not-leader', leaderAddress: log.leaderAddress() })
    const classification = classifyAnnouncement(log.state().databases, announcement)
    if (classification.kind === 'ignored') return ok('ignored')
    if (classification.kind === 'new') {
      const recorded = await log.propose({ kind: 'record-database', database: toProposedRecord(classification.record) })
      if (recorded.isErr()) return err(recorded.error)
    }
    if (isEstablished()) apply(classification.announcement)
    return ok('accepted')
  }

  function recorded (database: DatabaseId): Announcement | undefined {
    const record = log.state().databases.find((known) => known.database === database)
    return record === undefined ? undefined : buildRecordedAnnouncement(record)
  }

  function applyRecorded (): void {
    for (const record of log.state().databases) {
      if (record.state !== 'gone') apply(buildRecordedAnnouncement(record))
    }
  }

  return { announce, recorded, applyRecorded }
}
