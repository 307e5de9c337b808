import type { Milliseconds } from '../types/clock.js'
import type { ReleasedTerm } from '../types/control-message.js'
import type { Announcement, DatabaseStatus } from '../types/database-status.js'
import type { Directory, DirectoryVersion } from '../types/directory.js'
import type { Address, DatabaseId, FailureDomainId, GroupId, IncarnationId, InstanceId } from '../types/ids.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { defineEntry } from './blackboard.js'
import { emptyServiceLevels } from '../types/service-level.js'

/** One period in which this member leads the control log. */
export interface Leadership {
  /** Term of the control log. */
  term: number
  since: Milliseconds
}

/** What one holder last reported of one database. */
export interface HolderObservation {
  status: DatabaseStatus | null
  /** Milliseconds without an answer when the heartbeat was sent. */
  silentForMs: number
  arrivedAt: Milliseconds
}

/** An instance whose heartbeats arrive. */
export interface RegisteredInstance {
  instance: InstanceId
  incarnation: IncarnationId
  peerAddress: Address
  failureDomain: FailureDomainId
  draining: boolean
  sequence: number
  lastHeartbeatAt: Milliseconds
  manifestVersion: number
  directoryVersion: DirectoryVersion | null
  releasedTerms: ReleasedTerm[]
  observations: ReadonlyMap<DatabaseId, HolderObservation>
  /** Databases of which the instance holds slots or connections. */
  heldDatabases: ReadonlySet<DatabaseId>
}

/** A database that announced itself. */
export interface RegisteredDatabase {
  announcement: Announcement
  /** Sticky for some time, so that a delayed older announcement does not bring a departing database back. */
  departing: boolean
  announcedAt: Milliseconds
  /** Latest status from an announcement or a holder. */
  status: DatabaseStatus
  /** When that status was true at the latest. */
  statusAt: Milliseconds
}

/** How the last change of primary of a group went. */
export interface PrimaryChangeReport {
  planned: boolean
  /** From the last proof of the old primary (unplanned) or the first held write (planned) to the commit of the new one, in ms. Null if the old primary was never seen. */
  gapMs: number | null
  endedAt: Milliseconds
}

/** Written by `coordinator`. Null: this member does not lead. */
export const leadershipEntry = defineEntry<Leadership | null>('leadership', null)
/** Written by `coordinator`. */
export const replicatedStateEntry = defineEntry<ReplicatedState>('replicated-state', { manifestVersion: 0, manifest: null, acceptedDigests: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups: [], serviceLevels: emptyServiceLevels() })
/** Written by `instance-registry`. */
export const registeredInstancesEntry = defineEntry<ReadonlyMap<InstanceId, RegisteredInstance>>('registered-instances', new Map())
/** Written by `database-registry`. */
export const registeredDatabasesEntry = defineEntry<ReadonlyMap<DatabaseId, RegisteredDatabase>>('registered-databases', new Map())
/** Written by `database-weights`. */
export const databaseWeightsEntry = defineEntry<ReadonlyMap<DatabaseId, number>>('database-weights', new Map())
/** Written by `holder-placement`. */
export const holdersEntry = defineEntry<ReadonlyMap<GroupId, readonly InstanceId[]>>('holders', new Map())
/** Written by `failover`. Groups in a planned switchover. */
export const switchingGroupsEntry = defineEntry<ReadonlySet<GroupId>>('switching-groups', new Set())
/** Written by `failover`. */
export const primaryChangesEntry = defineEntry<ReadonlyMap<GroupId, PrimaryChangeReport>>('primary-changes', new Map())
/** Written by `directory-builder`. Null until the first one of this leadership. */
export const publishedDirectoryEntry = defineEntry<Directory | null>('published-directory', null)
