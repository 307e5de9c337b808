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
  /** Whether the workspace was within its rate and burst when the request arrived. */
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
  /** Numbers the increments of one incarnation from 1; a retry keeps its number. */
  sequence: number
  workspaces: WorkspaceIncrement[]
}

/** Acknowledges every increment of an incarnation up to `sequence`. */
export interface ServiceLevelAcknowledgement {
  version: 1
  kind: 'service-level-acknowledgement'
  incarnation: IncarnationId
  sequence: number
}

/** Entry of the replicated log that adds counts to the service-level state. */
export interface ServiceLevelCommand {
  kind: 'count-requests'
  /** Time of day at the control leader in milliseconds since 1970. Members use this time and not their own, so that their states agree. */
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

/** Which increments of one incarnation were counted. */
export interface IncrementSender {
  incarnation: IncarnationId
  /** Highest sequence number that was counted. */
  sequence: number
  /** Time of the last increment in milliseconds since 1970. */
  at: number
}

/** State derived from all `count-requests` commands. It is plain data, so that a snapshot can contain it. */
export interface ServiceLevelState {
  /** Time of the latest command in milliseconds since 1970. */
  at: number
  senders: IncrementSender[]
  /** Number of increments that never arrived. Their requests are missing from the counts. */
  lostIncrements: number
  workspaces: WorkspaceBuckets[]
}

/** @returns the state before the first command */
export const createEmptyServiceLevels = (): ServiceLevelState => ({ at: 0, senders: [], lostIncrements: 0, workspaces: [] })
