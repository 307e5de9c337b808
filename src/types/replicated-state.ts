import type { Address, DatabaseId, FailureDomainId, GroupId, InstanceId, WorkspaceId } from './ids.js'
import type { Manifest } from './manifest.js'
import type { ServiceLevelCommand, ServiceLevelState } from './service-level.js'
import type { UsageCommand, UsageState } from './usage.js'

/** A change of the replicated state, as a log entry carries it. */
export type Command =
  /** `base`: version that the manifest replaces. If another version is in force, the command changes nothing. */
  | { kind: 'commit-manifest', base: number, manifest: Manifest, digest: string, operator: string }
  /** The highest version wins. A version that is not higher changes nothing and is accepted as a resend. */
  | { kind: 'adopt-manifest', version: number, manifest: Manifest, document: string, digest: string, operator: string }
  /** Takes a failure domain out of service or back in, independently of its state in the manifest. */
  | { kind: 'set-failure-domain', failureDomain: FailureDomainId, out: boolean }
  /**
   * `superseded`: records that this one replaces besides an earlier one of the same database, whatever their start. Absent in commands of
   * earlier versions of the program: the record then replaces those with its address and an earlier start.
   */
  | { kind: 'record-database', database: DatabaseRecord, superseded?: SupersededRecord[] }
  /** Must be applied before the instance may hold any share. */
  | { kind: 'record-instance', instance: InstanceId }
  /** The shares of the instance have expired or it left as planned. */
  | { kind: 'forget-instance', instance: InstanceId }
  /** Must be applied before a new holder of a rate gets its first share. Replaces the records of the named workspaces. */
  | { kind: 'record-rate-holders', holders: RateHolderRecord[] }
  | { kind: 'begin-election', group: GroupId, term: number }
  | { kind: 'set-primary', group: GroupId, term: number, database: DatabaseId }
  | ServiceLevelCommand
  | UsageCommand
  /** Changes nothing. Once it is applied, everything that earlier leaders committed is applied too. */
  | { kind: 'barrier' }

/** Instances that may hold a share of the rate of a workspace. */
export interface RateHolderRecord {
  workspace: WorkspaceId
  instances: InstanceId[]
}

export interface ReplicatedGroup {
  group: GroupId
  term: number
  primary: DatabaseId | null
  /** `electing`: `term` has begun and has no primary yet. */
  phase: 'serving' | 'electing'
}

/** What every leader must know of a database before it receives an announcement from it. */
export interface DatabaseRecord {
  database: DatabaseId
  group: GroupId
  address: Address
  failureDomain: FailureDomainId
  /** Start of its incarnation, in milliseconds of its own time of day; orders the incarnations of one name. */
  startedAt: number
  role: 'primary' | 'replica'
  /** `gone`: the database announced its end. */
  state: 'ready' | 'departing' | 'gone'
  /** The incarnation announced itself once only, and nothing has answered at its address since. No leader uses it before it announces itself again. */
  unconfirmed?: true
  /** Where commits wait for replicas: term of the election that replaces this database as primary and does not need its position. */
  replacedIn?: number
  /** Where commits wait for replicas: elections can do without the position of this incarnation until it gives a sign again. */
  absent?: true
}

/** Names the record of one incarnation. */
export type SupersededRecord = Pick<DatabaseRecord, 'database' | 'startedAt'>

/** State that every control member derives from the replicated log. */
export interface ReplicatedState {
  /** 0: no manifest was committed yet. */
  manifestVersion: number
  manifest: Manifest | null
  /** Content digests of the latest accepted versions, oldest first. */
  acceptedDigests: { version: number, digest: string, operator: string }[]
  groups: ReplicatedGroup[]
  /** Document that an `adopt-manifest` carried, as the operator sent it; null if the manifest was committed directly. */
  manifestDocument: string | null
  /** Failure domains that a `set-failure-domain` has taken out of service. */
  withdrawnDomains: FailureDomainId[]
  /** Instances that may hold shares. A new leader that has received a report from each of them need not wait for leases to expire. */
  instances: InstanceId[]
  /** Instances that may hold a share of a rate, by workspace. Of a workspace without a record, and in states of earlier versions of the program, all in `instances` may. */
  rateHolders?: RateHolderRecord[]
  /** Latest record of each database that announces its incarnation, the latest change last. */
  databases: DatabaseRecord[]
  /** Requests counted against the objectives of their workspaces. */
  serviceLevels: ServiceLevelState
  /** Closed windows of metering; absent before the first one, and in snapshots of earlier versions of the program. */
  usage?: UsageState
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
  | { kind: 'usage-recorded' }
  | { kind: 'barrier-passed' }
