import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { DirectoryVersion } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'

/**
 * - `first`: the group had no primary yet
 * - `lost`: the primary is taken to be lost
 * - `planned`: the primary may get no new work
 * - `moved`: another database says that it is the primary
 * - `interrupted`: another leader, or an earlier try, left the group without a primary
 */
export type PromotionCause = 'first' | 'lost' | 'planned' | 'moved' | 'interrupted'

export interface PromotionPlan {
  cause: PromotionCause
  /** Term in service before; 0 if none is known. */
  oldTerm: number
  oldPrimary: DatabaseId | null
  /** Database that has caught up with the old primary. */
  preferredTarget: DatabaseId | null
  startedAt: Milliseconds
}

/** The directory that told the instances to stop. */
export interface StopDirectory {
  version: DirectoryVersion
  publishedAt: Milliseconds
}

/** Position of a database, and when it was asked for. */
export interface KnownStatus {
  status: DatabaseStatus
  requestedAt: Milliseconds
}

export type PromotionStep =
  | { kind: 'idle' }
  /** The instances finish what runs on the primary and begin nothing new there; then the target catches up. */
  | { kind: 'switching', term: number, primary: DatabaseId, target: DatabaseId, startedAt: Milliseconds, stop: StopDirectory | null, releasedAt: Milliseconds | null, queriedAt: Milliseconds }
  /** `begin-election` was proposed. */
  | { kind: 'beginning', term: number, plan: PromotionPlan }
  /** The term is committed and belongs to this leader; no instance uses a primary once all have released the old one. */
  | { kind: 'electing', term: number, plan: PromotionPlan, stop: StopDirectory | null, releasedAt: Milliseconds | null, queriedAt: Milliseconds, answeredAt: Milliseconds | null, fencesOrdered: boolean }
  /** The authority is asked for one database only within a term. */
  | { kind: 'promoting', term: number, plan: PromotionPlan, target: DatabaseId, startedAt: Milliseconds, orderedAt: Milliseconds | null, accepted: boolean, refused: boolean, queriedAt: Milliseconds }
  /** The database is primary; `set-primary` is proposed until the log says so. */
  | { kind: 'recording', term: number, plan: PromotionPlan, database: DatabaseId }

/** What the controller remembers of one group during one leadership. */
export interface PromotionRecord {
  step: PromotionStep
  /** Answers to status queries. */
  statuses: Map<DatabaseId, KnownStatus>
  /** When a status query to a database failed last. */
  queryFailedAt: Map<DatabaseId, Milliseconds>
  /** Since when the present primary is in service, as this leader saw it. */
  serving: { term: number, since: Milliseconds } | null
  isProposing: boolean
  nextElectionAt: Milliseconds
  nextSwitchoverAt: Milliseconds
  membersKnownSince: Milliseconds | null
  primaryQueriedAt: Milliseconds
  /** Databases that may be fenced from an election that is over, and when they were last told that it is. */
  fencedDatabases: Map<DatabaseId, Milliseconds>
}
