import type { Announcement, DatabaseStatus } from './database-status.js'
import type { Directory, DirectoryVersion } from './directory.js'
import type { Address, DatabaseId, FailureDomainId, GroupId, IncarnationId, InstanceId } from './ids.js'
import type { Manifest } from './manifest.js'
import type { ServiceLevelAcknowledgement, ServiceLevelIncrement } from './service-level.js'
import type { GrantedShare, HeldShare, ShareDemand } from './share.js'

/** What a holder last saw of a database over its status connection. */
export interface DatabaseObservation {
  database: DatabaseId
  status: DatabaseStatus | null
  /** Milliseconds since the last answer from the database itself. */
  silentForMs: number
}

/** A group term under which the instance will never again acknowledge a write. */
export interface ReleasedTerm {
  group: GroupId
  term: number
}

/** Sent by each entry instance to the control leader every 500 ms, or at once when something changed. */
export interface Heartbeat {
  version: 1
  kind: 'heartbeat'
  sequence: number
  instance: InstanceId
  incarnation: IncarnationId
  peerAddress: Address
  failureDomain: FailureDomainId
  draining: boolean
  /** Term of the leader that last answered; 0 if none. A new leader adopts held shares only when this is its own term. */
  leaderTerm: number
  /** 0: holds none. */
  manifestVersion: number
  directoryVersion: DirectoryVersion | null
  /** Time in which this run has held no share, in milliseconds; absent: unknown. */
  idleMs?: number
  held: HeldShare[]
  demand: ShareDemand[]
  observations: DatabaseObservation[]
  releasedTerms: ReleasedTerm[]
}

/** Sent only after a majority confirmed the leader, in a round that began after the heartbeat arrived or `provenMsAgo` before the answer. */
export interface HeartbeatAnswer {
  version: 1
  kind: 'heartbeat-answer'
  sequence: number
  leaderTerm: number
  /** Age of the proof behind the answer, in milliseconds; absent: the proof is newer than the heartbeat. */
  provenMsAgo?: number
  manifestVersion: number
  directoryVersion: DirectoryVersion
  /** Every share of this instance; a resource that is absent is not held any more. */
  shares: GrantedShare[]
}

export interface ManifestMessage {
  version: 1
  kind: 'manifest'
  manifestVersion: number
  manifest: Manifest
}

export interface DirectoryMessage {
  version: 1
  kind: 'directory'
  directory: Directory
}

export interface NotLeader {
  version: 1
  kind: 'not-leader'
  leaderAddress: Address | null
}

/** A database announcement that reached an entry instance. */
export interface AnnouncementMessage {
  version: 1
  kind: 'announcement'
  /** Time since the announcement reached the instance, in milliseconds; above 0 when it is repeated to a new leader. */
  ageMs: number
  announcement: Announcement
}

/** Asks for a heartbeat at once, because shares or the directory changed. */
export interface HeartbeatRequest {
  version: 1
  kind: 'heartbeat-request'
}

/** The last message of a run that ends as planned: it admits nothing and uses no primary any more. */
export interface LeaveMessage {
  version: 1
  kind: 'leave'
  instance: InstanceId
  incarnation: IncarnationId
}

export type EntryToControl = Heartbeat | AnnouncementMessage | ServiceLevelIncrement | LeaveMessage
export type ControlToEntry = HeartbeatAnswer | ManifestMessage | DirectoryMessage | NotLeader | HeartbeatRequest | ServiceLevelAcknowledgement
