import type { LogDetails, LogEvent, LogEventName, LogLevel } from '../types/log-event.js'
import { logEvents } from '../types/log-event.js'
import type { Incident } from '../types/operator-report.js'

/** Number of incidents kept: enough for a night with many, and small compared with the memory limit of an instance. */
const DEFAULT_CAPACITY = 200
const MAX_DETAIL_LENGTH = 200

/** Events below the level `warn` that operators need when they investigate an incident. */
const INFO_INCIDENTS: ReadonlySet<LogEventName> = new Set(['leaderElected', 'failoverEnded', 'switchoverBegan', 'switchoverEnded', 'failureDomainIn', 'freshnessRegained'])
const DROP_ORDER: LogLevel[] = ['debug', 'info', 'warn', 'error']

export interface IncidentCollectorOptions {
  timeOfDay: () => Date
  /** Largest number of incidents kept; default 200. */
  capacity?: number
}

/** Keeps the incidents of one process in memory. */
export interface IncidentCollector {
  /** Records a logged event if it is an incident. */
  note: LogEvent
  /** @returns incidents, newest first, and the number of dropped ones */
  list: () => { incidents: Incident[], dropped: number }
}

/** @returns whether an event is an incident, of which operators should know */
export function isIncident (name: LogEventName): boolean {
  const { level } = logEvents[name]
  return level === 'warn' || level === 'error' || INFO_INCIDENTS.has(name)
}

function truncateDetails (details: LogDetails): LogDetails {
  const entries = Object.entries(details).map(([field, value]) => {
    const isLong = typeof value === 'string' && value.length > MAX_DETAIL_LENGTH
    return [field, isLong ? `${value.slice(0, MAX_DETAIL_LENGTH)}...` : value] as const
  })
  return Object.fromEntries(entries)
}

/** Creates a collector. It counts an incident that repeats with the same details instead of storing it again. */
export function createIncidentCollector (options: IncidentCollectorOptions): IncidentCollector {
  const capacity = options.capacity ?? DEFAULT_CAPACITY
  // Ordered by last occurrence, oldest first.
  const incidents = new Map<string, Incident>()
  let dropped = 0

  /** Above the capacity, drops one of the least severe incidents: the one with the oldest last occurrence. */
  function dropLeastSevere (): void {
    if (incidents.size <= capacity) return
    const lowestLevel = DROP_ORDER.find((level) => [...incidents.values()].some((incident) => incident.level === level))
    const key = [...incidents].find(([, incident]) => incident.level === lowestLevel)?.[0]
    if (key === undefined) return
    incidents.delete(key)
    dropped++
  }

  function note (name: LogEventName, details: LogDetails = {}): void {
    if (!isIncident(name)) return
    const { event, level } = logEvents[name]
    const truncated = truncateDetails(details)
    const key = JSON.stringify([name, truncated])
    const lastAt = options.timeOfDay().toISOString()
    const previous = incidents.get(key)
    incidents.delete(key)
    incidents.set(key, { event, name, level, firstAt: previous?.firstAt ?? lastAt, lastAt, count: (previous?.count ?? 0) + 1, details: truncated })
    dropLeastSevere()
  }

  return { note, list: () => ({ incidents: [...incidents.values()].reverse(), dropped }) }
}
