import type { FailureDomainId, GroupId, KeyId, WorkspaceId } from './ids.js'

/** Service-level objectives of a workspace. */
export interface Objectives {
  /** Share of requests that must succeed, between 0 and 1. */
  availability: number
  /** 99th percentile of answer times, in milliseconds. */
  latencyMs: number
  /** Oldest data that a read may return, in milliseconds. */
  stalenessMs: number
}

/** One key of a workspace. Only its callers know the key itself. */
export interface KeyEntry {
  id: KeyId
  /** SHA-256 of the key, 64 lower-case hexadecimal digits. */
  digest: string
}

export interface Workspace {
  id: WorkspaceId
  group: GroupId
  /** Requests per second over all instances together. */
  rate: number
  /** Requests that may arrive at the same moment, over all instances together. */
  burst: number
  /** Weight in fair queueing. */
  weight: number
  keys: KeyEntry[]
  objectives?: Objectives | undefined
}

export interface DatabaseGroup {
  id: GroupId
  /** Statements that each database runs at a time. */
  slots: number
  /** Connections that each database accepts from catkinrelay. */
  connections: number
  /** Replicas that the databases wait for before they acknowledge a commit; default 0. */
  acknowledgingReplicas?: number | undefined
}

/**
 * What a session may read.
 * - `primary`: every commit acknowledged before the read
 * - `bounded-staleness`: every commit acknowledged more than `maxStalenessMs` before the read
 * - `read-your-writes`: the same as `bounded-staleness`, and every commit of the session
 */
export type ReadConsistency = 'primary' | 'bounded-staleness' | 'read-your-writes'

/** A named endpoint at which callers open connection-oriented sessions. */
export interface SessionEndpoint {
  /** Name that the caller sends when it opens a session. */
  name: string
  /** Distinguishes endpoints of one name. A session that names no path gets the endpoint with the shortest path. */
  path: string
  group: GroupId
  consistency: ReadConsistency
  /** Oldest data that a read may return, in milliseconds; 0 on `primary` endpoints. */
  maxStalenessMs: number
  /** Longest time of one statement in milliseconds. */
  statementTimeoutMs: number
  /** Time in which the caller should have the answer to an operation, in milliseconds. */
  objectiveMs: number
  /** Operations with a lower number are served first; 0 is the lowest. */
  priority: number
  /** Whether the endpoint needs no key. */
  open: boolean
}

/** Limits of connection-oriented sessions. */
export interface SessionLimits {
  /** Time without a statement after which the system may end a transaction, in milliseconds. */
  idleTransactionMs: number
}

/** A statement that callers run by name. */
export interface Route {
  name: string
  workspace: WorkspaceId
  statement: string
  access: 'read' | 'write'
  /** Whether the route needs no key. */
  open: boolean
}

export interface FailureDomain {
  id: FailureDomainId
  /** `out`: the instances and databases of the failure domain get no new work. */
  state: 'in' | 'out'
}

/** Everything that operators configure. `src/settings/manifest-schema.ts` checks it. */
export interface Manifest {
  formatVersion: 1
  failureDomains: FailureDomain[]
  groups: DatabaseGroup[]
  workspaces: Workspace[]
  routes: Route[]
  endpoints?: SessionEndpoint[] | undefined
  sessionLimits?: SessionLimits | undefined
}
