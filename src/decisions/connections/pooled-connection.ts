import type { Milliseconds } from '../../types/clock.js'
import type { ConnectionMode } from '../../types/executor-message.js'
import type { Address, ConnectionId, DatabaseId, IncarnationId } from '../../types/ids.js'

/** A connection in the pool. It counts against this instance's share of the database's connections. */
export interface PooledConnection {
  readonly id: ConnectionId
  readonly database: DatabaseId
  readonly address: Address
  readonly mode: ConnectionMode
  /** `busy`: an operation or a transaction uses the connection. */
  state: 'opening' | 'idle' | 'busy'
  /** Incarnation of the database that the connection belongs to; null while opening. */
  incarnation: IncarnationId | null
  /** When the connection entered its state. */
  since: Milliseconds
}

/** Connections that the pool should hold to one database. */
export interface ConnectionTarget {
  database: DatabaseId
  address: Address
  /** Incarnation in the last status of the database; null when there was none yet. */
  incarnation: IncarnationId | null
  /** Greatest number of connections of both modes together. */
  limit: number
  /** Number of idle or opening connections that the pool should have per mode, including spare ones. */
  wanted: Record<ConnectionMode, number>
  /** Number of connections per mode that requests wait for now. */
  missing: Record<ConnectionMode, number>
}
