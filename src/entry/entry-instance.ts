import { randomBytes } from 'node:crypto'
import type { CallerServer } from '../adapters/http/caller-server.js'
import { listenForCallers } from '../adapters/http/caller-server.js'
import type { ProbeServer } from '../adapters/http/probe-server.js'
import { listenForProbes } from '../adapters/http/probe-server.js'
import { createMetrics } from '../adapters/metrics/create-metrics.js'
import { createDatabaseConnectionOpener } from '../adapters/postgres/open-database-connection.js'
import { createWatchDatabaseStatus } from '../adapters/postgres/watch-database-status.js'
import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import { sleep } from '../adapters/timers/sleep.js'
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
import type { HolderChannels } from './holder-channels.js'
import { createHolderChannels } from './holder-channels.js'
import { createRequesterChannels } from './requester-channels.js'
import { createPeerUse } from './peer-use.js'
import type { FinishedCallerRequest } from './request-service.js'
import { createRequestService } from './request-service.js'
import { buildCountedRequest } from './build-counted-request.js'
import { createStatusWatcher } from './status-watcher.js'

/** Time between two ticks of the controllers, in milliseconds. */
const TICK_MS = 20
/** Time within which the load balancer notices a failed readiness probe, in milliseconds. */
const DEFAULT_BALANCER_NOTICE_MS = 1000
const INCARNATION_BYTES = 8
/** Time for the answers that end the requests left at the drain limit to reach their callers, in milliseconds. */
const LAST_ANSWER_MS = 300
/** Requester name under which this instance sends requests to its own executors. */
const OWN_REQUESTER = 'self'

export interface EntryInstanceOptions {
  settings: EntrySettings
  clock: Clock
  random: Random
  logEvent: LogEvent
  /** Called after each request, in addition to the metrics. */
  onFinished?: (finished: FinishedCallerRequest) => void
  /** Time between the start of a drain, which makes the readiness probe fail, and the close of the caller listener, in milliseconds. Default 1,000. */
  balancerNoticeMs?: number
}

export interface EntryInstance {
  readonly callerPort: number
  readonly probePort: number
  readonly peerAddress: Address
  /** @returns why the instance accepts no new callers; null when it does */
  notReadyReason: () => NotReadyReason
  /** @returns version of the manifest in force at this instance; 0 when it has none */
  manifestVersion: () => number
  /** @returns bytes of messages sent to and received from control instances so far */
  countControlBytes: () => number
  /** Finishes pending work and stops. At the drain limit, the requests that are left get their last answer. */
  drain: () => Promise<void>
  /** Stops at once without finishing any work, as if the process had crashed. */
  kill: () => Promise<void>
  /** Reads the TLS files again. New connections use them. */
  reloadTls: () => void
}

