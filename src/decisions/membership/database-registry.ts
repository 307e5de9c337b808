import type { Blackboard } from '../../blackboard/blackboard.js'
import { endedDatabasesEntry, registeredDatabasesEntry } from '../../blackboard/control-instance-entries.js'
import type { EndedDatabase, RegisteredDatabase } from '../../blackboard/control-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { DatabaseObservation } from '../../types/control-message.js'
import type { Announcement, DatabaseIncarnation, DatabaseStatus } from '../../types/database-status.js'
import type { DatabaseId } from '../../types/ids.js'
import { createRetiredIncarnations } from './retired-incarnations.js'

/** A database whose announcements name no `run` stays departing until none of them has said so for this time: two announcement intervals. */
export const DEPARTING_HOLD_MS = 2000
/** A retired incarnation is accepted again after the current one has had no status for this time: three announcement intervals. */
export const INCARNATION_HOLD_MS = 3000
/** A departing database without a status for this time is removed. */
export const DEPARTED_EXPIRY_MS = 10_000
/** An ended database is forgotten after this time; several times as long as an election waits for its successor. */
const ENDED_EXPIRY_MS = 60_000

export interface DatabaseRegistryOptions {
  blackboard: Blackboard
  clock: Clock
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
   * @returns what changed
   */
  announce: (announcement: Announcement, ageMs?: number) => AnnouncementOutcome
  /** Handles the status of a database that a connection holder reported. */
  observe: (observation: DatabaseObservation) => void
  /** Handles the status in the answer of a database to an order. */
  answered: (status: DatabaseStatus) => void
  /** Removes departed databases. @returns the databases that this call removed */
  tick: () => DatabaseId[]
  /** Clears the registry. The coordinator calls it at each change of leadership. */
  reset: () => void
}

/** Creates the registry of the databases that have announced themselves. It publishes them in the blackboard entries `registeredDatabasesEntry` and `endedDatabasesEntry`. */
export function createDatabaseRegistry (options: DatabaseRegistryOptions): DatabaseRegistry {
  const { blackboard, clock } = options
  const entry = blackboard.claim(registeredDatabasesEntry, 'database-registry')
  const endedEntry = blackboard.claim(endedDatabasesEntry, 'database-registry')
  const retiredIncarnations = createRetiredIncarnations<DatabaseId>()
  const lastDepartingAt = new Map<DatabaseId, Milliseconds>()
  let databases = new Map<DatabaseId, RegisteredDatabase>()
  let endedDatabases = new Map<DatabaseId, EndedDatabase>()
  entry.write(databases)
  endedEntry.write(endedDatabases)

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

  function announce (announcement: Announcement, ageMs = 0): AnnouncementOutcome {
    const { database, status } = announcement
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
    if (last !== undefined && (run.startedAt < last.startedAt || (run.startedAt === last.startedAt && run.sequence <= last.sequence))) return 'ignored'
    if (isEndedBefore(database, run)) return 'ignored'
    if (run.gone) {
      endedDatabases.set(database, { announcement, endedAt: receivedAt })
      databases.delete(database)
      entry.write(databases)
      return known === undefined ? 'ignored' : 'departing'
    }
    removeReplacedDatabases(announcement, run)
    databases.set(database, { announcement, departing, announcedAt: receivedAt, status, statusAt: receivedAt })
    entry.write(databases)
    const outcome = determineOutcome(known, announcement, departing)
    const isRoleNew = known !== undefined && known.announcement.status.role !== status.role
    return outcome === 'unchanged' && isRoleNew ? 'role-changed' : outcome
  }

  /** Removes databases of another name and an earlier incarnation at the same address: the announcing database has replaced them. */
  function removeReplacedDatabases ({ database, address }: Announcement, run: DatabaseIncarnation): void {
    const isReplaced = ({ announcement }: Pick<RegisteredDatabase, 'announcement'>): boolean =>
      announcement.address === address && announcement.run !== undefined && announcement.run.startedAt < run.startedAt
    for (const [other, known] of databases) if (other !== database && isReplaced(known)) databases.delete(other)
    for (const [other, ended] of endedDatabases) if (other === database || isReplaced(ended)) endedDatabases.delete(other)
  }

  function isEndedBefore (database: DatabaseId, { startedAt }: DatabaseIncarnation): boolean {
    const ended = endedDatabases.get(database)?.announcement.run
    return ended !== undefined && startedAt <= ended.startedAt
  }

  function updateStatus (status: DatabaseStatus, statusAt: Milliseconds): void {
    const known = databases.get(status.database)
    if (known === undefined || statusAt < known.statusAt || !acceptIncarnation(known, status)) return
    databases.set(status.database, { ...known, status, statusAt })
    entry.write(databases)
  }

  function observe (observation: DatabaseObservation): void {
    if (observation.status === null) return
    updateStatus(observation.status, milliseconds(clock.now() - observation.silentForMs))
  }

  function tick (): DatabaseId[] {
    const oldest = clock.now() - DEPARTED_EXPIRY_MS
    const departed = [...databases.values()].filter(({ departing, statusAt }) => departing && statusAt < oldest).map(({ announcement }) => announcement.database)
    for (const database of departed) databases.delete(database)
    if (departed.length > 0) entry.write(databases)
    for (const [database, { endedAt }] of endedDatabases) if (clock.now() - endedAt >= ENDED_EXPIRY_MS) endedDatabases.delete(database)
    return departed
  }

  function reset (): void {
    databases = new Map()
    endedDatabases = new Map()
    lastDepartingAt.clear()
    entry.write(databases)
    endedEntry.write(endedDatabases)
  }

  return { announce, observe, answered: (status) => updateStatus(status, clock.now()), tick, reset }
}

function determineOutcome (known: RegisteredDatabase | undefined, announcement: Announcement, departing: boolean): AnnouncementOutcome {
  if (known === undefined || known.announcement.address !== announcement.address) return 'announced'
  if (departing && !known.departing) return 'departing'
  if (!departing && known.departing) return 'returned'
  return 'unchanged'
}
