import type { Address, DatabaseId, FailureDomainId, GroupId, InstanceId } from './ids.js'
import type { Manifest } from './manifest.js'
import type { ServiceLevelCommand, ServiceLevelState } from './service-level.js'

/** A change that the replicated log carries. */
export type Command =
  | { kind: 'commit-manifest', base: number, manifest: Manifest, digest: string, operator: string }
  /** The highest version wins; a version that is not higher changes nothing and is accepted as a resend. */
  | { kind: 'adopt-manifest', version: number, manifest: Manifest, document: string, digest: string, operator: string }
  /** Takes a failure domain out of service, or back, beside what the manifest says. */
  | { kind: 'set-failure-domain', failureDomain: FailureDomainId, out: boolean }
  | { kind: 'record-database', database: DatabaseRecord }
  /** Recorded before an instance may hold shares of anything. */
  | { kind: 'record-instance', instance: InstanceId }
  /** Its shares have run out, and it has not come back. */
  | { kind: 'forget-instance', instance: InstanceId }
  | { kind: 'begin-election', group: GroupId, term: number }
  | { kind: 'set-primary', group: GroupId, term: number, database: DatabaseId }
  | ServiceLevelCommand
  /** Changes nothing; once it is applied, everything committed by earlier leaders is applied too. */
  | { kind: 'barrier' }

export interface ReplicatedGroup {
  group: GroupId
  term: number
  primary: DatabaseId | null
  /** `electing`: `term` has begun and has no primary yet. */
  phase: 'serving' | 'electing'
}

/** What every leader must know of a database without hearing from it. */
export interface DatabaseRecord {
  database: DatabaseId
  group: GroupId
  address: Address
  failureDomain: FailureDomainId
  /** Start of its run, in milliseconds of its own time of day; orders the runs of one name. */
  startedAt: number
  role: 'primary' | 'replica'
  /** `gone`: it said that it ends. */
  state: 'ready' | 'departing' | 'gone'
}

/** State that every control member derives from the log. */
export interface ReplicatedState {
  /** 0: none was committed yet. */
  manifestVersion: number
  manifest: Manifest | null
  /** Content digest of each accepted version that is still remembered, oldest first. */
  acceptedDigests: { version: number, digest: string, operator: string }[]
  groups: ReplicatedGroup[]
  /** Document from which the manifest was adopted, as the operator sent it; null if the manifest was committed itself. */
  manifestDocument: string | null
  /** Failure domains taken out by `set-failure-domain`. */
  withdrawnDomains: FailureDomainId[]
  /** Instances that may hold shares; a new leader that has heard all of them need not wait for leases to run out. */
  instances: InstanceId[]
  /** Databases that keep no list of their own and were recorded, by name. */
  databases: DatabaseRecord[]
  /** Requests counted against the objectives of their workspaces. */
  serviceLevels: ServiceLevelState
}

export type CommandAnswer =
  | { kind: 'manifest-accepted', manifestVersion: number, resent: boolean }
  | { kind: 'manifest-conflict', currentVersion: number, winningDigest: string, winningOperator: string }
  | { kind: 'group-changed', group: ReplicatedGroup }
  | { kind: 'group-conflict', group: ReplicatedGroup }
  | { kind: 'failure-domain-set' }
  | { kind: 'database-recorded' }
  | { kind: 'instances-recorded' }
  | { kind: 'requests-counted' }
  | { kind: 'barrier-passed' }
