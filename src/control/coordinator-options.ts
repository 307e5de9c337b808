import type { FailoverController } from '../decisions/failover/failover-controller.js'
import type { FailoverOptions } from '../decisions/failover/failover-options.js'
import type { Clock } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import type { ControlToEntry } from '../types/control-message.js'
import type { DatabaseOrders } from '../types/database-connection.js'
import type { DirectoryInstance } from '../types/directory.js'
import type { InstanceId, WorkspaceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { ShareAllocator } from '../types/share-allocator.js'
import type { ConnectionName } from './entry-connections.js'
import type { ExecuteOrder } from './failover-effects.js'
import type { RateTolerance } from './share-resources.js'

export interface CoordinatorOptions {
  clock: Clock
  log: ControlLog
  allocator: ShareAllocator
  /** Requests to the databases themselves, or a function that executes orders in another way. */
  orders: DatabaseOrders | ExecuteOrder
  send: (connection: ConnectionName, message: ControlToEntry) => void
  logEvent: LogEvent
  /** Options of the failover controller that differ from their defaults. */
  failover?: Omit<FailoverOptions, 'blackboard' | 'clock'>
  /** Creates the controller that changes primaries. Default: a controller that fences the databases itself. */
  createFailoverController?: (options: FailoverOptions) => FailoverController
  /**
   * - `placed`: a few instances hold the connections of each group, and the leader divides its slots and connections among them
   * - `every-instance`: each instance connects to the databases itself
   * Default: `placed`.
   */
  holders?: 'placed' | 'every-instance'
  /** @returns the instances among which the leader divides the rate of a workspace; null: all instances. Default: all. */
  selectRateHolders?: (workspace: WorkspaceId, rate: number, instances: readonly DirectoryInstance[]) => readonly InstanceId[] | null
  /** Time without a heartbeat after which an instance is lost, in ms. Default: one freshness lease with drift. */
  instanceLostMs?: number
  /** Whether the leader records an instance in the control log before it grants shares to it. Default false. */
  recordInstances?: boolean
  /** Time for which entry instances serve without a confirmation by control, in ms; that of the entry instances. Default: that of a share lease. */
  unconfirmedServiceMs?: number
  /** Whether the leader records in the control log which instances may hold shares of each rate. All control members must know the command. Default false. */
  recordRateHolders?: boolean
  /** Excess over rates and bursts that the leader also grants, so that it can divide small rates. Default: none. */
  rateTolerance?: RateTolerance
  /** Maximum age of a leadership confirmation with which the leader answers further heartbeats, in ms. Default: each heartbeat waits for a new confirmation. */
  maxConfirmationAgeMs?: number
  /** Time between two announcements of a database, in ms. Default 1000. */
  announcementIntervalMs?: number
  /** Whether the directory lists the control members, for entry instances whose settings may list former members. Default false. */
  publishMembers?: boolean
}
