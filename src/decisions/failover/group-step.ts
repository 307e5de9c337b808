import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { DirectoryVersion } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'

/** The first directory that told the connection holders to stop acknowledging writes. */
export interface StopDirectory {
  version: DirectoryVersion
  publishedAt: Milliseconds
}

/**
 * - `lost`: the failure detector found the primary lost
 * - `planned`: a switchover
 * - `first`: the group had no primary yet
 * - `interrupted`: another leader, or an earlier attempt, left the group without a primary
 */
export type ElectionCause = 'lost' | 'planned' | 'first' | 'interrupted'

/** The part of an election that the leader keeps when it repeats the election under a new term. After a failed promotion, the cause `planned` becomes `interrupted`. */
export interface ElectionPlan {
  cause: ElectionCause
  /** Term that was in service before; 0 if none is known. */
  oldTerm: number
  oldPrimary: DatabaseId | null
  /** Target of a planned switchover. */
  preferredTarget: DatabaseId | null
  /** Running primary that the first start adopts with its term; null if databases must be fenced and one promoted. */
  adoptedPrimary: DatabaseId | null
  /** When the last evidence of the former primary was seen, or when the switchover began; null if neither is known. */
  gapStartedAt: Milliseconds | null
  /** First directory that announced the election; null until it is published. */
  stop: StopDirectory | null
}

export interface IdleStep { kind: 'idle' }

/** Connection holders keep new writes queued, and the target catches up with the primary. */
export interface SwitchingStep {
  kind: 'switching'
  term: number
  primary: DatabaseId
  target: DatabaseId
  startedAt: Milliseconds
  stop: StopDirectory | null
  isReleased: boolean
  /** Position of the primary, requested after the release of the term. */
  primaryPosition: LogPosition | null
  targetPosition: LogPosition | null
  queriedAt: Milliseconds
}

/** The leader has proposed `begin-election` and waits for the answer of the log. */
export interface BeginningStep {
  kind: 'beginning'
  term: number
  plan: ElectionPlan
}

/** The term is committed and belongs to this leader. */
export interface ElectingStep {
  kind: 'electing'
  term: number
  plan: ElectionPlan
  /** Last answer of each database that is fenced for this term. */
  fencedStatuses: Map<DatabaseId, DatabaseStatus>
  fenceSentAt: Map<DatabaseId, Milliseconds>
  /** Whether a database refused the term because it is fenced for a higher one. */
  refused: boolean
  majorityFencedAt: Milliseconds | null
  startedAt: Milliseconds
}

/** The leader has chosen a database. No other database gets a promote order in the same term. */
export interface PromotingStep {
  kind: 'promoting'
  term: number
  plan: ElectionPlan
  target: DatabaseId
  /** Start of the promotion time-out. It advances with each call until the old term is released. */
  startedAt: Milliseconds
  sentAt: Milliseconds | null
  refused: boolean
}

/** The database is primary. The leader proposes `set-primary` until the replicated log names it. */
export interface RecordingStep {
  kind: 'recording'
  term: number
  plan: ElectionPlan
  database: DatabaseId
}

export type GroupStep = IdleStep | SwitchingStep | BeginningStep | ElectingStep | PromotingStep | RecordingStep
