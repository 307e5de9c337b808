import { randomBytes } from 'node:crypto'
import type { CallerServer } from '../adapters/http/caller-server.js'
import { listenForCallers } from '../adapters/http/caller-server.js'
import type { ProbeServer } from '../adapters/http/probe-server.js'
import { listenForProbes } from '../adapters/http/probe-server.js'
import { createMetrics } from '../adapters/metrics/create-metrics.js'
import { createOpenDatabaseConnection } from '../adapters/postgres/open-database-connection.js'
import { createWatchDatabaseStatus } from '../adapters/postgres/watch-database-status.js'
import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import type { Hello } from '../adapters/ws/message-channel.js'
import type { MessageServer } from '../adapters/ws/message-server.js'
import { listenForMessages } from '../adapters/ws/message-server.js'
import { createBlackboard } from '../blackboard/blackboard.js'
import { directoryEntry, drainingEntry, freshnessEntry, manifestEntry, sharesEntry } from '../blackboard/entry-instance-entries.js'
import type { NotReadyReason } from '../decisions/drain/readiness.js'
import { createReadiness } from '../decisions/drain/readiness.js'
import { createControlAttachment } from '../decisions/freshness/control-attachment.js'
import { createRecentAnnouncements } from '../decisions/freshness/recent-announcements.js'
import { createRetryBudget } from '../decisions/retries/retry-budget.js'
import { createRequestDispatcher } from '../decisions/routing/request-dispatcher.js'
import type { RecorderEffect } from '../decisions/service-levels/request-recorder.js'
import { createRequestRecorder } from '../decisions/service-levels/request-recorder.js'
import { encodeSessionToken } from '../decisions/sessions/session-token.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import type { CallerAnswer } from '../types/caller-request.js'
import type { Clock } from '../types/clock.js'
import type { Announcement } from '../types/database-status.js'
import type { Address, GroupId } from '../types/ids.js'
import { address, incarnationId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { Random } from '../utils/create-random.js'
import { createControlLink } from './control-link.js'
import { createEntryShares } from './entry-shares.js'
import type { GroupExecutors } from './group-executors.js'
import { createGroupExecutors } from './group-executors.js'
import type { PeerMesh } from './peer-mesh.js'
import { createPeerMesh } from './peer-mesh.js'
import { createPeerRequesters } from './peer-requesters.js'
import { createPeerUse } from './peer-use.js'
import type { FinishedRequest } from './request-service.js'
import { createRequestService } from './request-service.js'
import { serviceLevelOf } from './service-level-of.js'
import { createStatusWatcher } from './status-watcher.js'

/** Time between ticks of the controllers in milliseconds. */
const TICK_MS = 20
/** How long the balancer may take to notice a failed readiness probe, in milliseconds. */
const BALANCER_NOTICE_MS = 1000
const INCARNATION_BYTES = 8
/** Requester name of this instance's own requests at its executors. */
const SELF = 'self'

export interface EntryInstanceOptions {
  settings: EntrySettings
  clock: Clock
  random: Random
  logEvent: LogEvent
  /** Called after each request, besides the metrics. */
  onFinished?: (finished: FinishedRequest) => void
  /** Time for the balancer to notice a failed readiness probe before the listener closes, in milliseconds. Default 1,000. */
  balancerNoticeMs?: number
}

export interface EntryInstance {
  readonly callerPort: number
  readonly probePort: number
  readonly peerAddress: Address
  notReadyReason: () => NotReadyReason
  /** @returns version of the manifest in force here; 0 for none */
  manifestVersion: () => number
  /** @returns bytes of messages to and from control instances so far */
  controlBytes: () => number
  /** Finishes running work and stops. Resolves when nothing is left to do or the drain limit is over. */
  drain: () => Promise<void>
  /** Stops at once, as if the process died. */
  kill: () => Promise<void>
  /** Reads TLS key files again. */
  reloadTls: () => void
}

function pause (durationMs: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, durationMs) })
}

/**
 * Starts an entry instance.
 * @throws Error when a listening address can't be used
 */
