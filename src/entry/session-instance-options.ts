import type { MachineSpeeds } from '../decisions/routing/should-compress-calls.js'
import type { HandshakeLimits } from '../adapters/ws/guard-handshakes.js'
import type { MeteringTimes } from '../decisions/metering/metering-times.js'
import type { Clock } from '../types/clock.js'
import type { OpenDatabaseSession } from '../types/database-session.js'
import type { Address, FailureDomainId, InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'

export interface SessionInstanceOptions {
  instance: InstanceId
  failureDomain: FailureDomainId
  /** Address at which this instance listens for other instances. */
  peers: { host: string, port: number }
  /** @returns the addresses of control members in the current settings */
  seeds: () => readonly Address[]
  clusterSecret: string
  /** A clock that also counts the time in which the process is suspended. */
  clock: Clock
  open: OpenDatabaseSession
  logEvent: LogEvent
  /** Limits of connections of other instances that have not proved to know the secret. Default: those of `listenForMessages`. */
  handshakes?: HandshakeLimits
  /** Memory for values and prepared statements of all sessions, in bytes. Default: no limit. */
  sessionMemoryBytes?: number
  /** Length of the freshness lease in milliseconds. The coordinator must be set to the same value. */
  leaseMs: number
  /** Whether channels to other instances are opened ahead of calls, where connections are lent. Default: false. */
  preparesChannels?: boolean
  /** Speeds of the machine. Default: not known. */
  speeds?: MachineSpeeds
  /** Times of metering; absent: the instance counts no usage. */
  metering?: MeteringTimes | null
  /** Time after the last confirmation by control for which the instance goes on serving, in milliseconds. The control instances must be set to the same value. Default: that of a share lease. */
  unconfirmedServiceMs?: number
  /** Set: measured times decide which reads leave the failure domain. `priceMs`: time that a read must gain by it. */
  crossDomainReads?: { priceMs: number }
  /** Whether statements are ordered by the slots of the databases, and refused early when they find no room. Default: neither. */
  slotScheduling?: boolean
}
