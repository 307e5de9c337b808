import type { Milliseconds } from '../types/clock.js'
import type { ReleasedTerm } from '../types/control-message.js'
import type { Announcement, DatabaseStatus } from '../types/database-status.js'
import type { Directory, DirectoryVersion } from '../types/directory.js'
import type { Address, DatabaseId, FailureDomainId, GroupId, IncarnationId, InstanceId } from '../types/ids.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { defineEntry } from './blackboard.js'
import { createEmptyServiceLevels } from '../types/service-level.js'

/** One period in which this member leads the control log. */
export interface Leadership {
  /** Term of the control log. */
  term: number
  since: Milliseconds
}

/** What one connection holder last reported about one database. */
export interface ConnectionHolderObservation {
  status: DatabaseStatus | null
  /** Milliseconds for which the database had not answered when the heartbeat was sent. */
  silentForMs: number
  arrivedAt: Milliseconds
}

/** An entry instance that sends heartbeats to this leader. */
export interface RegisteredInstance {
  instance: InstanceId
  incarnation: IncarnationId
  peerAddress: Address
  failureDomain: FailureDomainId
  draining: boolean
  sequence: number
  lastHeartbeatAt: Milliseconds
  /** Since when heartbeats have arrived without a gap in which the instance may have been cut off. Its reports of silence count only from then on. */
  inContactSince: Milliseconds
  manifestVersion: number
  directoryVersion: DirectoryVersion | null
  releasedTerms: ReleasedTerm[]
  observations: ReadonlyMap<DatabaseId, ConnectionHolderObservation>
  /** Databases whose slots or connections the instance holds. */
  heldDatabases: ReadonlySet<DatabaseId>
}

/** A database that has announced itself. */
export interface RegisteredDatabase {
  announcement: Announcement
  /** Stays true for some time, so that a delayed older announcement does not make a departing database available again. */
  departing: boolean
  announcedAt: Milliseconds
  /** Latest status from an announcement or from a connection holder. */
  status: DatabaseStatus
  /** Latest time at which `status` can have been true. */
  statusAt: Milliseconds
  /** Its incarnation has announced itself once only, and no instance has had an answer of it. Absent: otherwise. */
  isUnconfirmed?: true
}

/** Result of the last switchover or failover of a group. */
export interface PrimaryChangeReport {
  planned: boolean
  /**
   * Time to the commit of the new primary, in milliseconds: from the last health evidence of the former primary (failover), or from the
   * start of the switchover. Null if the start of the gap is unknown, as at the first start of a group.
   */
  gapMs: number | null
  endedAt: Milliseconds
}

/** Written by `coordinator`. Null while this member does not lead. */
export const leadershipEntry = defineEntry<Leadership | null>('leadership', null)
/** Written by `coordinator`. */
export const replicatedStateEntry = defineEntry<ReplicatedState>('replicated-state', { manifestVersion: 0, manifest: null, acceptedDigests: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups: [], serviceLevels: createEmptyServiceLevels() })
/** Written by `instance-registry`. */
export const registeredInstancesEntry = defineEntry<ReadonlyMap<InstanceId, RegisteredInstance>>('registered-instances', new Map())
/** Written by `database-registry`. */
export const registeredDatabasesEntry = defineEntry<ReadonlyMap<DatabaseId, RegisteredDatabase>>('registered-databases', new Map())
/** Written by `database-weights`. */
export const databaseWeightsEntry = defineEntry<ReadonlyMap<DatabaseId, number>>('database-weights', new Map())
/** Written by `holder-placement`. */
export const connectionHoldersEntry = defineEntry<ReadonlyMap<GroupId, readonly InstanceId[]>>('holders', new Map())
/** Written by `failover` or `promotion`, whichever the process runs. Groups with a switchover in progress. */
export const switchingGroupsEntry = defineEntry<ReadonlySet<GroupId>>('switching-groups', new Set())
/** Written by `failover`, or by `promotion`, which records no changes: the map stays empty. */
export const primaryChangesEntry = defineEntry<ReadonlyMap<GroupId, PrimaryChangeReport>>('primary-changes', new Map())
/** Written by `directory-builder`. Null until the first directory of this leadership. */
export const publishedDirectoryEntry = defineEntry<Directory | null>('published-directory', null)
