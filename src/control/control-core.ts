import VError from 'verror'
import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import type { MessageChannel } from '../adapters/ws/message-channel.js'
import { packMessage } from '../adapters/ws/message-channel.js'
import type { MessageServer } from '../adapters/ws/message-server.js'
import { listenForMessages } from '../adapters/ws/message-server.js'
import type { TlsFiles } from '../adapters/ws/tls-files.js'
import { createAnswerEncoder, createHeartbeatDecoder } from '../decisions/freshness/heartbeat-codec.js'
import { createShareAllocator } from '../decisions/limits/share-allocator.js'
import type { Clock } from '../types/clock.js'
import type { CompactAnswer, CompactHeartbeat } from '../types/compact-message.js'
import type { ConsensusMessage } from '../types/consensus-message.js'
import type { EntryToControl, Heartbeat, HeartbeatAnswer } from '../types/control-message.js'
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
import { createMemberTransport } from './member-transport.js'
import type { ServiceLevelCollection } from './service-level-collection.js'
import { createServiceLevelCollection } from './service-level-collection.js'

/** Time between ticks of the controllers in milliseconds. */
const TICK_MS = 20

export interface ControlCoreOptions {
  instance: InstanceId
  /** Where entry instances and other members connect. */
  listen: { host: string, port: number }
  ownAddress: Address
  members: readonly Address[]
  dataFolder: string
  clusterSecret: string
  tls: TlsFiles | null
  clock: Clock
  random: Random
  logEvent: LogEvent
  timeOfDay: () => Date
  onFailure: (failure: StorageFailure) => void
  /** What the coordinator needs besides the log and the connections. */
  coordination: Pick<CoordinatorOptions, 'orders'> & Partial<Pick<CoordinatorOptions, 'createFailover' | 'holders' | 'selectRateHolders' | 'instanceLostMs' | 'publishMembers' | 'recordInstances' | 'rateTolerance' | 'maxProofAgeMs'>>
  /** Differences of the replicated log from its defaults. */
  log?: Pick<ControlLogOptions, 'consensus' | 'snapshotThreshold'>
}

/** Replicated log, coordinator and the connections of one control instance, without an interface for operators. */
export interface ControlCore {
  readonly port: number
  readonly log: ControlLogRunner
  readonly coordinator: Coordinator
  /** @returns bytes of messages between control members sent so far */
  memberBytes: () => number
  stop: () => Promise<void>
  reloadTls: () => void
}

interface AttachedEntry {
  channel: MessageChannel
  encodeAnswer: (answer: HeartbeatAnswer) => CompactAnswer
}

/**
 * Starts the core of a control instance.
 * @throws VError when its data folder or listening address can't be used
 */
export async function startControlCore (options: ControlCoreOptions): Promise<ControlCore> {
  const { clock, random, logEvent, clusterSecret, tls, ownAddress } = options
  const transport = createMemberTransport({ hello: { purpose: 'member', name: options.instance, address: ownAddress }, clusterSecret, tls })
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
  const channels = new Map<string, AttachedEntry>()
  const packed = new WeakMap<object, Buffer>()

  /** Directories and manifests go to every instance. */
  function packedOf (message: object): Buffer {
    const known = packed.get(message) ?? packMessage(message)
    packed.set(message, known)
    return known
  }

  let channelCount = 0
  const coordinator = createCoordinator({
    clock,
    log,
    allocator: createShareAllocator({ clock }),
    ...options.coordination,
    send: (connection, message) => {
      const attached = channels.get(connection)
      if (message.kind === 'heartbeat-answer') attached?.channel.send(attached.encodeAnswer(message))
      else if (message.kind === 'directory' || message.kind === 'manifest') attached?.channel.sendPacked(packedOf(message))
      else attached?.channel.send(message)
    },
    logEvent
  })
  const serviceLevels: ServiceLevelCollection = createServiceLevelCollection({
    clock,
    log,
    timeOfDay: options.timeOfDay,
    acknowledge: (connection, message) => { channels.get(connection)?.channel.send(message) }
  })

  function acceptEntry (channel: MessageChannel): void {
    const name = `${channel.hello.name}#${++channelCount}`
    // An instance that attaches again has given its former channel up, which may be silent for good.
    for (const { channel: former } of [...channels.values()]) if (former.hello.name === channel.hello.name) former.close()
    channels.set(name, { channel, encodeAnswer: createAnswerEncoder() })
    const decodeHeartbeat = createHeartbeatDecoder()
    coordinator.attach(name)
    channel.onMessage((received) => {
      const message = received as Exclude<EntryToControl, Heartbeat> | CompactHeartbeat
      if (message.kind === 'service-level-increment') {
        serviceLevels.take(name, message)
        return
      }
      const decoded = message.kind === 'compact-heartbeat' ? decodeHeartbeat(message) : message
      if (decoded !== null) coordinator.handle(name, decoded)
    })
    channel.onEnd(() => {
      channels.delete(name)
      serviceLevels.forget(name)
      coordinator.detach(name)
    })
  }

  function accept (channel: MessageChannel): void {
    if (channel.hello.purpose === 'member') channel.onMessage((message) => { log.receive(message as ConsensusMessage) })
    else if (channel.hello.purpose === 'control') acceptEntry(channel)
    else channel.close()
  }

  const server: MessageServer = await listenForMessages({
    ...options.listen,
    clusterSecret,
    tls,
    // Heartbeats of entry instances are signs of life themselves.
    pings: ({ purpose }) => purpose === 'member' ? 'always' : 'while-waiting',
    onChannel: accept
  })
  const stopTicks = repeatByTimer(TICK_MS, () => {
    coordinator.tick()
    serviceLevels.tick()
  })

  return {
    port: server.port,
    log,
    coordinator,
    memberBytes: transport.sentBytes,
    stop: async () => {
      stopTicks()
      transport.close()
      await server.close()
      await log.stop()
    },
    reloadTls: server.reloadTls
  }
}
