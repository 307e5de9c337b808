import type { Address, DatabaseId, FailureDomainId, GroupId, InstanceId, KeyId, WorkspaceId } from './ids.js'
import type { DatabaseRole } from './database-status.js'
import type { GroupPhase } from './directory.js'
import type { LogDetails, LogEventName, LogLevel } from './log-event.js'
import type { FailoverSummary } from './control-summary.js'
import type { ObjectiveName } from './service-level.js'

/**
 * Whether the instance that made a report could prove its freshness.
 * - `not-leader`: another control instance leads, or none does
 * - `no-majority`: no majority confirmed the leadership in time
 */
export type ReportFreshness =
  | { proven: true, leaderTerm: number }
  | { proven: false, reason: 'not-leader' | 'no-majority', leaderAddress: Address | null }

/** What every report begins with. */
export interface ReportHead {
  freshness: ReportFreshness
  /** Control instance that made the report. */
  madeBy: InstanceId
  /** Time of day at which the report was made, ISO 8601 in UTC. */
  madeAt: string
}

/**
 * - `in-force`: proven within the freshness lease with the committed version
 * - `behind`: proven within the freshness lease with another version
 * - `unknown`: not proven within the freshness lease
 */
export type InstanceState = 'in-force' | 'behind' | 'unknown'

export interface InstanceRow {
  instance: InstanceId
  failureDomain: FailureDomainId
  state: InstanceState
  /** Version that the instance holds; null while its state is unknown. */
  manifestVersion: number | null
  provenMsAgo: number
  draining: boolean
}

export interface InForceReport extends ReportHead {
  report: 'in-force'
  /** Committed version; null when the freshness was not proven. */
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
  /** Operator who committed it. */
  committedBy: string | null
  instances: Record<InstanceState, number>
  groups: GroupRow[]
  /** Databases without a sign of life for longer than the freshness lease. */
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
  /** Requests that the objective counts. */
  total: number
  bad: number
  /** Share of bad requests over the share that the objective allows; null without requests. 1: the budget is used up evenly. */
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
  /** Increments of counts that never arrived; their requests are missing. */
  lostIncrements: number
  rows: BurnRow[]
}

/** A numbered event that operators should know of. */
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
  /** Incidents that the bounded collector dropped. */
  dropped: number
}

export type OperatorReport = InForceReport | StatusReport | FailureDomainsReport | WorkspacesReport | BurnReport | IncidentsReport
export type ReportName = Exclude<OperatorReport['report'], 'status'>
