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

/** Body of `POST /v1/announcements`, repeated by each database every second. */
export interface Announcement {
  database: DatabaseId
  group: GroupId
  address: Address
  failureDomain: FailureDomainId
  departing: boolean
  status: DatabaseStatus
}
