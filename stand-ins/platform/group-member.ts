import type { LogEntry } from './group-record.js'

/** One database of a group. */
export interface GroupMember {
  readonly id: string
  readonly port: number
  /** Log entries that the database has received. */
  readonly log: LogEntry[]
  /** Number of log entries, from the first one on, whose writes reads return. */
  applied: number
  isUp: boolean
  /** Whether it has ended as planned. Its successor has its port and its log. */
  hasEnded: boolean
  /** Start of its incarnation, in milliseconds of its time of day. */
  bornAt: number
  /** Term for which a PAUSE statement fenced the database; 0 while it accepts replication. */
  fencedTerm: number
  /** Delay before replication reaches the database, in ms. */
  lagMs: number
  /** Whether replication to the database is cut off. */
  isCutOff: boolean
}
