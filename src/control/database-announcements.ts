import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { classifyAnnouncement, buildRecordedAnnouncement } from '../decisions/membership/announcement-classification.js'
import type { ControlLog, ControlLogFailure } from '../types/control-log.js'
import type { Announcement } from '../types/database-status.js'
import type { DatabaseId } from '../types/ids.js'

export interface DatabaseAnnouncementsOptions {
  log: ControlLog
  /** @returns whether this member leads and knows everything that was committed before */
  isEstablished: () => boolean
  /** Takes an announcement that is in order. */
  take: (announcement: Announcement) => void
}

/** Announcements that databases make to the control instances themselves. */
export interface DatabaseAnnouncements {
  /** Answers once the control log holds what it must not forget. */
  announce: (announcement: Announcement) => Promise<Result<'taken' | 'ignored', ControlLogFailure>>
  /** @returns the last announcement of a database that the control log recorded */
  recorded: (database: DatabaseId) => Announcement | undefined
  /** Takes what earlier leaders recorded; it stands until the databases announce themselves again. */
  takeRecorded: () => void
}

/** Creates the part of the coordinator that takes announcements. */
export function createDatabaseAnnouncements ({ log, isEstablished, take }: DatabaseAnnouncementsOptions): DatabaseAnnouncements {
  async function announce (announcement: Announcement): Promise<Result<'taken' | 'ignored', ControlLogFailure>> {
    if (!isEstablished()) return err({ kind: 'not-leader', leaderAddress: log.leaderAddress() })
    const verdict = classifyAnnouncement(log.state().databases, announcement)
    if (verdict.kind === 'ignored') return ok('ignored')
    if (verdict.kind === 'new') {
      const recorded = await log.propose({ kind: 'record-database', database: verdict.record })
      if (recorded.isErr()) return err(recorded.error)
    }
    if (isEstablished()) take(verdict.announcement)
    return ok('taken')
  }

  function recorded (database: DatabaseId): Announcement | undefined {
    const record = log.state().databases.find((known) => known.database === database)
    return record === undefined ? undefined : buildRecordedAnnouncement(record)
  }

  function takeRecorded (): void {
    for (const record of log.state().databases) {
      if (record.state !== 'gone') take(buildRecordedAnnouncement(record))
    }
  }

  return { announce, recorded, takeRecorded }
}
