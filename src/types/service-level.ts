import type { IncarnationId, InstanceId, WorkspaceId } from './ids.js'
import type { ResultName } from './result-code.js'

/** What an objective of a workspace measures. */
export type ObjectiveName = 'availability' | 'latency' | 'staleness'

export const objectiveNames: readonly ObjectiveName[] = ['availability', 'latency', 'staleness']

/** Requests that an objective counts. */
export interface Tally {
  total: number
  bad: number
}

export type Tallies = Record<ObjectiveName, Tally>

/** One finished request of a workspace. */
export interface FinishedRequest {
  workspace: WorkspaceId
  /** Name of the refusal; null: success. */
  refusal: ResultName | null
  durationMs: number
  /** Age of the data that a read returned, in milliseconds; null when none was read. */
  ageMs: number | null
  /** Whether the workspace was within its rate and burst when it sent the request. */
  withinRate: boolean
}

export interface WorkspaceIncrement {
  workspace: WorkspaceId
  tallies: Tallies
}

/** Requests that finished at one instance since its previous increment. */
export interface ServiceLevelIncrement {
  version: 1
  kind: 'service-level-increment'
  instance: InstanceId
  incarnation: IncarnationId
  /** Counts the increments of one incarnation from 1; a resend keeps its number. */
  sequence: number
  workspaces: WorkspaceIncrement[]
}

/** Acknowledges every increment up to a number. */
export interface ServiceLevelAcknowledgement {
  version: 1
  kind: 'service-level-acknowledgement'
  incarnation: IncarnationId
  sequence: number
}

/** A change of the service-level state, as the replicated log carries it. */
export interface ServiceLevelCommand {
  kind: 'count-requests'
  /** Time of day at the control leader in milliseconds since 1970; members apply this one and not their own. */
  at: number
  increments: ServiceLevelIncrement[]
}

/** Requests that finished in one interval of time. */
export interface Bucket extends Tallies {
  /** Start of the interval in milliseconds since 1970. */
  start: number
}

export interface WorkspaceBuckets {
  workspace: WorkspaceId
  /** Intervals of 10 s over the last 5 min, oldest first; intervals without requests are absent. */
  fine: Bucket[]
  /** Intervals of 5 min over the last 3 days. */
  coarse: Bucket[]
}

/** What is known of one incarnation that sent increments. */
export interface IncrementSender {
  incarnation: IncarnationId
  /** Highest number that was counted. */
  sequence: number
  /** Time of the last increment in milliseconds since 1970. */
  at: number
}

/** Derived from all commands; plain data, so that a snapshot can hold it. */
export interface ServiceLevelState {
  /** Time of the latest command. */
  at: number
  senders: IncrementSender[]
  /** Increments whose number was skipped; their requests are missing from the counts. */
  lostIncrements: number
  workspaces: WorkspaceBuckets[]
}

/** @returns the state before the first command */
export const emptyServiceLevels = (): ServiceLevelState => ({ at: 0, senders: [], lostIncrements: 0, workspaces: [] })
