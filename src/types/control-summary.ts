import type { DatabaseId, FailureDomainId, GroupId, InstanceId } from './ids.js'
import type { DatabaseRole } from './database-status.js'
import type { GroupPhase } from './directory.js'

/** An instance as the control leader knows it. */
export interface InstanceSummary {
  instance: InstanceId
  failureDomain: FailureDomainId
  draining: boolean
  /** Manifest version of its last heartbeat. */
  manifestVersion: number
  /** Milliseconds since the last heartbeat of the instance. A lost instance stays listed. */
  provenMsAgo: number
}

/** Last change of primary of a group. */
export interface FailoverSummary {
  planned: boolean
  /**
   * Time to the commit of the new primary, in milliseconds: from the last health evidence of the former primary (failover), or from the
   * start of the switchover. Null if the start of the gap is unknown, as at the first start of a group.
   */
  gapMs: number | null
  endedMsAgo: number
}

export interface GroupSummary {
  group: GroupId
  term: number
  primary: DatabaseId | null
  phase: GroupPhase
  holders: InstanceId[]
  lastFailover: FailoverSummary | null
}

export interface DatabaseSummary {
  database: DatabaseId
  group: GroupId
  failureDomain: FailureDomainId
  role: DatabaseRole
  departing: boolean
  /** 0: the database gets no new work; 1: it gets its full share of the work. */
  weight: number
  /** Milliseconds since the last status of the database that the leader knows. */
  silentForMs: number
}

/** What the control leader knows of the deployment, for reports to operators. */
export interface ControlSummary {
  /** 0: this member does not lead, so it knows nothing of instances and databases. */
  leaderTerm: number
  manifestVersion: number
  instances: InstanceSummary[]
  groups: GroupSummary[]
  databases: DatabaseSummary[]
}
