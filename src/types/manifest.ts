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

/** One key of a workspace. The key itself is known to its callers only. */
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
  /** Requests that may come at once over all instances together. */
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
 * - `read-your-writes`: the same, and every commit of the session
 */
export type ReadConsistency = 'primary' | 'bounded-staleness' | 'read-your-writes'

/** A named database on which callers open sessions over a connection. */
export interface SessionEndpoint {
  /** Name that the caller gives when it opens the session. */
  name: string
  /** Endpoints of one name differ in their paths; a session that names none takes the shortest. */
  path: string
  group: GroupId
  consistency: ReadConsistency
  /** Oldest data that a read may return, in milliseconds; 0 on `primary` endpoints. */
  maxStalenessMs: number
  /** Longest time of one statement in milliseconds. */
  statementTimeoutMs: number
  /** Time in which an operation should be answered, in milliseconds. */
  objectiveMs: number
  /** 0 is served first. */
  priority: number
  /** Whether the endpoint needs no key. */
  open: boolean
}

/** Limits of connection-oriented sessions. */
export interface SessionLimits {
  /** A transaction that runs no statement for this long may be ended, in milliseconds. */
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
  /** `out`: gets no new work. */
  state: 'in' | 'out'
}

/** Everything that operators configure. Checked by `src/settings/manifest-schema.ts`. */
export interface Manifest {
  formatVersion: 1
  failureDomains: FailureDomain[]
  groups: DatabaseGroup[]
  workspaces: Workspace[]
  routes: Route[]
  endpoints?: SessionEndpoint[] | undefined
  sessionLimits?: SessionLimits | undefined
}