/**
 * Starts an entry instance for HTTP callers and connects the parts of a request's path. The request service dispatches each request to a
 * connection holder: over a holder channel, or directly to the executors of this instance. The answer returns on the same path.
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

  const requesterChannels = createRequesterChannels(() => executors, clock)
  const executors: GroupExecutors = createGroupExecutors({
    instance,
    blackboard,
    clock,
    random,
    openConnection: createDatabaseConnectionOpener(postgres),
    onExecutorRemoved: () => { setImmediate(updateWatchedDatabases) },
    sendAnswer: (to, answer) => {
      // The service handles the answer only after the executor has finished its step.
      if (to === OWN_REQUESTER) queueMicrotask(() => { service.handleAnswer(instance, answer) })
      else requesterChannels.answer(to, answer)
    }
  })
  const watcher = createStatusWatcher({
    clock,
    blackboard,
    watchStatus: createWatchDatabaseStatus(postgres, clock),
    onReportableChange: () => { link.handle({ kind: 'request-heartbeat' }) },
    logEvent
  })

  const { limiter, shareHolder } = createEntryShares(clock, blackboard, executors)

  function requestHeartbeatFor (shareHolderEffects: readonly unknown[]): void {
    if (shareHolderEffects.length > 0) link.handle({ kind: 'request-heartbeat' })
  }

  const announcements = createRecentAnnouncements(clock)
  const attachment = createControlAttachment({
    clock,
    blackboard,
    logEvent,
    members: settings.control,
    recentAnnouncements: announcements.list,
    onServiceLevelAcknowledgement: (message) => { forwardIncrements(recorder.handle({ kind: 'received', message })) },
    applyShares: (answer) => {
      const effects = shareHolder.handle({ kind: 'heartbeat-answer', answer })
      queueMicrotask(() => { requestHeartbeatFor(effects) })
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
    isConnected: (peer) => holderChannels.isConnected(peer),
    takeRetry: () => retryBudget.takeRetry()
  })
  const retryBudget = createRetryBudget()

  const recorder = createRequestRecorder({ clock, blackboard, instance, incarnation })

  function forwardIncrements (effects: RecorderEffect[]): void {
    for (const { message } of effects) link.handle({ kind: 'forward', message })
  }

  function recordFinished (finished: FinishedCallerRequest): void {
    const { workspace, outcome, durationMs, wrongful } = finished
    const isSuccess = outcome.kind === 'success'
    metrics.observeRequest({ workspace, code: isSuccess ? 0 : outcome.code, outcome: isSuccess ? 'ran' : outcome.outcome, servedBy: isSuccess ? outcome.role : null, durationMs })
    if (wrongful) logEvent('wrongfulRefusal', { workspace })
    if (workspace !== null) forwardIncrements(recorder.handle({ kind: 'finished', request: buildCountedRequest(workspace, finished) }))
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
        if (!holderChannels.send(to, message)) queueMicrotask(() => { service.handlePeerLoss(to) })
        return
      }
      // The executor starts only after the dispatcher has finished its step.
      queueMicrotask(() => {
        if (message.kind === 'execute') executors.execute(OWN_REQUESTER, message)
        else executors.cancel(OWN_REQUESTER, message)
      })
    },
    onDemandRise: () => { requestHeartbeatFor(shareHolder.handle({ kind: 'demand-changed' })) },
    onGroupUsed: (group) => { holderSelection.recordGroupUse(group) },
    onFinished: recordFinished
  })

  const peerServer: MessageServer = await listenForMessages({ host: settings.peers.host, port: settings.peers.port, clusterSecret: settings.clusterSecret, tls, clock, logEvent, onChannel: requesterChannels.accept })
  const ownPeerAddress = settings.peerAddress ?? address(`${settings.peers.host}:${peerServer.port}`)
  const buildHello = (purpose: Hello['purpose']): Hello => ({ purpose, name: instance, address: ownPeerAddress })

  const holderChannels: HolderChannels = createHolderChannels({
    hello: buildHello('peer'),
    clusterSecret: settings.clusterSecret,
    tls,
    onAnswer: (from, answer) => { service.handleAnswer(from, answer) },
    onOpened: () => { service.tick() },
    onLost: (peer) => { service.handlePeerLoss(peer) },
    logEvent
  })
  const holderSelection = createPeerUse({ instance, clock, blackboard, setHolders: holderChannels.setHolders })
  const link = createControlLink({ attachment, hello: buildHello('control'), clusterSecret: settings.clusterSecret, tls, logEvent })

  function announce (announcement: Announcement): void {
    const message = announcements.keep(announcement)
    link.handle({ kind: 'forward', message })
  }

  function encodeSession ({ session }: CallerAnswer): string | null {
    return session === null ? null : encodeSessionToken(session)
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
    metrics.setGauge('active_requests', executors.countActive())
    metrics.setGauge('peer_channels', holderChannels.countOpen())
    return await metrics.render()
  }

  const probeServer: ProbeServer = await listenForProbes({ ...settings.operators, notReadyReason, renderMetrics, logEvent })

  /** A former connection holder keeps watching while its writes wait for a majority of replicas. Without database statuses, they would end with an unknown outcome. */
  function updateWatchedDatabases (): void {
    const groups = executors.groups()
    watcher.setDatabases((directoryReader.read()?.databases ?? []).filter(({ group }) => groups.has(group)))
  }

  function applyDirectory (): void {
    const directory = directoryReader.read()
    if (directory === null) return
    const heldGroups = new Set<GroupId>(directory.groups.filter(({ holders }) => holders.includes(instance)).map(({ group }) => group))
    executors.setHeldGroups(heldGroups)
    updateWatchedDatabases()
    holderSelection.update()
    // The control leader continues a switchover only after this instance has reported its released terms.
    link.handle({ kind: 'request-heartbeat' })
  }

  let isTickScheduled = false
  /** Schedules one tick of the executors and the request service for all blackboard changes of this turn of the event loop. */
  function scheduleExecutionTick (): void {
    if (isTickScheduled) return
    isTickScheduled = true
    setImmediate(() => {
      isTickScheduled = false
      executors.tick()
      service.tick()
    })
  }

  function tick (): void {
    link.tick()
    requestHeartbeatFor(shareHolder.tick())
    executors.tick()
    service.tick()
    holderSelection.tick()
    forwardIncrements(recorder.tick())
  }

  directoryReader.onWrite(() => { setImmediate(applyDirectory) })
  for (const entry of [manifestEntry, directoryEntry, sharesEntry]) blackboard.reader<unknown>(entry).onWrite(scheduleExecutionTick)
  watcher.onStatus(scheduleExecutionTick)
  const stopTicks = repeatByTimer(TICK_MS, tick)
  link.tick()
  logEvent('started', { callers: callerServer.port, operators: probeServer.port, peers: ownPeerAddress })

  async function stop (): Promise<void> {
    stopTicks()
    link.close()
    holderChannels.close()
    watcher.close()
    executors.close()
    await peerServer.close()
    await probeServer.close()
  }

  function isIdle (): boolean {
    return service.countPending() === 0 && executors.countActive() === 0
  }

  async function drain (): Promise<void> {
    logEvent('stopping')
    draining.write(true)
    forwardIncrements(recorder.handle({ kind: 'flush' }))
    link.handle({ kind: 'request-heartbeat' })
    const drainUntil = clock.now() + settings.drainMs
    await sleep(Math.min(options.balancerNoticeMs ?? DEFAULT_BALANCER_NOTICE_MS, settings.drainMs))
    const callersClosed = callerServer.close()
    while (!isIdle() && clock.now() < drainUntil) await sleep(TICK_MS)
    service.interrupt()
    await Promise.race([callersClosed, sleep(Math.max(LAST_ANSWER_MS, drainUntil - clock.now()))])
    await stop()
    logEvent('stopped')
  }

  async function kill (): Promise<void> {
    // No answers are sent any more, so open connections would keep their callers waiting.
    await Promise.all([stop(), callerServer.abort()])
  }

  return {
    callerPort: callerServer.port,
    probePort: probeServer.port,
    peerAddress: ownPeerAddress,
    notReadyReason,
    manifestVersion: () => manifestReader.read()?.version ?? 0,
    countControlBytes: link.countBytes,
    drain,
    kill,
    reloadTls: () => {
      peerServer.reloadTls()
      callerServer.reloadTls()
      logEvent('settingsReloaded')
    }
  }
}
