import type { Address, DatabaseId, FailureDomainId, GroupId, IncarnationId, InstanceId } from './ids.js'

/** Version of a directory: a new leader starts a new sequence. Ordered by leader term, then counter. */
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
 * - `serving`: the primary takes writes under `term`
 * - `switching`: planned switchover; holders keep new writes queued and finish running ones
 * - `electing`: nobody acknowledges writes; a new primary under `term` is being chosen
 */
export type GroupPhase = 'serving' | 'switching' | 'electing'

export interface DirectoryGroup {
  group: GroupId
  /** Term in force, or being elected. */
  term: number
  primary: DatabaseId | null
  phase: GroupPhase
  /** Instances that hold connections to the databases of the group. */
  holders: InstanceId[]
}

export interface DirectoryDatabase {
  database: DatabaseId
  group: GroupId
  address: Address
  failureDomain: FailureDomainId
  /** 0: gets no new work (departing, or its failure domain is out). Rises to 1 after a return. */
  weight: number
}

/** What the control leader publishes to every instance. */
export interface Directory {
  version: DirectoryVersion
  instances: DirectoryInstance[]
  groups: DirectoryGroup[]
  databases: DirectoryDatabase[]
  /** Addresses of the control members; empty when the settings of the instances name them. */
  controlMembers?: Address[]
}
