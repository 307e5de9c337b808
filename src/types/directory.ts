import type { Address, DatabaseId, FailureDomainId, GroupId, IncarnationId, InstanceId } from './ids.js'

/** Version of a directory, ordered by leader term and then by counter. Each leader starts a new sequence. */
export interface DirectoryVersion {
  leaderTerm: number
  counter: number
}

export interface DirectoryInstance {
  instance: InstanceId
  incarnation: IncarnationId
  peerAddress: Address
  failureDomain: FailureDomainId
  draining: boolean
}

/**
 * - `serving`: the primary accepts writes under `term`
 * - `switching`: planned switchover; connection holders queue new writes and finish those in flight
 * - `electing`: primary election; no connection holder acknowledges writes until `term` has a primary
 */
export type GroupPhase = 'serving' | 'switching' | 'electing'

export interface DirectoryGroup {
  group: GroupId
  /** Term of the current primary, or of the primary election in progress. */
  term: number
  primary: DatabaseId | null
  phase: GroupPhase
  /** Connection holders of the group: the instances that have connections to its databases. */
  holders: InstanceId[]
}

export interface DirectoryDatabase {
  database: DatabaseId
  group: GroupId
  address: Address
  failureDomain: FailureDomainId
  /** 0: the database gets no new work, because it departs or its failure domain is out. Rises to 1 after its return. */
  weight: number
  /** Statements that the database runs at a time; absent where its announcements don't say. */
  slots?: number
}

/** What the control leader publishes to every instance. */
export interface Directory {
  version: DirectoryVersion
  instances: DirectoryInstance[]
  groups: DirectoryGroup[]
  databases: DirectoryDatabase[]
  /** Addresses of the control members; empty when the settings of the instances list them. */
  controlMembers?: Address[]
}