export async function startEntryInstance (options: EntryInstanceOptions): Promise<EntryInstance> {
  const { settings, clock, random, logEvent } = options
  const { instance, failureDomain } = settings
  const tls = settings.tls ?? null
  const incarnation = incarnationId(`${instance}.${randomBytes(INCARNATION_BYTES).toString('base64url')}`)
  const blackboard = createBlackboard()
  const draining = blackboard.claim(drainingEntry, 'drain')
  const manifestReader = blackboard.reader(manifestEntry)
  const directoryReader = blackboard.reader(directoryEntry)
  const freshnessReader = blackboard.reader(freshnessEntry)
  const metrics = createMetrics()
  const postgres = { credentials: { user: settings.database.user, password: settings.database.password, database: settings.database.databaseName } }

  const requesters = createPeerRequesters(() => executors)
  const executors: GroupExecutors = createGroupExecutors({
    instance,
    blackboard,
    clock,
    random,
    openConnection: createOpenDatabaseConnection(postgres),
    onEnded: () => { setImmediate(watchDatabases) },
    sendAnswer: (to, answer) => {
      // Answers to own requests are delivered after the executor has finished its step.
      if (to === SELF) queueMicrotask(() => { service.takeAnswer(instance, answer) })
      else requesters.answer(to, answer)
    }
  })
  const watcher = createStatusWatcher({
    clock,
    blackboard,
    watchStatus: createWatchDatabaseStatus(postgres, clock),
    onChange: () => { link.handle({ kind: 'heartbeat-wanted' }) },
    logEvent
  })

  const { limiter, holder: shareHolder } = createEntryShares(clock, blackboard, executors)

  function wantHeartbeat (wanted: readonly unknown[]): void {
    if (wanted.length > 0) link.handle({ kind: 'heartbeat-wanted' })
  }

  const announcements = createRecentAnnouncements(clock)
  const attachment = createControlAttachment({
    clock,
    blackboard,
    logEvent,
    members: settings.control,
    recentAnnouncements: announcements.list,
    onServiceLevelAcknowledgement: (message) => { forwardCounts(recorder.handle({ kind: 'received', message })) },
    applyShares: (answer) => {
      const wanted = shareHolder.handle({ kind: 'heartbeat-answer', answer })
      queueMicrotask(() => { wantHeartbeat(wanted) })
    },
    composeHeartbeat: (core) => ({
      version: 1,
      kind: 'heartbeat',
      ...core,
      instance,
      incarnation,
      peerAddress: ownPeerAddress,
      failureDomain,
      draining: draining.read(),
      ...shareHolder.composeHeartbeat(core.sequence),
      observations: watcher.observations(),
      releasedTerms: executors.releasedTerms()
    })
  })

  const dispatcher = createRequestDispatcher({
    instance,
    failureDomain,
    blackboard,
    clock,
    isConnected: (peer) => mesh.isConnected(peer),
    takeRetry: () => retryBudget.takeRetry()
  })
  const retryBudget = createRetryBudget()

  const recorder = createRequestRecorder({ clock, blackboard, instance, incarnation })

  function forwardCounts (effects: RecorderEffect[]): void {
    for (const { message } of effects) link.handle({ kind: 'forward', message })
  }

  function observeFinished (finished: FinishedRequest): void {
    const { workspace, outcome, durationMs, wrongful } = finished
    const isSuccess = outcome.kind === 'success'
    metrics.observeRequest({ workspace, code: isSuccess ? 0 : outcome.code, outcome: isSuccess ? 'ran' : outcome.outcome, servedBy: isSuccess ? outcome.role : null, durationMs })
    if (wrongful) logEvent('wrongfulRefusal', { workspace })
    if (workspace !== null) forwardCounts(recorder.handle({ kind: 'finished', request: serviceLevelOf(workspace, finished) }))
    options.onFinished?.(finished)
  }

  const service = createRequestService({
    clock,
    blackboard,
    limiter,
    dispatcher,
    retryBudget,
    deadlineMs: settings.limits.deadlineMs,
    longestDeadlineMs: settings.limits.longestDeadlineMs,
    sendToHolder: (to, message) => {
      if (to !== instance) {
        if (!mesh.send(to, message)) queueMicrotask(() => { service.losePeer(to) })
        return
      }
      // The dispatcher finishes its step before the executor answers.
      queueMicrotask(() => {
        if (message.kind === 'execute') executors.execute(SELF, message)
        else executors.cancel(SELF, message)
      })
    },
    onDemand: () => { wantHeartbeat(shareHolder.handle({ kind: 'demand-changed' })) },
    onGroupUsed: (group) => { peerUse.use(group) },
    onFinished: observeFinished
  })

  const peerServer: MessageServer = await listenForMessages({ host: settings.peers.host, port: settings.peers.port, clusterSecret: settings.clusterSecret, tls, onChannel: requesters.accept })
  const ownPeerAddress = settings.peerAddress ?? address(`${settings.peers.host}:${peerServer.port}`)
  const helloOf = (purpose: Hello['purpose']): Hello => ({ purpose, name: instance, address: ownPeerAddress })

  const mesh: PeerMesh = createPeerMesh({
    hello: helloOf('peer'),
    clusterSecret: settings.clusterSecret,
    tls,
    onAnswer: (from, answer) => { service.takeAnswer(from, answer) },
    onConnected: () => { service.tick() },
    onLost: (peer) => { service.losePeer(peer) },
    logEvent
  })
  const peerUse = createPeerUse({ instance, clock, blackboard, setPeers: mesh.setPeers })
  const link = createControlLink({ attachment, hello: helloOf('control'), clusterSecret: settings.clusterSecret, tls })

  function announce (announcement: Announcement): void {
    const message = announcements.keep(announcement)
    link.handle({ kind: 'forward', message })
  }

  function encodeSession ({ outcome, group }: CallerAnswer): string | null {
    if (outcome.kind === 'refusal' || outcome.position === null || group === null) return null
    return encodeSessionToken({ group, position: outcome.position })
  }

  const callerServer: CallerServer = await listenForCallers({
    ...settings.callers,
    tls: settings.callersTls ?? null,
    ...settings.limits,
    announcementSecret: settings.announcementSecret,
    serve: service.serve,
    encodeSession,
    announce,
    logEvent
  })

  const notReadyReason = createReadiness(clock, blackboard, failureDomain)

  async function renderMetrics (): Promise<{ contentType: string, text: string }> {
    metrics.setGauge('manifest_version', manifestReader.read()?.version ?? 0)
    metrics.setGauge('fresh', clock.now() < freshnessReader.read().validUntil ? 1 : 0)
    metrics.setGauge('active_requests', executors.activeCount())
    metrics.setGauge('peer_channels', mesh.connectedCount())
    return await metrics.render()
  }

  const probeServer: ProbeServer = await listenForProbes({ ...settings.operators, notReadyReason, renderMetrics, logEvent })

  /** A former holder watches on while its writes wait for a majority; without a status they would end as unknown. */
  function watchDatabases (): void {
    const groups = executors.groups()
    watcher.setDatabases((directoryReader.read()?.databases ?? []).filter(({ group }) => groups.has(group)))
  }

  function applyDirectory (): void {
    const directory = directoryReader.read()
    if (directory === null) return
    const heldGroups = new Set<GroupId>(directory.groups.filter(({ holders }) => holders.includes(instance)).map(({ group }) => group))
    executors.setGroups(heldGroups)
    watchDatabases()
    peerUse.refresh()
    // The leader of a switchover waits for the terms that this instance releases.
    link.handle({ kind: 'heartbeat-wanted' })
  }

  let isSettling = false
  /** Lets the controllers see a change of the blackboard soon, once for all changes of one turn. */
  function settleSoon (): void {
    if (isSettling) return
    isSettling = true
    setImmediate(() => {
      isSettling = false
      executors.tick()
      service.tick()
    })
  }

  function tick (): void {
    link.tick()
    wantHeartbeat(shareHolder.tick())
    executors.tick()
    service.tick()
    peerUse.tick()
    forwardCounts(recorder.tick())
  }

  directoryReader.onWrite(() => { setImmediate(applyDirectory) })
  for (const entry of [manifestEntry, directoryEntry, sharesEntry]) blackboard.reader<unknown>(entry).onWrite(settleSoon)
  watcher.onStatus(settleSoon)
  const stopTicks = repeatByTimer(TICK_MS, tick)
  link.tick()
  logEvent('started', { callers: callerServer.port, operators: probeServer.port, peers: ownPeerAddress })

  async function stop (): Promise<void> {
    stopTicks()
    link.close()
    mesh.close()
    watcher.close()
    executors.close()
    await peerServer.close()
    await probeServer.close()
  }

  function isIdle (): boolean {
    return service.activeCount() === 0 && executors.activeCount() === 0
  }

  async function drain (): Promise<void> {
    logEvent('stopping')
    draining.write(true)
    forwardCounts(recorder.handle({ kind: 'flush' }))
    link.handle({ kind: 'heartbeat-wanted' })
    const limit = clock.now() + settings.drainMs
    await pause(Math.min(options.balancerNoticeMs ?? BALANCER_NOTICE_MS, settings.drainMs))
    const closed = callerServer.close()
    while (!isIdle() && clock.now() < limit) await pause(TICK_MS)
    await Promise.race([closed, pause(Math.max(0, limit - clock.now()))])
    await stop()
    logEvent('stopped')
  }

  async function kill (): Promise<void> {
    // Requests that nobody answers any more must not keep their callers waiting on an open connection.
    await Promise.all([stop(), callerServer.abort()])
  }

  return {
    callerPort: callerServer.port,
    probePort: probeServer.port,
    peerAddress: ownPeerAddress,
    notReadyReason,
    manifestVersion: () => manifestReader.read()?.version ?? 0,
    controlBytes: link.byteCount,
    drain,
    kill,
    reloadTls: () => {
      peerServer.reloadTls()
      callerServer.reloadTls()
      logEvent('settingsReloaded')
    }
  }
}
