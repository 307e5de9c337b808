import type { Announcement } from '../../types/database-status.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'

/**
 * - `ignored`: the announcement is from an earlier incarnation of the database, or from one that has ended
 * - `known`: the replicated log has the same record of the database already, or the announcement names no incarnation
 * - `new`: `record` must be in the replicated log before the announcement is acknowledged
 */
export type AnnouncementClassification =
  | { kind: 'ignored' }
  | { kind: 'known', announcement: Announcement }
  | { kind: 'new', announcement: Announcement, record: DatabaseRecord }

/**
 * Compares an announcement with the records in the replicated log.
 *
 * The records guard against announcements that are delivered after the end of their incarnation. They also let a new leader know which
 * databases are departing.
 * @param records - databases in the replicated log
 * @returns whether the announcement counts, with the `departing` state of its incarnation, and whether the log needs a new record
 */
export function classifyAnnouncement (records: readonly DatabaseRecord[], announcement: Announcement): AnnouncementClassification {
  const { run } = announcement
  if (run === undefined) return { kind: 'known', announcement }
  const known = records.find(({ database }) => database === announcement.database)
  if (known !== undefined && known.startedAt > run.startedAt) return { kind: 'ignored' }
  const isSameIncarnation = known?.startedAt === run.startedAt
  if (isSameIncarnation && known.state === 'gone') return { kind: 'ignored' }
  const successor = records.find(({ database, address, startedAt }) => database !== announcement.database && address === announcement.address && startedAt > run.startedAt)
  if (successor !== undefined) return { kind: 'ignored' }
  const departing = announcement.departing || (isSameIncarnation && known.state === 'departing')
  const record: DatabaseRecord = {
    database: announcement.database,
    group: announcement.group,
    address: announcement.address,
    failureDomain: announcement.failureDomain,
    startedAt: run.startedAt,
    role: announcement.status.role,
    state: run.gone ? 'gone' : departing ? 'departing' : 'ready'
  }
  const correctedAnnouncement = { ...announcement, departing }
  return isSameIncarnation && isSameRecord(known, record) ? { kind: 'known', announcement: correctedAnnouncement } : { kind: 'new', announcement: correctedAnnouncement, record }
}

function isSameRecord (left: DatabaseRecord, right: DatabaseRecord): boolean {
  return (Object.keys(right) as (keyof DatabaseRecord)[]).every((key) => left[key] === right[key])
}

/** @returns the announcement that a new leader uses for a recorded database until that database announces itself again */
export function buildRecordedAnnouncement (record: DatabaseRecord): Announcement {
  const { database, group, address, failureDomain, startedAt, role, state } = record
  return {
    database,
    group,
    address,
    failureDomain,
    departing: state !== 'ready',
    run: { startedAt, sequence: -1, gone: state === 'gone' },
    status: buildAnnouncedStatus(database, startedAt, role)
  }
}

/** @returns the status of a database that announces no log position; only its answers to statements contain positions */
export function buildAnnouncedStatus (database: Announcement['database'], startedAt: number, role: 'primary' | 'replica'): Announcement['status'] {
  return { database, incarnation: `${database}.${startedAt}` as Announcement['status']['incarnation'], role, term: 0, fencedTerm: 0, position: { term: 0, offset: 0 }, ageMs: 0 }
}
