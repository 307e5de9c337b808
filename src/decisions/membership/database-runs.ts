import type { Announcement } from '../../types/database-status.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'

/**
 * - `ignored`: from an earlier run, or from one that has ended
 * - `known`: the control log has nothing to learn from it
 * - `new`: `record` must be in the control log before the announcement is acknowledged
 */
export type AnnouncementVerdict =
  | { kind: 'ignored' }
  | { kind: 'known', announcement: Announcement }
  | { kind: 'new', announcement: Announcement, record: DatabaseRecord }

/**
 * Compares an announcement that names its run with what the control log recorded.
 *
 * Guards against announcements that were delayed past the end of their run, and against a new leader that forgets that a database departs.
 * @param records - databases in the control log
 */
export function judgeAnnouncement (records: readonly DatabaseRecord[], announcement: Announcement): AnnouncementVerdict {
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
  const ordered = { ...announcement, departing }
  return isSameIncarnation && isSameRecord(known, record) ? { kind: 'known', announcement: ordered } : { kind: 'new', announcement: ordered, record }
}

function isSameRecord (left: DatabaseRecord, right: DatabaseRecord): boolean {
  return (Object.keys(right) as (keyof DatabaseRecord)[]).every((key) => left[key] === right[key])
}

/** @returns the announcement that a new leader takes from the control log until the database announces itself again */
export function recordedAnnouncement (record: DatabaseRecord): Announcement {
  const { database, group, address, failureDomain, startedAt, role, state } = record
  return {
    database,
    group,
    address,
    failureDomain,
    departing: state !== 'ready',
    run: { startedAt, sequence: -1, gone: state === 'gone' },
    status: announcedStatus(database, startedAt, role)
  }
}

/** @returns the status of a database that announces no log position; its positions come from answers to statements only */
export function announcedStatus (database: Announcement['database'], startedAt: number, role: 'primary' | 'replica'): Announcement['status'] {
  return { database, incarnation: `${database}.${startedAt}` as Announcement['status']['incarnation'], role, term: 0, fencedTerm: 0, position: { term: 0, offset: 0 }, ageMs: 0 }
}
