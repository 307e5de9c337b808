import VError from 'verror'
import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import type { MessageChannel } from '../adapters/ws/message-channel.js'
import { packMessage } from '../adapters/ws/message-channel.js'
import type { MessageServer } from '../adapters/ws/message-server.js'
import type { HandshakeLimits } from '../adapters/ws/guard-handshakes.js'
import { listenForMessages } from '../adapters/ws/message-server.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import { createAnswerEncoder, createHeartbeatDecoder } from '../decisions/freshness/heartbeat-codec.js'
import { createShareAllocator } from '../decisions/limits/share-allocator.js'
import { SHARE_LEASE_MS } from '../decisions/limits/share-lease.js'
import type { Clock } from '../types/clock.js'
import type { CompactAnswer } from '../types/compact-message.js'
import type { ConsensusMessage } from '../types/consensus-message.js'
import type { HeartbeatAnswer } from '../types/control-message.js'
import type { StorageFailure } from '../types/control-storage.js'
import type { Address, InstanceId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { Random } from '../utils/create-random.js'
import type { ControlLogOptions } from './control-log-options.js'
import type { ControlLogRunner } from './control-log-runner.js'
import { startControlLog } from './control-log-runner.js'
import type { CoordinatorOptions } from './coordinator-options.js'
import type { Coordinator } from './coordinator.js'
import { createCoordinator } from './coordinator.js'
import { checkEntryMessage } from './entry-message-schema.js'
import { createMemberTransport } from './member-transport.js'
import type { ServiceLevelCollection } from './service-level-collection.js'
import { createServiceLevelCollection } from './service-level-collection.js'
import type { MeteringOptions, UsageReporting } from './usage-reporting.js'
import { createUsageReporting } from './usage-reporting.js'

/** Interval between ticks of the coordinator and the service-level collection, in milliseconds. */
const TICK_INTERVAL_MS = 20

export interface ControlCoreOptions {
  instance: InstanceId
  /** Address on which this instance listens for entry instances and other members. */
  listen: { host: string, port: number }
  /** Limits of connections that have not proved to know the secret. Default: those of `listenForMessages`. */
  handshakes?: HandshakeLimits
  ownAddress: Address
  members: readonly Address[]
  dataFolder: string
  clusterSecret: string
  tls: TlsFiles | null
  clock: Clock
  random: Random
  logEvent: LogEvent
  timeOfDay: () => Date
  /** Called once when the data folder can't be used any more, as it is damaged or gone; the member has stopped by then. */
  onFailure: (failure: StorageFailure) => void
  /** Options of the coordinator besides the log and the connections. */
  coordination: Pick<CoordinatorOptions, 'orders'> & Partial<Pick<CoordinatorOptions, 'createFailoverController' | 'holders' | 'selectRateHolders' | 'instanceLostMs' | 'publishMembers' | 'recordInstances' | 'rateTolerance' | 'unconfirmedServiceMs' | 'recordRateHolders' | 'maxConfirmationAgeMs' | 'announcementIntervalMs'>>
  /** Metering of workspaces; absent: off. */
  metering?: MeteringOptions
  /** Options of the replicated log that differ from their defaults. */
  log?: Pick<ControlLogOptions, 'consensus' | 'snapshotThreshold'>
}

/** Replicated log, coordinator and connections of one control instance, without the interface for operators. */
export interface ControlCore {
  readonly port: number
  readonly log: ControlLogRunner
  readonly coordinator: Coordinator
  /** @returns bytes of messages between control members sent so far */
  sentMemberBytes: () => number
  stop: () => Promise<void>
  reloadTls: () => void
}

interface AttachedEntryInstance {
  channel: MessageChannel
  encodeAnswer: (answer: HeartbeatAnswer) => CompactAnswer
}

/**
 * Starts the core of a control instance.
 * @throws VError `StorageFailure` when the data folder can't be used; VError when it can't listen on its address
 */
export async function startControlCore (options: ControlCoreOptions): Promise<ControlCore> {
  const { clock, random, logEvent, clusterSecret, tls, ownAddress } = options
  const transport = createMemberTransport({ hello: { purpose: 'member', name: options.instance, address: ownAddress }, clusterSecret, tls, logEvent: options.logEvent })
  const startedLog = await startControlLog({
    ownAddress,
    entryAddress: ownAddress,
    memberAddresses: options.members,
    dataFolder: options.dataFolder,
    transport,
    clock,
    random,
    logEvent,
    onFailure: options.onFailure,
    ...options.log
  })
  if (startedLog.isErr()) throw new VError({ name: 'StorageFailure', info: { code: startedLog.error.code } }, `${startedLog.error.code}: ${startedLog.error.message}`)
  const log = startedLog.value
  const attachedEntries = new Map<string, AttachedEntryInstance>()
  const packedMessages = new WeakMap<object, Buffer>()

  /** Packs each directory and manifest only once, as the coordinator sends the same object to every instance. */
  function findOrPackMessage (message: object): Buffer {
    const known = packedMessages.get(message) ?? packMessage(message)
    packedMessages.set(message, known)
    return known
  }

  const usage: UsageReporting | null = options.metering === undefined ? null : createUsageReporting({ clock, log, logEvent, ...options.metering })
  let channelCount = 0
  const coordinator = createCoordinator({
    clock,
    log,
    allocator: createShareAllocator({ clock, unconfirmedServiceMs: options.coordination.unconfirmedServiceMs ?? SHARE_LEASE_MS }),
    ...options.coordination,
    send: (connection, message) => {
      const attached = attachedEntries.get(connection)
      if (message.kind === 'heartbeat-answer') attached?.channel.send(attached.encodeAnswer(usage?.addToAnswer(message) ?? message))
      else if (message.kind === 'directory' || message.kind === 'manifest') attached?.channel.sendPacked(findOrPackMessage(message))
      else attached?.channel.send(message)
    },
    logEvent
  })
  const serviceLevels: ServiceLevelCollection = createServiceLevelCollection({
    clock,
    log,
    timeOfDay: options.timeOfDay,
    acknowledge: (connection, message) => { attachedEntries.get(connection)?.channel.send(message) }
  })

  function acceptEntryInstance (channel: MessageChannel): void {
    const name = `${channel.hello.name}#${++channelCount}`
    // An instance that attaches again has abandoned its former channel, which may never end on its own.
    for (const { channel: former } of [...attachedEntries.values()]) if (former.hello.name === channel.hello.name) former.close()
    attachedEntries.set(name, { channel, encodeAnswer: createAnswerEncoder() })
    const decodeHeartbeat = createHeartbeatDecoder()
    coordinator.attach(name)
    channel.onMessage((received) => {
      const message = checkEntryMessage(received)
      if (message.kind === 'service-level-increment') {
        serviceLevels.handle(name, message)
        return
      }
      const decoded = message.kind === 'compact-heartbeat' ? decodeHeartbeat(message) : message
      if (decoded === null) return
      usage?.receive(decoded)
      coordinator.handle(name, decoded)
    })
    channel.onEnd(() => {
      attachedEntries.delete(name)
      serviceLevels.detach(name)
      coordinator.detach(name)
    })
  }

  function acceptChannel (channel: MessageChannel): void {
    if (channel.hello.purpose === 'member') channel.onMessage((message) => { log.receive(message as ConsensusMessage) })
    else if (channel.hello.purpose === 'control') acceptEntryInstance(channel)
    else channel.close()
  }

  const server: MessageServer = await listenForMessages({
    ...options.listen,
    clusterSecret,
    tls,
    // Entry instances send heartbeats, so the server need not ping idle channels of theirs.
    pings: ({ purpose }) => purpose === 'member' ? 'always' : 'while-waiting',
    logEvent: options.logEvent,
    handshakes: options.handshakes,
    onChannel: acceptChannel
  })
  const stopTicks = repeatByTimer(TICK_INTERVAL_MS, () => {
    coordinator.tick()
    serviceLevels.tick()
    usage?.tick()
  })

  return {
    port: server.port,
    log,
    coordinator,
    sentMemberBytes: transport.sentBytes,
    stop: async () => {
      stopTicks()
      transport.close()
      await server.close()
      await log.stop()
    },
    reloadTls: server.reloadTls
  }
}
