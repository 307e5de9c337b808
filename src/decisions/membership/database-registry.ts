import type { Blackboard } from '../../blackboard/blackboard.js'
import { registeredDatabasesEntry } from '../../blackboard/control-instance-entries.js'
import type { RegisteredDatabase } from '../../blackboard/control-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { DatabaseObservation } from '../../types/control-message.js'
import type { Announcement, DatabaseIncarnation, DatabaseStatus } from '../../types/database-status.js'
import type { DatabaseId } from '../../types/ids.js'
import type { SupersededRecord } from '../../types/replicated-state.js'
import { createContinuedReports, DEFAULT_ANNOUNCEMENT_INTERVAL_MS, RUNNING_INTERVALS } from './continued-reports.js'
import { createRetiredIncarnations } from './retired-incarnations.js'

/** A database whose announcements name no `run` stays departing until none of them has said so for this time: two announcement intervals. */
export const DEPARTING_HOLD_MS = 2000
/** A retired incarnation is accepted again after the current one has had no status for this time: three announcement intervals. */
export const INCARNATION_HOLD_MS = 3000
/** A departing database without a status for this time is removed. */
export const DEPARTED_EXPIRY_MS = 10_000

/**
 * Announcement intervals after which a database is removed that has announced itself once and never answered, as an entry of another writer
 * does. Until then an election may wait for it, since a database may hold acknowledged writes. Longer than the partitions that have been
 * seen to keep announcements away.
 */
const UNCONFIRMED_INTERVALS = 30

export interface DatabaseRegistryOptions {
  blackboard: Blackboard
  clock: Clock
  /** Time between two announcements of a database, in milliseconds. Default 1000. */
  announcementIntervalMs?: number
}

/**
 * - `announced`: first announcement, or a new address
 * - `departing`, `returned`: the departing state changed; `departing` also if the incarnation ended
 * - `role-changed`: the database announces another role than before
 * - `ignored`: an announcement that is older than a known one, or comes from a replaced or ended incarnation
 */
export type AnnouncementOutcome = 'announced' | 'role-changed' | 'departing' | 'returned' | 'unchanged' | 'ignored'

/** The databases that have announced themselves. No setting or manifest lists databases. */
export interface DatabaseRegistry {
  /**
   * Handles an announcement.
   * @param ageMs - time since the announcement reached an instance, in ms; default 0
   * @param superseded - incarnations that the announcing database has replaced, whatever their start; default none
   * @returns what changed
   */
  announce: (announcement: Announcement, ageMs?: number, superseded?: readonly SupersededRecord[]) => AnnouncementOutcome
  /** Handles the status of a database that a connection holder reported. */
  observe: (observation: DatabaseObservation) => void
  /** Handles the status in the answer of a database to an order. */
  answered: (status: DatabaseStatus) => void
  /** Removes databases that are still unconfirmed after `UNCONFIRMED_INTERVALS`. @returns the databases that this call removed */
  removeUnconfirmed: () => DatabaseId[]
  /** Removes departed databases. @returns the databases that this call removed */
  tick: () => DatabaseId[]
  /** Clears the registry. The coordinator calls it at each change of leadership. */
  reset: () => void
}

