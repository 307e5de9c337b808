import VError from 'verror'
import type { OperatorServer } from '../adapters/http/operator-server.js'
import { listenForOperators } from '../adapters/http/operator-server.js'
import { createDatabaseOrders } from '../adapters/postgres/database-orders.js'
import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import type { MessageChannel } from '../adapters/ws/message-channel.js'
import type { MessageServer } from '../adapters/ws/message-server.js'
import { listenForMessages } from '../adapters/ws/message-server.js'
import { createAnswerEncoder, createHeartbeatDecoder } from '../decisions/freshness/heartbeat-codec.js'
import { createShareAllocator } from '../decisions/limits/share-allocator.js'
import { computeBurn } from '../decisions/service-levels/compute-burn.js'
import { burnPage } from '../reports/burn-page.js'
import { createIncidentCollector } from '../reports/incident-collector.js'
import type { ControlSettings } from '../settings/control-settings.js'
import type { Clock } from '../types/clock.js'
import type { ConsensusMessage } from '../types/consensus-message.js'
import type { StorageFailure } from '../types/control-storage.js'
import type { CompactAnswer, CompactHeartbeat } from '../types/compact-message.js'
import type { EntryToControl, Heartbeat, HeartbeatAnswer } from '../types/control-message.js'
import type { LogEvent } from '../types/log-event.js'
import type { BurnReport } from '../types/operator-report.js'
import type { Random } from '../utils/create-random.js'
import { startControlLog } from './control-log-runner.js'
import { createCoordinator } from './coordinator.js'
import { createMemberTransport } from './member-transport.js'
import type { OperatorService } from './operator-service.js'
import { createOperatorService } from './operator-service.js'
import { createServiceLevelCollection } from './service-level-collection.js'

/** Time between ticks of the controllers in milliseconds. */
const TICK_MS = 20

export interface ControlInstanceOptions {
  settings: ControlSettings
  clock: Clock
  random: Random
  logEvent: LogEvent
  /** @returns time of day; default: the machine's clock */
  timeOfDay?: () => Date
  /** The data folder can't be written any more; the instance takes no further part. Default: nothing. */
  onFailure?: (failure: StorageFailure) => void
}

export interface ControlInstance {
  readonly operatorPort: number
  isLeader: () => boolean
  /** @returns bytes of messages between control members sent so far */
  memberBytes: () => number
  /** Ends all connections and closes the files. */
  stop: () => Promise<void>
  reloadTls: () => void
}

interface AttachedEntry {
  channel: MessageChannel
  encodeAnswer: (answer: HeartbeatAnswer) => CompactAnswer
}

function callAfter (durationMs: number, callback: () => void): () => void {
  const timer = setTimeout(callback, durationMs)
  return () => { clearTimeout(timer) }
}

/**
 * Starts a control instance.
 * @throws VError when its data folder or a listening address can't be used
 */
export async function startControlInstance (options: ControlInstanceOptions): Promise<ControlInstance> {
  const { settings, clock, random } = options
  const timeOfDay = options.timeOfDay ?? (() => new Date())
  const tls = settings.tls ?? null
  const incidents = createIncidentCollector({ timeOfDay })
  const logEvent: LogEvent = (name, details) => {
    incidents.note(name, details)
    options.logEvent(name, details)
  }
  const transport = createMemberTransport({
    hello: { purpose: 'member', name: settings.instance, address: settings.ownAddress },
    clusterSecret: settings.clusterSecret,
    tls
  })
  const startedLog = await startControlLog({
    ownAddress: settings.ownAddress,
    entryAddress: settings.ownAddress,
    memberAddresses: settings.members,
    dataFolder: settings.dataFolder,
    transport,
    clock,
    random,
    logEvent,
    onFailure: (failure) => { options.onFailure?.(failure) }
  })
  if (startedLog.isErr()) throw new VError({ name: 'StorageFailure', info: { code: startedLog.error.code } }, `${startedLog.error.code}: ${startedLog.error.message}`)
  const log = startedLog.value
  const channels = new Map<string, AttachedEntry>()
  let channelCount = 0
  const coordinator = createCoordinator({
    clock,
    log,
    allocator: createShareAllocator({ clock }),
    orders: createDatabaseOrders({ credentials: { user: settings.database.user, password: settings.database.password, database: settings.database.databaseName } }),
    send: (connection, message) => {
      const attached = channels.get(connection)
      attached?.channel.send(message.kind === 'heartbeat-answer' ? attached.encodeAnswer(message) : message)
    },
    logEvent
  })

  const serviceLevels = createServiceLevelCollection({
    clock,
    log,
    timeOfDay,
    acknowledge: (connection, message) => { channels.get(connection)?.channel.send(message) }
  })

  function acceptEntry (channel: MessageChannel): void {
    const name = `${channel.hello.name}#${++channelCount}`
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

  const server: MessageServer = await listenForMessages({ ...settings.listen, clusterSecret: settings.clusterSecret, tls, onChannel: accept })
  const service: OperatorService = createOperatorService({
    instance: settings.instance,
    log,
    summary: coordinator.summary,
    burn: ({ manifest, serviceLevels: counts }) => manifest === null ? { rows: [], withoutObjectives: [], lostIncrements: 0 } : computeBurn(manifest, counts, timeOfDay().getTime()),
    incidents: incidents.list,
    after: callAfter,
    timeOfDay,
    logEvent
  })
  const operatorServer: OperatorServer = await listenForOperators({
    ...settings.operators,
    tls: settings.operatorsTls ?? null,
    manifestBytes: settings.manifestBytes,
    operators: settings.operatorCredentials,
    requests: { ...service, page: async () => burnPage(await service.report('burn') as BurnReport) },
    logEvent
  })
  const stopTicks = repeatByTimer(TICK_MS, () => {
    coordinator.tick()
    serviceLevels.tick()
  })
  logEvent('started', { listen: server.port, operators: operatorServer.port })

  return {
    operatorPort: operatorServer.port,
    isLeader: log.isLeader,
    memberBytes: transport.sentBytes,
    stop: async () => {
      stopTicks()
      transport.close()
      await Promise.all([server.close(), operatorServer.close()])
      await log.stop()
    },
    reloadTls: () => {
      server.reloadTls()
      operatorServer.reloadTls()
      logEvent('settingsReloaded')
    }
  }
}
