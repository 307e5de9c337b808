import type { Address, DatabaseId, FailureDomainId, GroupId } from '../../src/types/ids.js'

/** Where and how a stand-in announces itself. */
export interface AnnouncementOptions {
  /** `host:port` of instances; the next one is used when one fails. */
  instances: Address[]
  /** Sent as `Authorization: Bearer`. */
  secret: string
}

/** Sizes, times and addresses of one stand-in. */
export interface DatabaseStandInOptions {
  database: DatabaseId
  group: GroupId
  failureDomain: FailureDomainId
  /** `self`: starts as primary of `firstTerm`; an address: replicates from there; null: waits for an order. */
  firstPrimary: 'self' | Address | null
  /** Default 1. */
  firstTerm?: number
  /** Default 127.0.0.1. */
  host?: string
  /** Default 0: any free port, kept over restarts of the object. */
  port?: number
  /** Cleartext password of every user; default null: no password is asked for. */
  password?: string | null
  /** Data statements that run at a time; default 5. */
  slots?: number
  /** Client connections; more are refused with 53300. Default 30. */
  connections?: number
  /** Time until a new connection is accepted, in ms; default 10. */
  connectCostMs?: number
  /** Time for which a data statement occupies its slot, in ms; default 1. */
  statementCostMs?: number
  /** Delay of all traffic in each direction, in ms; default 0. */
  networkDelayMs?: number
  /** Delay before a replica applies what it received, in ms; default 0. */
  replicationLagMs?: number
  /** Default null: no announcements. */
  announcements?: AnnouncementOptions | null
  /** Whether applied writes are recorded; default false. */
  recordHistory?: boolean
}

export type ResolvedDatabaseStandInOptions = Required<DatabaseStandInOptions>

const DEFAULT_SLOTS = 5
const DEFAULT_CONNECTIONS = 30
const DEFAULT_CONNECT_COST_MS = 10
const DEFAULT_STATEMENT_COST_MS = 1

/** Fills in the defaults. */
export function resolveDatabaseStandInOptions (options: DatabaseStandInOptions): ResolvedDatabaseStandInOptions {
  return {
    firstTerm: 1,
    host: '127.0.0.1',
    port: 0,
    password: null,
    slots: DEFAULT_SLOTS,
    connections: DEFAULT_CONNECTIONS,
    connectCostMs: DEFAULT_CONNECT_COST_MS,
    statementCostMs: DEFAULT_STATEMENT_COST_MS,
    networkDelayMs: 0,
    replicationLagMs: 0,
    announcements: null,
    recordHistory: false,
    ...options
  }
}
