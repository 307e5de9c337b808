import type { Announcement, DatabaseStatus } from './database-status.js'
import type { Directory, DirectoryVersion } from './directory.js'
import type { Address, DatabaseId, FailureDomainId, GroupId, IncarnationId, InstanceId } from './ids.js'
import type { Manifest } from './manifest.js'
import type { ServiceLevelAcknowledgement, ServiceLevelIncrement } from './service-level.js'
import type { GrantedShare, HeldShare, ShareDemand } from './share.js'
import type { UsageAnswer, UsageReport } from './usage.js'

/** What a connection holder last observed of a database. */
export interface DatabaseObservation {
  database: DatabaseId
  /** Newest status that the connection holder received from the database; null: none. */
  status: DatabaseStatus | null
  /** Milliseconds since the connection holder last received an answer from the database itself. */
  silentForMs: number
}

/** A released term of a group: the instance will never again acknowledge a write under it. */
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
  /** Term of the leader whose answer the instance received last; 0: none. A new leader adopts held shares only if this is its own term. */
  leaderTerm: number
  /** Version of the manifest that the instance holds; 0: none. */
  manifestVersion: number
  directoryVersion: DirectoryVersion | null
  /** Time for which this incarnation has held no share, in milliseconds; absent: unknown. */
  idleMs?: number
  held: HeldShare[]
  demand: ShareDemand[]
  observations: DatabaseObservation[]
  releasedTerms: ReleasedTerm[]
  /** Absent where metering is off. */
  usage?: UsageReport
}

/**
 * Sent by the control leader only with a leadership confirmation. The control log's heartbeat round that confirmed the leadership began after
 * the leader received the heartbeat of the instance. If `provenMsAgo` is present, the round began that long before the answer.
 */
export interface HeartbeatAnswer {
  version: 1
  kind: 'heartbeat-answer'
  sequence: number
  leaderTerm: number
  /** Age of the leadership confirmation behind the answer, in milliseconds; absent: the confirmation is newer than the heartbeat. */
  provenMsAgo?: number
  manifestVersion: number
  directoryVersion: DirectoryVersion
  /** Every share of this instance. It no longer holds a share of a resource that is absent. */
  shares: GrantedShare[]
  /** Absent where metering is off, and while the leader does not know true time. */
  usage?: UsageAnswer
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

/** A database announcement that an entry instance received and forwards to the leader. */
export interface AnnouncementMessage {
  version: 1
  kind: 'announcement'
  /** Time since the instance received the announcement, in milliseconds. Above 0 when the instance repeats it to a new leader. */
  ageMs: number
  announcement: Announcement
}

/** Requests a heartbeat at once, because shares or the directory changed. */
export interface HeartbeatRequest {
  version: 1
  kind: 'heartbeat-request'
}

/** Last message of an incarnation that leaves as planned. It admits no request and uses no primary any more. */
export interface LeaveMessage {
  version: 1
  kind: 'leave'
  instance: InstanceId
  incarnation: IncarnationId
  /** Last counts of the incarnation; absent where metering is off. */
  usage?: UsageReport
}

export type EntryToControl = Heartbeat | AnnouncementMessage | ServiceLevelIncrement | LeaveMessage
export type ControlToEntry = HeartbeatAnswer | ManifestMessage | DirectoryMessage | NotLeader | HeartbeatRequest | ServiceLevelAcknowledgement
