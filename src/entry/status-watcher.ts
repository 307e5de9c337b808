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

interface Watched {
  address: Address
  watch: StatusWatch
  startedAt: Milliseconds
  answeredAt: Milliseconds | null
  status: DatabaseStatus | null
  silent: boolean
}

/** Watches the databases of the groups that this instance holds. Writes the entry `observed-databases`. */
export interface StatusWatcher {
  /** Watches exactly these databases. */
  setDatabases: (databases: readonly DirectoryDatabase[]) => void
  observations: () => DatabaseObservation[]
  /** Sets the listener that is called after each status. */
  onStatus: (listener: () => void) => void
  close: () => void
}

export interface StatusWatcherOptions {
  clock: Clock
  blackboard: Blackboard
  watchStatus: WatchDatabaseStatus
  /** A database answered for the first time, or fell silent. */
  onChange: () => void
  logEvent: LogEvent
}

export function createStatusWatcher (options: StatusWatcherOptions): StatusWatcher {
  const { clock, logEvent } = options
  const entry = options.blackboard.claim(observedDatabasesEntry, 'status-watcher')
  const watched = new Map<DatabaseId, Watched>()
  let statusListener: () => void = () => {}

  function observe (database: DatabaseId, status: DatabaseStatus, askedAt: number): void {
    const known = watched.get(database)
    if (known === undefined) return
    const isChange = known.status === null || known.silent || known.status.role !== status.role || known.status.term !== status.term
    known.status = status
    known.silent = false
    known.answeredAt = clock.now()
    const next = new Map(entry.read())
    next.set(database, { database, status, observedAt: milliseconds(askedAt) })
    entry.write(next)
    statusListener()
    if (isChange) options.onChange()
  }

  function noteSilence (database: DatabaseId, message: string): void {
    const known = watched.get(database)
    if (known === undefined || known.silent) return
    known.silent = true
    logEvent('databaseSilent', { database, message })
    options.onChange()
  }

  function start ({ database, address }: DirectoryDatabase): void {
    const watch = options.watchStatus({
      database,
      address,
      onStatus: (status, askedAt) => { observe(database, status, askedAt) },
      onSilent: (message) => { noteSilence(database, message) }
    })
    watched.set(database, { address, watch, startedAt: clock.now(), answeredAt: null, status: null, silent: false })
  }

  function stop (database: DatabaseId, known: Watched): void {
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
        if (wanted.get(database)?.address !== known.address) stop(database, known)
      }
      for (const database of databases) {
        if (!watched.has(database.database)) start(database)
      }
    },
    observations: () => [...watched].map(([database, { status, answeredAt, startedAt }]) => ({
      database,
      status,
      silentForMs: Math.round(clock.now() - (answeredAt ?? startedAt))
    })),
    onStatus: (listener) => { statusListener = listener },
    close: () => {
      for (const [database, known] of [...watched]) stop(database, known)
    }
  }
}
