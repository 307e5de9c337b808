import type { Clock, Milliseconds } from '../../types/clock.js'
import type { DatabaseId } from '../../types/ids.js'
import type { LogEvent } from '../../types/log-event.js'
import type { SlotQueueState, SlotRefusalCause } from './slot-scheduler.js'

/** Time between two log lines about one database, in milliseconds. A crowd causes hundreds of refusals per second. */
const REPORT_INTERVAL_MS = 1000

export interface OverloadWatchOptions {
  clock: Clock
  /** @returns the state of the queue of a database */
  stateOf: (database: DatabaseId) => SlotQueueState | null
  logEvent: LogEvent
}

/** Reports databases without room for operations in the log. */
export interface OverloadWatch {
  recordRefusal: (database: DatabaseId, cause: SlotRefusalCause) => void
}

interface Refusals {
  reportedAt: Milliseconds
  /** Number of refusals since the last report, by cause. */
  counts: Map<SlotRefusalCause, number>
}

/** Creates the watch. It logs the first refusal of a database at once, and the number of the further ones with the next line. */
export function createOverloadWatch ({ clock, stateOf, logEvent }: OverloadWatchOptions): OverloadWatch {
  const refusalsByDatabase = new Map<DatabaseId, Refusals>()

  function recordRefusal (database: DatabaseId, cause: SlotRefusalCause): void {
    const known = refusalsByDatabase.get(database)
    const counts = known?.counts ?? new Map<SlotRefusalCause, number>()
    counts.set(cause, (counts.get(cause) ?? 0) + 1)
    if (known !== undefined && clock.now() - known.reportedAt < REPORT_INTERVAL_MS) return
    refusalsByDatabase.set(database, { reportedAt: clock.now(), counts: new Map() })
    const state = stateOf(database)
    logEvent('databaseOverloaded', {
      database,
      refusedAtOnce: counts.get('expected-wait') ?? 0,
      refusedAfterWait: counts.get('waited') ?? 0,
      withoutConnection: counts.get('no-connection') ?? 0,
      waiting: state?.waiting ?? 0,
      inFlight: state?.inFlight ?? 0,
      limit: state?.limit ?? 0
    })
  }

  return { recordRefusal }
}
