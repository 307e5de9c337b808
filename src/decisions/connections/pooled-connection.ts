import type { Milliseconds } from '../../types/clock.js'
import type { ConnectionMode } from '../../types/executor-message.js'
import type { Address, ConnectionId, DatabaseId, IncarnationId } from '../../types/ids.js'

/** A connection that the pool counts against the share of its database. */
export interface PooledConnection {
  readonly id: ConnectionId
  readonly database: DatabaseId
  readonly address: Address
  readonly mode: ConnectionMode
  /** `busy`: it belongs to an operation or a transaction. */
  state: 'opening' | 'idle' | 'busy'
  /** Null while opening. */
  incarnation: IncarnationId | null
  /** When the state began. */
  since: Milliseconds
}

/** What the pool should hold for one database. */
export interface ConnectionTarget {
  database: DatabaseId
  address: Address
  /** Incarnation that was observed last; null when the database was never observed. */
  incarnation: IncarnationId | null
  /** Most connections over both modes. */
  limit: number
  /** Idle or opening connections wanted per mode, spare ones included. */
  wanted: Record<ConnectionMode, number>
  /** Connections per mode that requests wait for at this moment. */
  missing: Record<ConnectionMode, number>
}
