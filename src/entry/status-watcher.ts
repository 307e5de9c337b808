import type { Blackboard } from '../blackboard/blackboard.js'
import { observedDatabasesEntry } from '../blackboard/entry-instance-entries.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'
import type { DatabaseObservation } from '../types/control-message.js'
import type { StatusWatch, WatchDatabaseStatus } from '../types/database-connection.js'
import type { DatabaseStatus } from '../types/database-status.js'
import type { DirectoryDatabase } from '../types/directory.js'
import type { Address, DatabaseId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'

interface WatchedDatabase {
  address: Address
  watch: StatusWatch
  startedAt: Milliseconds
  answeredAt: Milliseconds | null
  status: DatabaseStatus | null
  silent: boolean
}

/** Watches the status of the databases of which this instance is a connection holder. Writes the blackboard entry `observed-databases`. */
export interface StatusWatcher {
  /** Watches exactly these databases, and stops watching all others. */
  setDatabases: (databases: readonly DirectoryDatabase[]) => void
  /** @returns the last status of each watched database and the time since its last answer, for heartbeats */
  observations: () => DatabaseObservation[]
  /** Sets the one listener that is called after each status. */
  onStatus: (listener: () => void) => void
  close: () => void
}

export interface StatusWatcherOptions {
  clock: Clock
  blackboard: Blackboard
  watchStatus: WatchDatabaseStatus
  /** Called when the control leader should receive an observation at once: a database answered first or again, changed its role or term, or became silent. */
  onReportableChange: () => void
  logEvent: LogEvent
}

/** Creates the watcher. It watches no database before the first call of `setDatabases`. */
export function createStatusWatcher (options: StatusWatcherOptions): StatusWatcher {
  const { clock, logEvent } = options
  const entry = options.blackboard.claim(observedDatabasesEntry, 'status-watcher')
  const watched = new Map<DatabaseId, WatchedDatabase>()
  let statusListener: () => void = () => {}

  function recordStatus (database: DatabaseId, status: DatabaseStatus, requestedAt: number): void {
    const known = watched.get(database)
    if (known === undefined) return
    const isChange = known.status === null || known.silent || known.status.role !== status.role || known.status.term !== status.term
    known.status = status
    known.silent = false
    known.answeredAt = clock.now()
    const next = new Map(entry.read())
    next.set(database, { database, status, observedAt: milliseconds(requestedAt) })
    entry.write(next)
    statusListener()
    if (isChange) options.onReportableChange()
  }

  function recordSilence (database: DatabaseId, message: string): void {
    const known = watched.get(database)
    if (known === undefined || known.silent) return
    known.silent = true
    logEvent('databaseSilent', { database, message })
    options.onReportableChange()
  }

  function startWatch ({ database, address }: DirectoryDatabase): void {
    const watch = options.watchStatus({
      database,
      address,
      onStatus: (status, requestedAt) => { recordStatus(database, status, requestedAt) },
      onSilent: (message) => { recordSilence(database, message) }
    })
    watched.set(database, { address, watch, startedAt: clock.now(), answeredAt: null, status: null, silent: false })
  }

  function stopWatch (database: DatabaseId, known: WatchedDatabase): void {
    known.watch.stop()
    watched.delete(database)
    const next = new Map(entry.read())
    next.delete(database)
    entry.write(next)
  }

  return {
    setDatabases: (databases) => {
      const wanted = new Map(databases.map((database) => [database.database, database]))
      for (const [database, known] of [...watched]) {
        if (wanted.get(database)?.address !== known.address) stopWatch(database, known)
      }
      for (const database of databases) {
        if (!watched.has(database.database)) startWatch(database)
      }
    },
    observations: () => [...watched].map(([database, { status, answeredAt, startedAt }]) => ({
      database,
      status,
      silentForMs: Math.round(clock.now() - (answeredAt ?? startedAt))
    })),
    onStatus: (listener) => { statusListener = listener },
    close: () => {
      for (const [database, known] of [...watched]) stopWatch(database, known)
    }
  }
}