/** Creates the registry of the databases that have announced themselves. It publishes them in the blackboard entry `registeredDatabasesEntry`. */
export function createDatabaseRegistry (options: DatabaseRegistryOptions): DatabaseRegistry {
  const { blackboard, clock, announcementIntervalMs = DEFAULT_ANNOUNCEMENT_INTERVAL_MS } = options
  const entry = blackboard.claim(registeredDatabasesEntry, 'database-registry')
  const retiredIncarnations = createRetiredIncarnations<DatabaseId>()
  const continuedReports = createContinuedReports({ clock, announcementIntervalMs })
  const lastDepartingAt = new Map<DatabaseId, Milliseconds>()
  let databases = new Map<DatabaseId, RegisteredDatabase>()
  entry.write(databases)

  /** Whether a status of this incarnation counts. A new incarnation retires the one known so far. */
  function acceptIncarnation (known: RegisteredDatabase | undefined, status: DatabaseStatus): boolean {
    if (known === undefined || known.status.incarnation === status.incarnation) return true
    const isRetired = retiredIncarnations.has(status.database, status.incarnation)
    if (isRetired && clock.now() - known.statusAt < INCARNATION_HOLD_MS) return false
    retiredIncarnations.remove(status.database, status.incarnation)
    retiredIncarnations.add(status.database, known.status.incarnation)
    lastDepartingAt.delete(status.database)
    return true
  }

  function announce (announcement: Announcement, ageMs = 0, superseded: readonly SupersededRecord[] = []): AnnouncementOutcome {
    const { database, status } = announcement
    removeSuperseded(superseded)
    const known = databases.get(database)
    const receivedAt = milliseconds(clock.now() - ageMs)
    // A repeated announcement must not replace newer information, nor count as a new announcement.
    if (known !== undefined && receivedAt < known.announcedAt) return 'ignored'
    if (announcement.run !== undefined) return handleOrderedAnnouncement(announcement, announcement.run, receivedAt)
    if (!acceptIncarnation(known, status)) return 'ignored'
    if (announcement.departing) lastDepartingAt.set(database, receivedAt)
    const departing = receivedAt - (lastDepartingAt.get(database) ?? -Infinity) < DEPARTING_HOLD_MS
    databases.set(database, { announcement, departing, announcedAt: receivedAt, status, statusAt: receivedAt })
    entry.write(databases)
    return determineOutcome(known, announcement, departing)
  }

  /** Handles an announcement that names its incarnation and sequence. The database orders its announcements itself by these. */
  function handleOrderedAnnouncement (announcement: Announcement, run: DatabaseIncarnation, receivedAt: Milliseconds): AnnouncementOutcome {
    const { database, departing, status } = announcement
    const known = databases.get(database)
    const last = known?.announcement.run
    if (last !== undefined && run.startedAt < last.startedAt) return 'ignored'
    const isLate = last?.startedAt === run.startedAt && run.sequence <= last.sequence
    if (isLate && !run.gone && !isSequenceWrong(known, announcement, run)) return handleLateAnnouncement(known, announcement)
    if (run.gone) {
      databases.delete(database)
      entry.write(databases)
      return known === undefined ? 'ignored' : 'departing'
    }
    const isConfirmed = run.sequence < 0 || last?.startedAt === run.startedAt
    databases.set(database, { announcement, departing, announcedAt: receivedAt, status, statusAt: receivedAt, ...(isConfirmed ? {} : { isUnconfirmed: true }) })
    entry.write(databases)
    const outcome = determineOutcome(known, announcement, departing)
    const isRoleNew = known !== undefined && known.announcement.status.role !== status.role
    return outcome === 'unchanged' && isRoleNew ? 'role-changed' : outcome
  }

  /**
   * Whether the highest sequence that is known of the incarnation is wrong, such as one of another writer: whoever sent it is silent, and
   * the incarnation goes on announcing itself with lower ones.
   */
  function isSequenceWrong (known: RegisteredDatabase | undefined, announcement: Announcement, run: DatabaseIncarnation): boolean {
    const isSilent = known !== undefined && clock.now() - known.announcedAt >= announcementIntervalMs * RUNNING_INTERVALS
    return continuedReports.record(announcement, run) && isSilent
  }

  /** Only a departure still counts when it is late, as an incarnation that departs does not return. */
  function handleLateAnnouncement (known: RegisteredDatabase | undefined, { database, departing }: Announcement): AnnouncementOutcome {
    if (known === undefined || !departing || known.departing) return 'ignored'
    databases.set(database, { ...known, announcement: { ...known.announcement, departing }, departing })
    entry.write(databases)
    return 'departing'
  }

  function removeSuperseded (superseded: readonly SupersededRecord[]): void {
    for (const { database, startedAt } of superseded) {
      if (databases.get(database)?.announcement.run?.startedAt === startedAt) databases.delete(database)
    }
  }

  function updateStatus (status: DatabaseStatus, statusAt: Milliseconds): void {
    const known = databases.get(status.database)
    if (known === undefined || statusAt < known.statusAt || !acceptIncarnation(known, status)) return
    databases.set(status.database, { ...known, status, statusAt })
    entry.write(databases)
  }

  function confirm (database: DatabaseId): void {
    const known = databases.get(database)
    if (known?.isUnconfirmed === undefined) return
    const { isUnconfirmed, ...confirmed } = known
    databases.set(database, confirmed)
    entry.write(databases)
  }

  function answered (status: DatabaseStatus): void {
    confirm(status.database)
    updateStatus(status, clock.now())
  }

  function removeUnconfirmed (): DatabaseId[] {
    const oldest = clock.now() - announcementIntervalMs * UNCONFIRMED_INTERVALS
    const removed = [...databases.values()].filter(({ isUnconfirmed, announcedAt }) => isUnconfirmed === true && announcedAt < oldest).map(({ announcement }) => announcement.database)
    for (const database of removed) databases.delete(database)
    if (removed.length > 0) entry.write(databases)
    return removed
  }

  function observe (observation: DatabaseObservation): void {
    if (observation.silentForMs === 0) confirm(observation.database)
    if (observation.status === null) return
    updateStatus(observation.status, milliseconds(clock.now() - observation.silentForMs))
  }

  function tick (): DatabaseId[] {
    const oldest = clock.now() - DEPARTED_EXPIRY_MS
    const departed = [...databases.values()].filter(({ departing, statusAt }) => departing && statusAt < oldest).map(({ announcement }) => announcement.database)
    for (const database of departed) databases.delete(database)
    if (departed.length > 0) entry.write(databases)
    return departed
  }

  function reset (): void {
    databases = new Map()
    lastDepartingAt.clear()
    continuedReports.reset()
    entry.write(databases)
  }

  return { announce, observe, answered, removeUnconfirmed, tick, reset }
}

function determineOutcome (known: RegisteredDatabase | undefined, announcement: Announcement, departing: boolean): AnnouncementOutcome {
  if (known === undefined || known.announcement.address !== announcement.address) return 'announced'
  if (departing && !known.departing) return 'departing'
  if (!departing && known.departing) return 'returned'
  return 'unchanged'
}
