import type { Address, DatabaseId, FailureDomainId, GroupId } from '../../src/types/ids.js'

/** Recipients of a stand-in's announcements. */
export interface AnnouncementOptions {
  /** `host:port` of instances. The stand-in moves on to the next one when one fails. */
  instances: Address[]
  /** Bearer token of the `Authorization` header. */
  secret: string
}

/** Sizes, times and addresses of one stand-in. */
export interface DatabaseStandInOptions {
  database: DatabaseId
  group: GroupId
  failureDomain: FailureDomainId
  /** Role at the first start. `self`: primary of `firstTerm`; an address: replica of that primary; null: waits for an order. */
  firstPrimary: 'self' | Address | null
  /** Term of the group at the first start; default 1. */
  firstTerm?: number
  /** Address to listen on; default 127.0.0.1. */
  host?: string
  /** Default 0: a free port, which the stand-in keeps when it restarts in the same process. */
  port?: number
  /** Password of every user, sent in clear text; default null: clients need no password. */
  password?: string | null
  /** Data statements and sleeps that run at the same time; default 5. */
  slots?: number
  /** Maximum number of client connections. The stand-in refuses more with SQLSTATE 53300. Default 30. */
  connections?: number
  /** Time that the stand-in takes to accept a connection, in ms; default 10. */
  connectCostMs?: number
  /** Time for which a data statement uses its slot, in ms; default 1. */
  statementCostMs?: number
  /** Delay of all traffic in each direction, in ms; default 0. */
  networkDelayMs?: number
  /** Delay before a replica applies a received message, in ms; default 0. */
  replicationLagMs?: number
  /** Recipients of announcements; default null: the stand-in sends none. */
  announcements?: AnnouncementOptions | null
  /** Whether the stand-in records the writes that it applies; default false. */
  recordHistory?: boolean
}

export type ResolvedDatabaseStandInOptions = Required<DatabaseStandInOptions>

const DEFAULT_SLOTS = 5
const DEFAULT_CONNECTIONS = 30
const DEFAULT_CONNECT_COST_MS = 10
const DEFAULT_STATEMENT_COST_MS = 1

/** @returns the options with defaults for those that are missing */
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
