import type { LogDetails, LogEvent, LogEventName, LogLevel } from '../types/log-event.js'
import { logEvents } from '../types/log-event.js'
import type { Incident } from '../types/operator-report.js'

/** Enough for a bad night, and small against the memory limit of an instance. */
const DEFAULT_CAPACITY = 200
const MAX_DETAIL_LENGTH = 200

/** Events below the level `warn` that operators look for after an incident. */
const ALSO_INCIDENTS: ReadonlySet<LogEventName> = new Set(['leaderElected', 'failoverEnded', 'switchoverBegan', 'switchoverEnded', 'failureDomainIn', 'freshnessRegained'])
const DROP_ORDER: LogLevel[] = ['debug', 'info', 'warn', 'error']

export interface IncidentCollectorOptions {
  timeOfDay: () => Date
  /** Incidents that are kept; default 200. */
  capacity?: number
}

/** Keeps the incidents of one process in memory. */
export interface IncidentCollector {
  /** Takes each event that is logged; those that are no incident are passed over. */
  note: LogEvent
  /** @returns incidents, newest first, and how many were dropped */
  list: () => { incidents: Incident[], dropped: number }
}

/** @returns whether operators should know of an event */
export function isIncident (name: LogEventName): boolean {
  const { level } = logEvents[name]
  return level === 'warn' || level === 'error' || ALSO_INCIDENTS.has(name)
}

function shorten (details: LogDetails): LogDetails {
  const entries = Object.entries(details).map(([field, value]) => {
    const isLong = typeof value === 'string' && value.length > MAX_DETAIL_LENGTH
    return [field, isLong ? `${value.slice(0, MAX_DETAIL_LENGTH)}...` : value] as const
  })
  return Object.fromEntries(entries)
}

/** Collects incidents; one that repeats with the same details is counted. */
export function createIncidentCollector (options: IncidentCollectorOptions): IncidentCollector {
  const capacity = options.capacity ?? DEFAULT_CAPACITY
  // In the order of their last occurrence, oldest first.
  const incidents = new Map<string, Incident>()
  let dropped = 0

  /** Drops the least severe incident, of these the one that was not seen for longest. */
  function makeRoom (): void {
    if (incidents.size <= capacity) return
    const lowest = DROP_ORDER.find((level) => [...incidents.values()].some((incident) => incident.level === level))
    const key = [...incidents].find(([, incident]) => incident.level === lowest)?.[0]
    if (key === undefined) return
    incidents.delete(key)
    dropped++
  }

  function note (name: LogEventName, details: LogDetails = {}): void {
    if (!isIncident(name)) return
    const { event, level } = logEvents[name]
    const shown = shorten(details)
    const key = JSON.stringify([name, shown])
    const lastAt = options.timeOfDay().toISOString()
    const known = incidents.get(key)
    incidents.delete(key)
    incidents.set(key, { event, name, level, firstAt: known?.firstAt ?? lastAt, lastAt, count: (known?.count ?? 0) + 1, details: shown })
    makeRoom()
  }

  return { note, list: () => ({ incidents: [...incidents.values()].reverse(), dropped }) }
}
