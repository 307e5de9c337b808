import type { Blackboard } from '../../blackboard/blackboard.js'
import { registeredDatabasesEntry } from '../../blackboard/control-instance-entries.js'
import type { RegisteredDatabase } from '../../blackboard/control-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { DatabaseObservation } from '../../types/control-message.js'
import type { Announcement, DatabaseRun, DatabaseStatus } from '../../types/database-status.js'
import type { DatabaseId } from '../../types/ids.js'
import { createRetiredIncarnations } from './retired-incarnations.js'

/** A departing database stays so until no departing announcement has come for this time, in ms: two announcement intervals. */
export const DEPARTING_HOLD_MS = 2000
/** An incarnation that was silent for this long no longer rules out an older one, in ms: three announcement intervals. */
export const INCARNATION_HOLD_MS = 3000
/** A departing database that was silent for this long is gone, in ms. */
export const DEPARTED_EXPIRY_MS = 10_000

export interface DatabaseRegistryOptions {
  blackboard: Blackboard
  clock: Clock
}

/**
 * - `announced`: first announcement, or a new address
 * - `departing`, `returned`: the departing state changed
 * - `role-changed`: the database of the same run says that it has another role
 * - `ignored`: an announcement of a replaced incarnation
 */
export type AnnouncementOutcome = 'announced' | 'role-changed' | 'departing' | 'returned' | 'unchanged' | 'ignored'

/** Databases as they announce themselves. There is no list of databases. */
export interface DatabaseRegistry {
  /**
   * Takes an announcement.
   * @param ageMs - time since it reached an instance, in ms; default 0
   */
  announce: (announcement: Announcement, ageMs?: number) => AnnouncementOutcome
  /** Takes a status that a holder saw. */
  observe: (observation: DatabaseObservation) => void
  /** Takes the answer of a database to an order. */
  answered: (status: DatabaseStatus) => void
  /** Forgets departed databases. @returns those that are gone since the last call */
  tick: () => DatabaseId[]
  /** Forgets everything; called at each change of leadership. */
  reset: () => void
}

/** Creates the registry; it writes `registeredDatabasesEntry`. */
export function createDatabaseRegistry (options: DatabaseRegistryOptions): DatabaseRegistry {
  const { blackboard, clock } = options
  const entry = blackboard.claim(registeredDatabasesEntry, 'database-registry')
  const retiredIncarnations = createRetiredIncarnations<DatabaseId>()
  const lastDepartingAt = new Map<DatabaseId, Milliseconds>()
  let databases = new Map<DatabaseId, RegisteredDatabase>()
  entry.write(databases)

  /** Whether the incarnation is the current one; a new one retires the one known so far. */
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
    const now = milliseconds(clock.now() - ageMs)
    // A repeated announcement must not replace what was heard since, nor count as a new sign of life.
    if (known !== undefined && now < known.announcedAt) return 'ignored'
    if (announcement.run !== undefined) return handleOrderedAnnouncement(announcement, announcement.run, now)
    if (!acceptIncarnation(known, status)) return 'ignored'
    if (announcement.departing) lastDepartingAt.set(database, now)
    const departing = now - (lastDepartingAt.get(database) ?? -Infinity) < DEPARTING_HOLD_MS
    databases.set(database, { announcement, departing, announcedAt: now, status, statusAt: now })
    entry.write(databases)
    return determineOutcome(known, announcement, departing)
  }

  /** Runs and their announcements are ordered by the database itself. */
  function handleOrderedAnnouncement (announcement: Announcement, run: DatabaseRun, now: Milliseconds): AnnouncementOutcome {
    const { database, departing, status } = announcement
    const known = databases.get(database)
    const last = known?.announcement.run
    if (last !== undefined && (run.startedAt < last.startedAt || (run.startedAt === last.startedAt && run.sequence <= last.sequence))) return 'ignored'
    if (run.gone) {
      databases.delete(database)
      entry.write(databases)
      return known === undefined ? 'ignored' : 'departing'
    }
    removeReplacedDatabases(announcement, run)
    databases.set(database, { announcement, departing, announcedAt: now, status, statusAt: now })
    entry.write(databases)
    const outcome = determineOutcome(known, announcement, departing)
    const isRoleNew = known !== undefined && known.announcement.status.role !== status.role
    return outcome === 'unchanged' && isRoleNew ? 'role-changed' : outcome
  }

  /** A database at the address of an earlier run has taken its place, under whatever name. */
  function removeReplacedDatabases ({ database, address }: Announcement, run: DatabaseRun): void {
    for (const [other, { announcement }] of databases) {
      const isEarlier = announcement.run !== undefined && announcement.run.startedAt < run.startedAt
      if (other !== database && announcement.address === address && isEarlier) databases.delete(other)
    }
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
    return departed
  }

  function reset (): void {
    databases = new Map()
    lastDepartingAt.clear()
    entry.write(databases)
  }

  return { announce, observe, answered: (status) => updateStatus(status, clock.now()), tick, reset }
}

function determineOutcome (known: RegisteredDatabase | undefined, announcement: Announcement, departing: boolean): AnnouncementOutcome {
  if (known === undefined || known.announcement.address !== announcement.address) return 'announced'
  if (departing && !known.departing) return 'departing'
  if (!departing && known.departing) return 'returned'
  return 'unchanged'
}
