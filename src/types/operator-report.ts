import type { Address, DatabaseId, FailureDomainId, GroupId, InstanceId, KeyId, WorkspaceId } from './ids.js'
import type { DatabaseRole } from './database-status.js'
import type { GroupPhase } from './directory.js'
import type { LogDetails, LogEventName, LogLevel } from './log-event.js'
import type { FailoverSummary } from './control-summary.js'
import type { ObjectiveName } from './service-level.js'

/**
 * Whether the instance that made a report had a leadership confirmation, so that the report is current.
 * - `not-leader`: another control instance leads, or none does
 * - `no-majority`: no majority confirmed the leadership in time
 */
export type ReportFreshness =
  | { proven: true, leaderTerm: number }
  | { proven: false, reason: 'not-leader' | 'no-majority', leaderAddress: Address | null }

/** Fields of every report. */
export interface ReportHead {
  freshness: ReportFreshness
  /** Control instance that made the report. */
  madeBy: InstanceId
  /** Time of day at which the report was made, ISO 8601 in UTC. */
  madeAt: string
}

/**
 * What the last heartbeat of an instance shows.
 * - `in-force`: it arrived within the freshness lease and reports the committed version
 * - `behind`: it arrived within the freshness lease and reports another version
 * - `unknown`: it is older than the freshness lease
 */
export type InstanceState = 'in-force' | 'behind' | 'unknown'

export interface InstanceRow {
  instance: InstanceId
  failureDomain: FailureDomainId
  state: InstanceState
  /** Manifest version that the instance holds; null while its state is unknown. */
  manifestVersion: number | null
  provenMsAgo: number
  draining: boolean
}

export interface InForceReport extends ReportHead {
  report: 'in-force'
  /** Committed manifest version; null when the freshness of the report was not confirmed. */
  manifestVersion: number | null
  instances: InstanceRow[]
}

export interface GroupRow {
  group: GroupId
  phase: GroupPhase
  term: number
  primary: DatabaseId | null
  holders: InstanceId[]
  lastFailover: FailoverSummary | null
}

export interface StatusReport extends ReportHead {
  report: 'status'
  manifestVersion: number | null
  /** Content digest of the committed manifest. */
  manifestDigest: string | null
  /** Operator who committed the manifest. */
  committedBy: string | null
  instances: Record<InstanceState, number>
  groups: GroupRow[]
  /** Databases of which the leader has received no status for longer than the freshness lease. */
  silentDatabases: DatabaseId[]
}

export interface FailureDomainDatabase {
  database: DatabaseId
  group: GroupId
  role: DatabaseRole
  weight: number
  departing: boolean
  silentForMs: number
}

export interface FailureDomainRow {
  failureDomain: FailureDomainId
  /** State in the committed manifest; null when the manifest does not list the failure domain. */
  state: 'in' | 'out' | null
  instances: InstanceRow[]
  databases: FailureDomainDatabase[]
}

export interface FailureDomainsReport extends ReportHead {
  report: 'failure-domains'
  manifestVersion: number | null
  failureDomains: FailureDomainRow[]
}

export interface WorkspaceRow {
  workspace: WorkspaceId
  group: GroupId
  rate: number
  burst: number
  weight: number
  /** Ids of the keys in force. */
  keys: KeyId[]
  routes: { name: string, open: boolean }[]
}

export interface WorkspacesReport extends ReportHead {
  report: 'workspaces'
  manifestVersion: number | null
  workspaces: WorkspaceRow[]
}

/** Windows over which burn is computed. */
export type BurnWindowName = '5min' | '1h' | '6h' | '3d'

export interface BurnValue {
  window: BurnWindowName
  /** Number of requests that the objective counts. */
  total: number
  bad: number
  /** Share of bad requests divided by the share that the objective allows; null: no requests. At 1 the budget lasts exactly for its period. */
  burn: number | null
}

export interface BurnRow {
  workspace: WorkspaceId
  objective: ObjectiveName
  /** Share of requests that must be good. */
  target: number
  /** Longest time or greatest age of a good request in milliseconds; null for availability. */
  limitMs: number | null
  windows: BurnValue[]
  /** Burn per hour over the last 3 days, oldest first; null: no requests. */
  history: (number | null)[]
}

export interface BurnReport extends ReportHead {
  report: 'burn'
  /** Workspaces of the manifest that state no objectives. */
  withoutObjectives: WorkspaceId[]
  /** Increments of counts that never arrived. Their requests are missing from the report. */
  lostIncrements: number
  rows: BurnRow[]
}

/** A numbered log event that operators should know of. */
export interface Incident {
  event: number
  name: LogEventName
  level: LogLevel
  /** Time of day of the first occurrence, ISO 8601 in UTC. */
  firstAt: string
  lastAt: string
  /** Occurrences with the same details. */
  count: number
  details: LogDetails
}

export interface IncidentsReport extends ReportHead {
  report: 'incidents'
  /** Newest first. */
  incidents: Incident[]
  /** Number of incidents that the collector dropped to bound its memory. */
  dropped: number
}

export type OperatorReport = InForceReport | StatusReport | FailureDomainsReport | WorkspacesReport | BurnReport | IncidentsReport
export type ReportName = Exclude<OperatorReport['report'], 'status'>
