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
import type { GiveOrder } from './failover-effects.js'
import type { RateTolerance } from './share-resources.js'

export interface CoordinatorOptions {
  clock: Clock
  log: ControlLog
  allocator: ShareAllocator
  /** Calls of the databases, or another way to carry out orders. */
  orders: DatabaseOrders | GiveOrder
  send: (connection: ConnectionName, message: ControlToEntry) => void
  logEvent: LogEvent
  /** Times of the failover that differ from their defaults. */
  failover?: Omit<FailoverOptions, 'blackboard' | 'clock'>
  /** Creates the controller that changes primaries. Default: the failover that fences databases itself. */
  createFailover?: (options: FailoverOptions) => FailoverController
  /**
   * - `placed`: a few instances hold the connections of each group, and share out its slots and connections
   * - `every-instance`: each instance connects to the databases itself
   * Default: `placed`.
   */
  holders?: 'placed' | 'every-instance'
  /** @returns the instances among which the rate of a workspace is divided; null: all of them. Default: all. */
  selectRateHolders?: (workspace: WorkspaceId, instances: readonly DirectoryInstance[]) => readonly InstanceId[] | null
  /** Silence after which an instance is lost, in ms. Default: one freshness lease with drift. */
  instanceLostMs?: number
  /** Whether instances are recorded in the control log before they get shares. Default false. */
  recordInstances?: boolean
  /** Excess over rates and bursts that is shared out, too, so that small rates can be divided. Default: none. */
  rateTolerance?: RateTolerance
  /** Age up to which a proof of leadership serves further heartbeats, in ms; an older one is renewed first. Default: each heartbeat gets its own. */
  maxProofAgeMs?: number
  /** Whether the directory lists the control members, for instances whose settings may be out of date. Default false. */
  publishMembers?: boolean
}
