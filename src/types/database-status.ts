import type { DatabaseId, FailureDomainId, GroupId, Address, IncarnationId } from './ids.js'
import type { LogPosition } from './log-position.js'

export type DatabaseRole = 'primary' | 'replica'

/** Answer of the SQL functions `catkinrelay.status` and `catkinrelay.wait_status`. */
export interface DatabaseStatus {
  database: DatabaseId
  /** Changes with each start of the database; positions of an earlier incarnation are void. */
  incarnation: IncarnationId
  role: DatabaseRole
  /** Term under which the database accepts writes (primary) or replicates (replica). */
  term: number
  /** Highest term for which the database was fenced; it accepts nothing of a lower term. */
  fencedTerm: number
  /** Last entry of its log. */
  position: LogPosition
  /** Greatest age that its data may have, in milliseconds; 0 on a primary. */
  ageMs: number
}

/** One incarnation of a database server, and the place of an announcement in it. */
export interface DatabaseIncarnation {
  /** Start of the incarnation in milliseconds of the database's time of day. A later incarnation replaces an earlier one of the same name. */
  startedAt: number
  /** Increases with each announcement of the incarnation. */
  sequence: number
  /** The database announced its end and serves nothing any more. */
  gone: boolean
}

/** Body of `POST /v1/announcements`, repeated by each database every second. */
export interface Announcement {
  database: DatabaseId
  group: GroupId
  address: Address
  failureDomain: FailureDomainId
  departing: boolean
  /** Statements that the database runs at a time; absent where its announcements don't say. */
  slots?: number
  /** Orders the announcements of a database, which may arrive late; absent: the order of arrival counts. */
  run?: DatabaseIncarnation
  status: DatabaseStatus
}
