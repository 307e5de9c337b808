/** Credentials with which catkinrelay connects to databases; the same for every database of every group. */
export interface DatabaseCredentials {
  user: string
  password: string
  /** Name of the database within the server. */
  database: string
}

/** Settings of all connections to databases. */
export interface PostgresOptions {
  credentials: DatabaseCredentials
  /** Time to establish a connection, and the same time again for its first status, in ms; default 400. */
  connectTimeoutMs?: number
  /** How long a database may delay the answer to a status call while nothing changes, in ms; default 150, since connection holders poll the status every 200 ms. */
  statusWaitMs?: number
  /** Time after `statusWaitMs` from which a status answer is overdue, in ms; default 250. */
  statusOverdueMs?: number
  /** Pause before reopening a lost status connection, in ms; default 50. */
  reconnectPauseMs?: number
  /** Time for the answer to an order, in ms; default 800, above the 300 ms that a database may take to align its log. */
  orderTimeoutMs?: number
}

export type ResolvedPostgresOptions = Required<PostgresOptions>

const DEFAULT_CONNECT_TIMEOUT_MS = 400
const DEFAULT_STATUS_WAIT_MS = 150
const DEFAULT_STATUS_OVERDUE_MS = 250
const DEFAULT_RECONNECT_PAUSE_MS = 50
const DEFAULT_ORDER_TIMEOUT_MS = 800

/** Fills in the defaults. */
export function resolvePostgresOptions (options: PostgresOptions): ResolvedPostgresOptions {
  return {
    connectTimeoutMs: DEFAULT_CONNECT_TIMEOUT_MS,
    statusWaitMs: DEFAULT_STATUS_WAIT_MS,
    statusOverdueMs: DEFAULT_STATUS_OVERDUE_MS,
    reconnectPauseMs: DEFAULT_RECONNECT_PAUSE_MS,
    orderTimeoutMs: DEFAULT_ORDER_TIMEOUT_MS,
    ...options
  }
}
