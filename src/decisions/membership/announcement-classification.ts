import type { Announcement } from '../../types/database-status.js'
import type { GroupId } from '../../types/ids.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'

/**
 * - `ignored`: the announcement is from an earlier incarnation of the database, or from one that has ended; or it claims the id of a
 *   database of the manifest for a group that no manifest names
 * - `held`: the announcement claims the id or address of a database that still runs; it changes nothing and is not acknowledged
 * - `known`: the replicated log has the same record of the database already, or the announcement names no incarnation
 * - `new`: `record` must be in the replicated log before the announcement is acknowledged, in place of the records in `superseded`
 */
export type AnnouncementClassification =
  | { kind: 'ignored' }
  | { kind: 'held' }
  | { kind: 'known', announcement: Announcement }
  | { kind: 'new', announcement: Announcement, record: DatabaseRecord, superseded: DatabaseRecord[] }

/** What the leader knows besides the replicated log. */
export interface ClassificationContext {
  /** @returns whether the manifest has the group */
  hasGroup: (group: GroupId) => boolean
  /** @returns whether a recorded database runs, in spite of a claim to its id or address */
  isRunning: (record: DatabaseRecord) => boolean
  /** @returns whether the announcing incarnation goes on announcing itself. Called only for an announcement that would be ignored otherwise. */
  continues: () => boolean
}

const NOTHING_KNOWN: ClassificationContext = { hasGroup: () => true, isRunning: () => false, continues: () => false }

/**
 * Compares an announcement with the records in the replicated log.
 *
 * The records guard against announcements that are delivered after the end of their incarnation. They also let a new leader know which
 * databases are departing.
 *
 * The start of an incarnation orders announcements, but it is a time of day of another machine, or of another writer. So a later start alone
 * takes no id or address from a database that runs, and an earlier start does not shut a database out for good: once the later one is silent,
 * the incarnation that goes on announcing itself is believed. No time of day of this process is compared, since that clock may be wrong too.
 * @param records - databases in the replicated log
 * @returns whether the announcement counts, with the `departing` state of its incarnation, and whether the log needs a new record
 */
export function classifyAnnouncement (records: readonly DatabaseRecord[], announcement: Announcement, context: ClassificationContext = NOTHING_KNOWN): AnnouncementClassification {
  const { run } = announcement
  if (run === undefined) return { kind: 'known', announcement }
  const known = records.find(({ database }) => database === announcement.database)
  const isSameIncarnation = known?.startedAt === run.startedAt
  if (isSameIncarnation && known.state === 'gone') return { kind: 'ignored' }
  const isOfManifest = context.hasGroup(announcement.group)
  const contested = findContested(records, announcement, run.startedAt, context)
  const isContested = known !== undefined && contested.includes(known)
  if (isContested && !isOfManifest && context.hasGroup(known.group)) return { kind: 'ignored' }
  // A record of a group that no manifest names stands in the way of no database of the manifest.
  const rivals = contested.filter(({ group }) => !isOfManifest || context.hasGroup(group))
  const later = rivals.filter(({ startedAt }) => startedAt > run.startedAt)
  if (later.length > 0 && (!context.continues() || later.some(context.isRunning))) return { kind: 'ignored' }
  if (rivals.some(context.isRunning)) return { kind: 'held' }
  const departing = announcement.departing || (isSameIncarnation && !isContested && known.state === 'departing')
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
  return isSameIncarnation && isSameRecord(known, record) ? { kind: 'known', announcement: correctedAnnouncement } : { kind: 'new', announcement: correctedAnnouncement, record, superseded: contested }
}

/** @returns records that the announcement would replace: other incarnations with its id or address, and its own incarnation at another place */
function findContested (records: readonly DatabaseRecord[], announcement: Announcement, startedAt: number, context: ClassificationContext): DatabaseRecord[] {
  const { database, group, address, failureDomain } = announcement
  const isOfManifest = context.hasGroup(group)
  return records.filter((record) => {
    if (record.database !== database) {
      // Databases that the manifest names and others do not compete for an address: no connection is made to the others.
      return record.address === address && context.hasGroup(record.group) === isOfManifest
    }
    // An incarnation keeps its place, so another place in its name is a claim of another writer.
    return record.startedAt !== startedAt || record.group !== group || record.address !== address || record.failureDomain !== failureDomain
  })
}

function isSameRecord (left: DatabaseRecord, right: DatabaseRecord): boolean {
  return left.unconfirmed === right.unconfirmed && left.absent === right.absent && (Object.keys(right) as (keyof DatabaseRecord)[]).every((key) => left[key] === right[key])
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
