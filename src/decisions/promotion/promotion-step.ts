import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { DirectoryVersion } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'

/**
 * - `first`: the group had no primary yet
 * - `lost`: the evidence shows that the primary is lost
 * - `planned`: a switchover, because the primary has weight 0
 * - `moved`: the recorded primary announces itself as a replica
 * - `interrupted`: another leader, or an earlier attempt, left the group without a primary
 */
export type PromotionCause = 'first' | 'lost' | 'planned' | 'moved' | 'interrupted'

/** The part of an election that the leader keeps when it repeats the election under a new term. After a failed promotion, the target is null and the cause `planned` becomes `interrupted`. */
export interface PromotionPlan {
  cause: PromotionCause
  /** Term that was in service before; 0 if none is known. */
  oldTerm: number
  oldPrimary: DatabaseId | null
  /** Database that a switchover promotes; null if the election chooses one by position. */
  preferredTarget: DatabaseId | null
  startedAt: Milliseconds
}

/** The first directory that told the instances to stop using the primary. */
export interface StopDirectory {
  version: DirectoryVersion
  publishedAt: Milliseconds
}

/** Status of a database, and when the leader requested it. */
export interface KnownStatus {
  status: DatabaseStatus
  requestedAt: Milliseconds
}

export type PromotionStep =
  | { kind: 'idle' }
  /** The instances finish their work in flight on the primary and start no new work there; then the target catches up. `confinedTo` is the target to which replication is confined; null before. */
  | { kind: 'switching', term: number, primary: DatabaseId, target: DatabaseId, confinedTo: DatabaseId | null, startedAt: Milliseconds, stop: StopDirectory | null, releasedAt: Milliseconds | null, queriedAt: Milliseconds }
  /** The leader has proposed `begin-election` and waits for the answer of the log. */
  | { kind: 'beginning', term: number, plan: PromotionPlan }
  /** The term is committed and belongs to this leader. No instance uses a primary once all have released the old term. */
  | { kind: 'electing', term: number, plan: PromotionPlan, stop: StopDirectory | null, releasedAt: Milliseconds | null, queriedAt: Milliseconds, answeredAt: Milliseconds | null, fencesOrdered: boolean }
  /** The leader has chosen a database. Within a term, the authority gets a promote order for no other database. */
  | { kind: 'promoting', term: number, plan: PromotionPlan, target: DatabaseId, startedAt: Milliseconds, orderedAt: Milliseconds | null, accepted: boolean, refused: boolean, queriedAt: Milliseconds }
  /** The database is primary. The leader proposes `set-primary` until the replicated log names it. */
  | { kind: 'recording', term: number, plan: PromotionPlan, database: DatabaseId }

/**
 * Search for a replica that holds everything that a stopped database can hold: its log goes no further than the position of the primary
 * after its end. A database whose deregistration was not confirmed goes on receiving for some seconds.
 */
export interface HoldingCheck {
  /** Last sign of life of the database, or start of the service if it is later. */
  since: Milliseconds
  /** When the leader found that the database has stopped; null before. */
  stoppedAt: Milliseconds | null
  /** First position that the primary reported after `stoppedAt`. */
  primaryPosition: LogPosition | null
  queriedAt: Milliseconds
}

/** State of one group that the controller keeps during one leadership. */
export interface PromotionRecord {
  step: PromotionStep
  /** Newest answer of each database to a status query or fence order. */
  statuses: Map<DatabaseId, KnownStatus>
  /** Term of the newest promotion that a database has reported or that took effect under this leader; databases count their own terms. */
  historyTerm: number
  /** When the last failed status query of each database failed. */
  queryFailedAt: Map<DatabaseId, Milliseconds>
  /** When the last status query of each database that got no answer at all failed. */
  unreachableAt: Map<DatabaseId, Milliseconds>
  /** When the last status query of each database that found it not running failed. */
  notRunningAt: Map<DatabaseId, Milliseconds>
  /** The term in service, and since when this leader has seen the group serve under it. */
  serving: { term: number, since: Milliseconds } | null
  isProposing: boolean
  nextElectionAt: Milliseconds
  nextSwitchoverAt: Milliseconds
  membersKnownSince: Milliseconds | null
  primaryQueriedAt: Milliseconds
  /** Databases that an election may have fenced, and when each last got a fence or unfence order. */
  fencedDatabases: Map<DatabaseId, Milliseconds>
  /** Checks of the databases whose logs are missing at this time. */
  holdingChecks: Map<DatabaseId, HoldingCheck>
}
