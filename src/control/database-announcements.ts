import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { findUnusableField } from '../decisions/membership/announcement-check.js'
import { classifyAnnouncement, buildRecordedAnnouncement } from '../decisions/membership/announcement-classification.js'
import { createContinuedReports } from '../decisions/membership/continued-reports.js'
import type { Clock } from '../types/clock.js'
import type { ControlLog, ControlLogFailure } from '../types/control-log.js'
import type { Announcement } from '../types/database-status.js'
import type { DatabaseId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { DatabaseRecord, SupersededRecord } from '../types/replicated-state.js'

/** Claims that are remembered so that each is logged once. */
const MAX_LOGGED_CLAIMS = 1024

/** Length to which the name of a database with unusable values is cut in the log. */
const MAX_LOGGED_LENGTH = 100

export interface DatabaseAnnouncementsOptions {
  clock: Clock
  log: ControlLog
  logEvent: LogEvent
  /** Time between two announcements of a database, in milliseconds. */
  announcementIntervalMs: number
  /** @returns whether a recorded database runs, in spite of a claim to its id or address */
  isRunning: (record: DatabaseRecord, claim: Announcement) => boolean
  /** @returns whether this member leads and has applied everything that earlier leaders committed */
  isEstablished: () => boolean
  /** Applies an announcement that the classification did not reject, in place of the databases in `superseded`. */
  apply: (announcement: Announcement, superseded: readonly SupersededRecord[]) => void
}

export type AnnouncementResult = 'accepted' | 'ignored' | 'held' | 'unreadable'

/** Handles announcements that databases send directly to the control instances. */
export interface DatabaseAnnouncements {
  /**
   * Handles an announcement. Resolves after the control log has recorded a new state of the database.
   * @returns `ignored` for an announcement of an earlier or ended incarnation; `held` for one that claims the id or address of a running
   * database, which must not be acknowledged; `unreadable` for one whose values no connection can use; an error when this member does not lead or could not record it
   */
  announce: (announcement: Announcement) => Promise<Result<AnnouncementResult, ControlLogFailure>>
  /** @returns the announcement of a database that the control log recorded last */
  recorded: (database: DatabaseId) => Announcement | undefined
  /** Records that a database is unconfirmed, so that a later leader does not use it before it announces itself again. */
  recordUnconfirmed: (database: DatabaseId) => void
  /** Applies the announcements that earlier leaders recorded. They are in force until the databases announce themselves again. */
  applyRecorded: () => void
}

/** Creates the part of the coordinator that handles announcements of databases. */
export function createDatabaseAnnouncements (options: DatabaseAnnouncementsOptions): DatabaseAnnouncements {
  const { clock, log, logEvent, announcementIntervalMs, isEstablished, isRunning, apply } = options
  const continuedReports = createContinuedReports({ clock, announcementIntervalMs })
  /** Claim that was logged last for each database. */
  const loggedClaims = new Map<DatabaseId, number>()

  async function announce (announcement: Announcement): Promise<Result<AnnouncementResult, ControlLogFailure>> {
    if (!isEstablished()) return err({ kind: 'not-leader', leaderAddress: log.leaderAddress() })
    if (isUnusable(announcement)) return ok('unreadable')
    const { databases, manifest } = log.state()
    const { run } = announcement
    const classification = classifyAnnouncement(databases, announcement, {
      hasGroup: (group) => manifest?.groups.some(({ id }) => id === group) === true,
      isRunning: (record) => isRunning(record, announcement),
      continues: () => run !== undefined && continuedReports.record(announcement, run)
    })
    if (classification.kind === 'ignored') return ok('ignored')
    if (classification.kind === 'held') return hold(announcement)
    if (classification.kind === 'known') {
      apply(classification.announcement, [])
      return ok('accepted')
    }
    const { record, superseded } = classification
    const recorded = await log.propose({ kind: 'record-database', database: record, superseded: superseded.map(({ database, startedAt }) => ({ database, startedAt })) })
    if (recorded.isErr()) return err(recorded.error)
    for (const { database, startedAt } of superseded) {
      if (startedAt > record.startedAt) logEvent('databaseReinstated', { database: record.database, group: record.group, replaced: database })
    }
    if (isEstablished()) apply(classification.announcement, superseded)
    return ok('accepted')
  }

  function isUnusable (announcement: Omit<Announcement, 'status'>): boolean {
    const field = findUnusableField(announcement)
    if (field !== null) logEvent('announcementUnreadable', { database: announcement.database.slice(0, MAX_LOGGED_LENGTH), field })
    return field !== null
  }

  function hold ({ database, group, address, run }: Announcement): Result<AnnouncementResult, ControlLogFailure> {
    const startedAt = run?.startedAt ?? 0
    if (loggedClaims.get(database) !== startedAt) logEvent('announcementHeld', { database, group, address })
    loggedClaims.delete(database)
    loggedClaims.set(database, startedAt)
    const oldest = loggedClaims.keys().next().value
    if (loggedClaims.size > MAX_LOGGED_CLAIMS && oldest !== undefined) loggedClaims.delete(oldest)
    return ok('held')
  }

  function recorded (database: DatabaseId): Announcement | undefined {
    const record = log.state().databases.find((known) => known.database === database)
    return record === undefined ? undefined : buildRecordedAnnouncement(record)
  }

  function recordUnconfirmed (database: DatabaseId): void {
    const record = log.state().databases.find((known) => known.database === database)
    if (record === undefined) return
    logEvent('databaseUnconfirmed', { database, group: record.group, address: record.address })
    // Without an answer of the log, a later leader restores the record and waits for the database again.
    log.propose({ kind: 'record-database', database: { ...record, unconfirmed: true }, superseded: [] }).catch((error: unknown) => { logEvent('unexpectedError', { message: String(error) }) })
  }

  function applyRecorded (): void {
    continuedReports.reset()
    for (const record of log.state().databases) {
      // The log may contain records that an earlier version wrote without this check.
      if (record.state !== 'gone' && record.unconfirmed === undefined && !isUnusable({ ...record, departing: false })) apply(buildRecordedAnnouncement(record), [])
    }
  }

  return { announce, recorded, recordUnconfirmed, applyRecorded }
}
