import type { Milliseconds } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { DirectoryVersion } from '../../types/directory.js'
import type { DatabaseId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'

/** The directory that first told the holders to stop acknowledging. */
export interface StopOrder {
  version: DirectoryVersion
  publishedAt: Milliseconds
}

/**
 * - `lost`: the primary is taken to be lost
 * - `planned`: a switchover
 * - `first`: the group had no primary yet
 * - `interrupted`: another leader, or an earlier try, left the group without a primary
 */
export type ElectionCause = 'lost' | 'planned' | 'first' | 'interrupted'

/** What an election keeps over several terms. */
export interface ElectionPlan {
  cause: ElectionCause
  /** Term in service before; 0 if none is known. */
  oldTerm: number
  oldPrimary: DatabaseId | null
  /** Target of a planned switchover. */
  preferred: DatabaseId | null
  /** Running primary whose term is taken over at the first start; no election is needed then. */
  adopted: DatabaseId | null
  /** Last proof of the old primary, or start of the switchover. */
  gapSince: Milliseconds | null
  /** First directory of the election; null until it is published. */
  stop: StopOrder | null
}

export interface IdleStep { kind: 'idle' }

/** Holders keep new writes queued; the target catches up. */
export interface SwitchingStep {
  kind: 'switching'
  term: number
  primary: DatabaseId
  target: DatabaseId
  startedAt: Milliseconds
  stop: StopOrder | null
  released: boolean
  /** Position of the primary, asked for after the release. */
  primaryPosition: LogPosition | null
  targetPosition: LogPosition | null
  queriedAt: Milliseconds
}

/** `begin-election` was proposed. */
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
  /** Last answer of each fenced database. */
  fenced: Map<DatabaseId, DatabaseStatus>
  fenceSentAt: Map<DatabaseId, Milliseconds>
  /** A database refused the term, as it was fenced for a higher one. */
  refused: boolean
  majorityAt: Milliseconds | null
  startedAt: Milliseconds
}

/** One database was chosen. Within a term it stays the only one that is asked to become primary. */
export interface PromotingStep {
  kind: 'promoting'
  term: number
  plan: ElectionPlan
  target: DatabaseId
  startedAt: Milliseconds
  sentAt: Milliseconds | null
  refused: boolean
}

/** The database is primary; `set-primary` is proposed until the log says so. */
export interface RecordingStep {
  kind: 'recording'
  term: number
  plan: ElectionPlan
  database: DatabaseId
}

export type GroupStep = IdleStep | SwitchingStep | BeginningStep | ElectingStep | PromotingStep | RecordingStep
