import { randomBytes } from 'node:crypto'
import { createMetrics } from '../adapters/metrics/create-metrics.js'
import { monotonicClock } from '../adapters/timers/monotonic-clock.js'
import { createPauseDetector } from '../adapters/timers/pause-detector.js'
import { repeatAtPace } from '../adapters/timers/repeat-at-pace.js'
import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import type { Hello } from '../adapters/ws/message-channel.js'
import { listenForMessages } from '../adapters/ws/message-server.js'
import { createBlackboard } from '../blackboard/blackboard.js'
import { directoryEntry, drainingEntry, freshnessEntry, manifestEntry, sharesEntry, stopStageEntry } from '../blackboard/entry-instance-entries.js'
import type { CallerSession } from '../decisions/caller-sessions/caller-session.js'
import { openCallerSession } from '../decisions/caller-sessions/caller-session.js'
import { createDatabaseHealth } from '../decisions/caller-sessions/database-health.js'
import { createEndpointIndex } from '../decisions/caller-sessions/endpoint-index.js'
import { createGroupAccess } from '../decisions/caller-sessions/group-access.js'
import { createCrossDomainReads, SHARE_STEP_INTERVAL_MS } from '../decisions/caller-sessions/cross-domain-reads.js'
import { createConnectionLending } from '../decisions/caller-sessions/connection-lending.js'
import { createOverloadWatch } from '../decisions/caller-sessions/overload-watch.js'
import { createSessionPool } from '../decisions/caller-sessions/session-pool.js'
import { createConnectionPlacement, createSharedPool } from '../decisions/caller-sessions/shared-pool.js'
import { createSlotScheduler } from '../decisions/caller-sessions/slot-scheduler.js'
import { createSlottedPool } from '../decisions/caller-sessions/slotted-pool.js'
import type { SessionServices } from '../decisions/caller-sessions/session-services.js'
import { createPlannedStop } from '../decisions/drain/planned-stop.js'
import { createSessionMemory } from '../decisions/overload/session-memory.js'
import type { ClientLimitCause } from '../types/client-limit-cause.js'
import { createControlAttachment } from '../decisions/freshness/control-attachment.js'
import type { MachineSpeeds } from '../decisions/routing/should-compress-calls.js'
import { shouldCompressCalls } from '../decisions/routing/should-compress-calls.js'
import { createChannelPreparation } from '../decisions/membership/channel-preparation.js'
import { createShareHolder } from '../decisions/limits/share-holder.js'
import { SHARE_LEASE_MS } from '../decisions/limits/share-lease.js'
import { createTokenBuckets } from '../decisions/limits/token-buckets.js'
import { createWorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import { createFailureDomainRoundTrips } from '../decisions/routing/failure-domain-round-trips.js'
import { milliseconds } from '../types/clock.js'
import type { DirectoryDatabase, DirectoryInstance } from '../types/directory.js'
import type { DatabaseId } from '../types/ids.js'
import { address, incarnationId } from '../types/ids.js'
import type { SessionRefusal } from '../types/session-statement.js'
import type { StopStage } from '../types/stop-stage.js'
import { callAfter } from '../adapters/timers/call-after.js'
import { createControlLink } from './control-link.js'
import { createInstanceUsage } from './instance-usage.js'
import { observeFinishedOperation } from './observe-finished-operation.js'
import { createPeerCalls } from './peer-calls.js'
import { createPeerCallHandler } from './peer-call-handler.js'
import { createSilenceReports } from '../decisions/caller-sessions/silence-reports.js'
import { setSessionGauges } from './session-gauges.js'
import type { SessionInstanceOptions } from './session-instance-options.js'
import { createSessionAdmission } from './session-admission.js'

/** Time between two ticks of the controllers while operations wait or a primary is being changed, in milliseconds: half of the wait for a token. */
const URGENT_TICK_MS = 25
/** Time between two ticks of the controllers while no operation waits and no primary is being changed, in milliseconds: a fifth of the heartbeat interval. */
const REST_TICK_MS = 100
/** Time for which ticks stay frequent after their last cause, in milliseconds. It covers several requests for the same share. */
const URGENT_DURATION_MS = 400
/** Time between two ticks of the connection pool, in milliseconds. A tick closes connections that were idle for too long. */
const POOL_TICK_MS = 250
/** Time between two ticks of a planned stop, in milliseconds. */
const STOP_TICK_MS = 25
/**
 * Longest wait of an operation for a token of the workspace's rate, in milliseconds: the time within which the leader moves a share.
 * A longer wait would delay every operation of a workspace that is above its rate.
 */
const MAX_TOKEN_WAIT_MS = 50
/** Start of the process, from which the clock counts. */
const PROCESS_STARTED_AT = milliseconds(0)
const INCARNATION_BYTES = 8
const UNKNOWN_SPEEDS: MachineSpeeds = { linkMegabits: null, processorShare: null }
/** Longest idle time of a transaction when the manifest sets no limit, in milliseconds. */
const DEFAULT_IDLE_TRANSACTION_MS = 3000
const NO_INSTANCES: readonly DirectoryInstance[] = []
/** Longest wait for the first manifest when a session opens, in milliseconds. Callers abandon the attempt after two seconds. */
const FIRST_MANIFEST_WAIT_MS = 1500

/** An entry instance for callers whose sessions last as long as their connections. `EntryInstance` serves callers over HTTP instead. */
export interface SessionInstance {
  /** Opens a session, or resolves with a refusal. It waits a short time for the first manifest. */
  openSession: (endpointName: string, keyDigest: string | null) => Promise<CallerSession | SessionRefusal>
  /** @returns why the instance accepts no new callers; null when it does */
  notReadyReason: () => string | null
  /** @returns the number of connections that other instances have borrowed */
  countLentConnections: () => number
  /** Begins a planned stop: readiness fails, and heartbeats report it to the control leader. @param limitMs - time until the kill in milliseconds */
  beginStop: (limitMs: number) => void
  /** Calls the listener with each stage of a planned stop. */
  onStopStage: (listener: (stage: StopStage) => void) => void
  /** @returns time since the planned stop began in milliseconds; 0 before it */
  stopElapsedMs: () => number
  /** Ends all service and notifies the control leader, which may then grant the shares of this instance to others. */
  leave: () => void
  /** Counts a client that a limit closed or refused, for the metrics. */
  countLimitedClient: (cause: ClientLimitCause) => void
  renderMetrics: () => Promise<{ contentType: string, text: string }>
  /** Ends all service and closes the connection to control. */
  stop: () => void
}

/**
 * Starts the instance. It attaches to the control leader, and serves callers once it has a manifest and a directory.
 * @throws Error when the address for other instances can't be used
 */
export async function startSessionInstance (options: SessionInstanceOptions): Promise<SessionInstance> {
  const { clock, logEvent, instance, failureDomain, unconfirmedServiceMs = SHARE_LEASE_MS } = options
  const ownAddress = address(`${options.peers.host}:${options.peers.port}`)
  const blackboard = createBlackboard()
  const draining = blackboard.reader(drainingEntry)
  const stopStage = blackboard.reader(stopStageEntry)
  const manifest = blackboard.reader(manifestEntry)
  const directory = blackboard.reader(directoryEntry)
  const freshness = blackboard.reader(freshnessEntry)
  const plannedStop = createPlannedStop({ clock: monotonicClock, blackboard })
  const incarnation = incarnationId(`${instance}.${randomBytes(INCARNATION_BYTES).toString('base64url')}`)
  const metrics = createMetrics()
  const usage = createInstanceUsage({ clock, steadyClock: monotonicClock, times: options.metering ?? null, manifest: () => manifest.read()?.manifest ?? null, onLate: metrics.countLateUsage })
  const health = createDatabaseHealth(clock)
  const endpoints = createEndpointIndex(blackboard)
  const access = createGroupAccess({ clock, blackboard, after: callAfter, onReleased: () => { link.handle({ kind: 'request-heartbeat' }) } })
  const buckets = createTokenBuckets(clock)
  const limiter = createWorkspaceLimiter({ clock, blackboard, buckets, maxWaitMs: MAX_TOKEN_WAIT_MS })
  const shareHolder = createShareHolder({ clock, blackboard, buckets, demandSources: [limiter.demand], startedAt: PROCESS_STARTED_AT, unconfirmedServiceMs })
  const buildHello = (purpose: Hello['purpose']): Hello => ({ purpose, name: instance, address: ownAddress })
  const preparation = createChannelPreparation({ clock, instance, failureDomain })
  const roundTrips = createFailureDomainRoundTrips(clock)
  const crossDomainReads = options.crossDomainReads === undefined
    ? null
    : createCrossDomainReads({ ...options.crossDomainReads, clock, random: Math.random, failureDomain, access, health, roundTrips, expectedWaitMs: health.expectedWaitMs, groups: () => directory.read()?.groups.map(({ group }) => group) ?? [], logEvent })
  const calls = createPeerCalls({ clock, steadyClock: monotonicClock, hello: buildHello('peer'), clusterSecret: options.clusterSecret, logEvent, compresses: shouldCompressCalls(options.speeds ?? UNKNOWN_SPEEDS), after: callAfter, onRoundTrip: ({ failureDomain: target }, roundTripMs) => { roundTrips.record(target, roundTripMs) } })
  const admission = createSessionAdmission({
    clock,
    random: Math.random,
    instance,
    failureDomain,
    limiter,
    calls,
    instances: () => directory.read()?.instances ?? NO_INSTANCES,
    rateOf: endpoints.rateOf,
    confirmedAt: () => freshness.read().confirmedAt,
    unconfirmedServiceMs,
    onDemandRise: () => {
      ticks.markUrgent()
      requestHeartbeatFor(shareHolder.handle({ kind: 'demand-changed' }))
    },
    onRateRefused: metrics.countRateRefusal
  })
  const connectionLimit = ({ group }: DirectoryDatabase): number => endpoints.connectionLimit(group)
  const placement = createConnectionPlacement({ blackboard, connectionLimit, hasSlotLenders: options.slotScheduling === true })
  const ownPool = createSessionPool({
    clock,
    health,
    open: async (target, limitMs) => {
      const startedAt = clock.now()
      const opened = await options.open(target, limitMs)
      if (opened.isOk()) crossDomainReads?.recordOpening(clock.now() - startedAt)
      return opened
    },
    connectionLimit,
    shouldCloseSurplus: ({ group }) => access.isPrimaryChanging(group),
    onRejected: (rejectedBy, ownConnections) => {
      metrics.countRejectedConnection()
      logEvent('connectionRejected', { database: rejectedBy, ownConnections })
    },
    instanceCount: placement.count,
    after: callAfter
  })
  const scheduler = createSlotScheduler({
    clock,
    capacity: findCapacity,
    after: callAfter,
    onRefused: (refusedBy, cause) => {
      metrics.countSlotRefusal(refusedBy, cause)
      overloadWatch.recordRefusal(refusedBy, cause)
    }
  })
  const overloadWatch = createOverloadWatch({ clock, stateOf: scheduler.state, logEvent })
  const heldPool = options.slotScheduling === true ? createSlottedPool({ clock, own: ownPool, scheduler, health, hasSlots: (database) => placement.slots(database) !== null }) : ownPool
  const pool = createSharedPool({ instance, own: heldPool, placement, calls, health })
  const lending = createConnectionLending({ clock, pool: heldPool, health, findDatabase: access.findDatabase, stopStage: stopStage.read, after: callAfter, logEvent })

  /** @returns slots of a database and number of its lenders, as far as the directory lists it */
  function findCapacity (id: DatabaseId): { slots: number, lenders: number } {
    const database = access.findDatabase(id)
    return database === null ? { slots: 1, lenders: 1 } : { slots: placement.slots(database) ?? 1, lenders: placement.count(database) }
  }

  const peerServer = await listenForMessages({
    ...options.peers,
    clusterSecret: options.clusterSecret,
    tls: null,
    pings: () => 'while-waiting',
    clock,
    logEvent,
    handshakes: options.handshakes,
    onChannel: createPeerCallHandler({ clock, lending, takeToken: admission.takeToken, logEvent })
  })

  const attachment = createControlAttachment({
    clock,
    blackboard,
    logEvent,
    leaseMs: options.leaseMs,
    members: () => {
      const published = directory.read()?.controlMembers ?? []
      return [...new Set([...published, ...options.seeds()])]
    },
    applyShares: (answer, sentAt) => {
      usage.acknowledge(answer, sentAt)
      const effects = shareHolder.handle({ kind: 'heartbeat-answer', answer })
      queueMicrotask(() => { requestHeartbeatFor(effects) })
    },
    composeHeartbeat: (core) => ({
      version: 1,
      kind: 'heartbeat',
      ...core,
      instance,
      incarnation,
      peerAddress: ownAddress,
      failureDomain,
      draining: draining.read(),
      ...shareHolder.composeHeartbeat(core.sequence),
      observations: health.observations(),
      releasedTerms: access.releasedTerms(),
      ...usage.messageFields(core.sequence)
    })
  })
  const link = createControlLink({ attachment, pings: 'while-waiting', hello: buildHello('control'), clusterSecret: options.clusterSecret, tls: null, logEvent })

  function requestHeartbeatFor (shareHolderEffects: readonly unknown[]): void {
    if (shareHolderEffects.length > 0) link.handle({ kind: 'request-heartbeat' })
  }

  const services: SessionServices = {
    sessionMemory: createSessionMemory(options.sessionMemoryBytes ?? Infinity),
    clock,
    failureDomain,
    access,
    pool,
    health,
    ...crossDomainReads === null ? {} : { crossDomainReads },
    authorize: endpoints.authorize,
    admit: admission.admit,
    idleTransactionMs: () => manifest.read()?.manifest.sessionLimits?.idleTransactionMs ?? DEFAULT_IDLE_TRANSACTION_MS,
    stopStage: stopStage.read,
    after: callAfter,
    logEvent,
    onFinished: (finished) => { observeFinishedOperation(metrics, finished) },
    onBegan: usage.onBegan,
    ...(options.slotScheduling === true ? { boundedHolding: { random: Math.random } } : {})
  }

  const silences = createSilenceReports(health)
  const pauses = createPauseDetector(clock, (durationMs) => { logEvent('eventLoopPaused', { durationMs: Math.round(durationMs) }) })

  function tick (): void {
    pauses.observe()
    if (access.isAnyPrimaryChanging()) ticks.markUrgent()
    link.tick()
    requestHeartbeatFor(shareHolder.tick())
    admission.tick()
    access.tick()
    for (const database of silences.findNew()) {
      logEvent('databaseSilent', { database })
      link.handle({ kind: 'request-heartbeat' })
    }
    prepareChannel()
  }

  /** Opens a channel ahead of calls. Instances that lend no connections call each other too rarely. */
  function prepareChannel (): void {
    if (options.preparesChannels !== true || !placement.isLending()) return
    const peer = preparation.next(calls.hasChannel)
    if (peer !== null) calls.prepare(peer)
  }

  function tickPool (): void {
    pool.tick(new Map((directory.read()?.databases ?? []).map((database) => [database.database, database])))
  }

  directory.onWrite(() => {
    health.keepOnly(new Set(directory.read()?.databases.map(({ database }) => database)))
    calls.keepOnly(directory.read()?.instances ?? NO_INSTANCES)
    preparation.update(directory.read()?.instances ?? NO_INSTANCES)
    setImmediate(() => {
      tickPool()
      // The control leader continues the change of a primary only after this instance has reported its released terms.
      // Any other change of the directory needs no heartbeat before the next periodic one.
      if (access.isAnyPrimaryChanging()) link.handle({ kind: 'request-heartbeat' })
    })
  })
  blackboard.reader(sharesEntry).onWrite(() => { setImmediate(admission.tick) })
  const ticks = repeatAtPace(tick, { idleIntervalMs: REST_TICK_MS, urgentIntervalMs: URGENT_TICK_MS, urgentDurationMs: URGENT_DURATION_MS, now: clock.now, after: callAfter })
  const stopPoolTicks = repeatByTimer(POOL_TICK_MS, tickPool)
  const stopShareSteps = crossDomainReads === null ? () => {} : repeatByTimer(SHARE_STEP_INTERVAL_MS, crossDomainReads.tick)
  link.tick()

  async function openSession (endpointName: string, keyDigest: string | null): Promise<CallerSession | SessionRefusal> {
    const waitsUntil = clock.now() + FIRST_MANIFEST_WAIT_MS
    while (manifest.read() === null && clock.now() < waitsUntil) await access.changed(waitsUntil - clock.now())
    return openCallerSession(services, endpointName, keyDigest)
  }

  function notReadyReason (): string | null {
    if (draining.read()) return 'draining'
    if (manifest.read() === null) return 'no-manifest'
    if (directory.read() === null) return 'no-directory'
    return clock.now() < freshness.read().validUntil ? null : 'not-fresh'
  }

  /** Ends all service: afterwards, nothing is admitted for callers of this instance or for other instances. */
  function stopService (): void {
    ticks.stop()
    stopPoolTicks()
    stopShareSteps()
    calls.close()
    pool.close()
    peerServer.close().catch((error: unknown) => { logEvent('failed', { message: String(error) }) })
  }

  return {
    openSession,
    notReadyReason,
    countLentConnections: lending.count,
    beginStop: (limitMs) => {
      plannedStop.begin(limitMs)
      repeatByTimer(STOP_TICK_MS, plannedStop.tick)
      link.handle({ kind: 'request-heartbeat' })
    },
    onStopStage: stopStage.onWrite,
    countLimitedClient: metrics.countLimitedClient,
    stopElapsedMs: plannedStop.elapsedMs,
    leave: () => {
      stopService()
      link.handle({ kind: 'forward', message: { version: 1, kind: 'leave', instance, incarnation, ...usage.messageFields(null) } })
    },
    renderMetrics: async () => {
      setSessionGauges(metrics, { manifestVersion: manifest.read()?.version ?? 0, isFresh: clock.now() < freshness.read().validUntil, pool, lending, calls, slotQueues: scheduler.states() })
      if (crossDomainReads !== null) metrics.setCrossDomainShares(crossDomainReads.shares())
      return await metrics.render()
    },
    stop: () => {
      stopService()
      link.close()
    }
  }
}
