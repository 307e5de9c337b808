import type { DatabaseId, FailureDomainId, GroupId, Address, IncarnationId } from './ids.js'
import type { LogPosition } from './log-position.js'

export type DatabaseRole = 'primary' | 'replica'

/** Answer of the SQL functions `catkinrelay.status` and `catkinrelay.wait_status`. */
export interface DatabaseStatus {
  database: DatabaseId
  /** Changes with each start of the database; positions of an earlier one are void. */
  incarnation: IncarnationId
  role: DatabaseRole
  /** Term under which the database takes writes (primary) or replicates (replica). */
  term: number
  /** Highest term that the database was fenced for; it takes nothing of a lower one. */
  fencedTerm: number
  /** Last entry of its log. */
  position: LogPosition
  /** How old its data may be, in milliseconds; 0 on a primary. */
  ageMs: number
}

/** One run of a database process, and the place of an announcement in it. */
export interface DatabaseRun {
  /** Start of the run in milliseconds of the database's time of day. A later run replaces an earlier one of the same name. */
  startedAt: number
  /** Rises with each announcement of the run. */
  sequence: number
  /** The run said that it ends; it serves nothing any more. */
  gone: boolean
}

/** Body of `POST /v1/announcements`, repeated by each database every second. */
export interface Announcement {
  database: DatabaseId
  group: GroupId
  address: Address
  failureDomain: FailureDomainId
  departing: boolean
  /** Orders announcements of a database whose delivery may be late; absent: the order of arrival counts. */
  run?: DatabaseRun
  status: DatabaseStatus
}
