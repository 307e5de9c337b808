import { randomBytes } from 'node:crypto'
import { createMetrics } from '../adapters/metrics/create-metrics.js'
import { repeatAtPace } from '../adapters/timers/repeat-at-pace.js'
import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import type { Hello } from '../adapters/ws/message-channel.js'
import { listenForMessages } from '../adapters/ws/message-server.js'
import { createBlackboard } from '../blackboard/blackboard.js'
import { directoryEntry, drainingEntry, freshnessEntry, manifestEntry, sharesEntry } from '../blackboard/entry-instance-entries.js'
import type { CallerSession } from '../decisions/caller-sessions/caller-session.js'
import { openCallerSession } from '../decisions/caller-sessions/caller-session.js'
import { createDatabaseHealth } from '../decisions/caller-sessions/database-health.js'
import { createEndpointIndex } from '../decisions/caller-sessions/endpoint-index.js'
import { createGroupAccess } from '../decisions/caller-sessions/group-access.js'
import { createConnectionLending } from '../decisions/caller-sessions/connection-lending.js'
import { createSessionPool } from '../decisions/caller-sessions/session-pool.js'
import { createConnectionPlacement, createSharedPool } from '../decisions/caller-sessions/shared-pool.js'
import type { FinishedOperation, SessionServices } from '../decisions/caller-sessions/session-services.js'
import { createControlAttachment } from '../decisions/freshness/control-attachment.js'
import { createShareHolder } from '../decisions/limits/share-holder.js'
import { createTokenBuckets } from '../decisions/limits/token-buckets.js'
import { createWorkspaceLimiter } from '../decisions/limits/workspace-limiter.js'
import type { Clock } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'
import type { OpenDatabaseSession } from '../types/database-session.js'
import type { DirectoryDatabase, DirectoryInstance } from '../types/directory.js'
import type { Address, DatabaseId, FailureDomainId, InstanceId } from '../types/ids.js'
import { address, incarnationId } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { SessionRefusal } from '../types/session-statement.js'
import { resultCodes } from '../types/result-code.js'
import { createControlLink } from './control-link.js'
import { createPeerCalls } from './peer-calls.js'
import { createPeerService } from './peer-service.js'
import { createAdmission } from './session-admission.js'

/** Time between ticks of the controllers in milliseconds while operations wait or a primary is being changed: half of the wait for a token. */
const URGENT_TICK_MS = 25
/** The same at rest: a fifth of the time between heartbeats. */
const REST_TICK_MS = 100
/** Ticks stay frequent for this long after the last cause, in milliseconds: a share is asked for again several times meanwhile. */
const URGENT_FOR_MS = 400
/** Time between looks at idle connections in milliseconds. */
const POOL_TICK_MS = 250
/**
 * Longest wait for a token of the workspace's rate, in milliseconds: the time in which the leader moves a share. A longer queue would
 * make every operation of a workspace above its rate late.
 */
const RATE_WAIT_MS = 50
/** The clock counts from the start of the process. */
const PROCESS_START = milliseconds(0)
const INCARNATION_BYTES = 8
/** A transaction may idle for this long when the manifest sets no limit, in milliseconds. */
const DEFAULT_IDLE_TRANSACTION_MS = 3000
const NO_INSTANCES: readonly DirectoryInstance[] = []
/** Longest wait for the first manifest when a session opens, in milliseconds: callers give up after two seconds. */
const FIRST_MANIFEST_WAIT_MS = 1500

export interface SessionInstanceOptions {
  instance: InstanceId
  failureDomain: FailureDomainId
  /** Where other instances connect. */
  peers: { host: string, port: number }
  /** Addresses of control members that the settings name, as they are now. */
  seeds: () => readonly Address[]
  clusterSecret: string
  /** Clock that counts suspended time. */
  clock: Clock
  open: OpenDatabaseSession
  logEvent: LogEvent
  /** Length of the freshness lease in milliseconds; the coordinator must know the same. */
  leaseMs: number
}

/** Serves connection-oriented sessions of callers. */
export interface SessionInstance {
  /** Opens a session; waits a short time for the first manifest. */
  openSession: (endpointName: string, keyDigest: string | null) => Promise<CallerSession | SessionRefusal>
  /** @returns why no new callers should come here; null when they may */
  notReadyReason: () => string | null
  /** @returns connections that other instances have borrowed */
  lentCount: () => number
  /** Tells that no new callers should come. */
  beginDrain: () => void
  /** Ends all service, and tells the control leader so, which may then give to others what this instance held. */
  leave: () => void
  renderMetrics: () => Promise<{ contentType: string, text: string }>
  stop: () => void
}

function callAfter (durationMs: number, callback: () => void): () => void {
  const timer = setTimeout(callback, durationMs)
  return () => { clearTimeout(timer) }
}

/**
 * Starts the instance: it attaches to the control leader and serves once it has a manifest and a directory.
 * @throws Error when the address for other instances can't be used
 */
export async function startSessionInstance (options: SessionInstanceOptions): Promise<SessionInstance> {
  const { clock, logEvent, instance, failureDomain } = options
  const ownAddress = address(`${options.peers.host}:${options.peers.port}`)
  const blackboard = createBlackboard()
  const draining = blackboard.claim(drainingEntry, 'drain')
  const manifest = blackboard.reader(manifestEntry)
  const directory = blackboard.reader(directoryEntry)
  const freshness = blackboard.reader(freshnessEntry)
  const incarnation = incarnationId(`${instance}.${randomBytes(INCARNATION_BYTES).toString('base64url')}`)
  const metrics = createMetrics()
  const health = createDatabaseHealth(clock)
  const endpoints = createEndpointIndex(blackboard)
  const access = createGroupAccess({ clock, blackboard, after: callAfter, onReleased: () => { link.handle({ kind: 'heartbeat-wanted' }) } })
  const buckets = createTokenBuckets(clock)
  const limiter = createWorkspaceLimiter({ clock, blackboard, buckets, maxWaitMs: RATE_WAIT_MS })
  const shareHolder = createShareHolder({ clock, blackboard, buckets, demandSources: [limiter.demand], startedAt: PROCESS_START })
  const hello = (purpose: Hello['purpose']): Hello => ({ purpose, name: instance, address: ownAddress })
  const calls = createPeerCalls({ clock, hello: hello('peer'), clusterSecret: options.clusterSecret, logEvent, after: callAfter })
  const admission = createAdmission({
    clock,
    instance,
    limiter,
    calls,
    instances: () => directory.read()?.instances ?? NO_INSTANCES,
    onDemand: () => {
      ticks.hurry()
      wantHeartbeat(shareHolder.handle({ kind: 'demand-changed' }))
    }
  })
  const connectionLimit = ({ group }: DirectoryDatabase): number => endpoints.connectionLimit(group)
  const placement = createConnectionPlacement({ blackboard, connectionLimit })
  const ownPool = createSessionPool({
    clock,
    health,
    open: options.open,
    connectionLimit,
    shouldCloseSurplus: ({ group }) => access.isPrimaryChanging(group),
    instanceCount: placement.count,
    after: callAfter
  })
  const pool = createSharedPool({ instance, own: ownPool, placement, calls, health })
  const lending = createConnectionLending({ clock, pool: ownPool, health, findDatabase: access.findDatabase, isDraining: draining.read, after: callAfter })
  const peerServer = await listenForMessages({
    ...options.peers,
    clusterSecret: options.clusterSecret,
    tls: null,
    pings: () => 'while-waiting',
    onChannel: createPeerService({ lending, takeToken: admission.takeToken, logEvent })
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
      peerAddress: ownAddress,
      failureDomain,
      draining: draining.read(),
      ...shareHolder.composeHeartbeat(core.sequence),
      observations: health.observations(),
      releasedTerms: access.releasedTerms()
    })
  })
  const link = createControlLink({ attachment, pings: 'while-waiting', hello: hello('control'), clusterSecret: options.clusterSecret, tls: null })

  function wantHeartbeat (wanted: readonly unknown[]): void {
    if (wanted.length > 0) link.handle({ kind: 'heartbeat-wanted' })
  }

  function onFinished ({ workspace, refusal, servedBy, durationMs }: FinishedOperation): void {
    const outcome = refusal === null ? 'ran' : refusal.promise === 'nothing-kept' || refusal.promise === 'rejected' ? 'not-run' : refusal.promise
    metrics.observeRequest({ workspace, code: refusal === null ? 0 : resultCodes[refusal.result].code, outcome, servedBy, durationMs })
  }

  const services: SessionServices = {
    clock,
    failureDomain,
    access,
    pool,
    health,
    authorize: endpoints.authorize,
    admit: admission.admit,
    idleTransactionMs: () => manifest.read()?.manifest.sessionLimits?.idleTransactionMs ?? DEFAULT_IDLE_TRANSACTION_MS,
    after: callAfter,
    logEvent,
    onFinished
  }

  let silentBefore = new Set<DatabaseId>()
  /** The coordinator replaces a silent primary only once most instances report it, so each one reports at once. */
  function reportSilence (): void {
    const silent = new Set(health.observations().filter(({ silentForMs }) => silentForMs > 0).map(({ database }) => database))
    for (const database of silent) {
      if (silentBefore.has(database)) continue
      logEvent('databaseSilent', { database })
      link.handle({ kind: 'heartbeat-wanted' })
    }
    silentBefore = silent
  }

  function isChanging (): boolean {
    return directory.read()?.groups.some(({ phase }) => phase !== 'serving') === true
  }

  function tick (): void {
    if (isChanging()) ticks.hurry()
    link.tick()
    wantHeartbeat(shareHolder.tick())
    admission.tick()
    access.tick()
    reportSilence()
  }

  function tickPool (): void {
    pool.tick(new Map((directory.read()?.databases ?? []).map((database) => [database.database, database])))
  }

  directory.onWrite(() => {
    health.keepOnly(new Set(directory.read()?.databases.map(({ database }) => database)))
    calls.keepOnly(directory.read()?.instances ?? NO_INSTANCES)
    setImmediate(() => {
      tickPool()
      // The leader of a change waits for the terms that this instance releases; anything else can wait for the next heartbeat.
      if (isChanging()) link.handle({ kind: 'heartbeat-wanted' })
    })
  })
  blackboard.reader(sharesEntry).onWrite(() => { setImmediate(admission.tick) })
  const ticks = repeatAtPace(tick, { restMs: REST_TICK_MS, urgentMs: URGENT_TICK_MS, urgentForMs: URGENT_FOR_MS, now: clock.now, after: callAfter })
  const stopPoolTicks = repeatByTimer(POOL_TICK_MS, tickPool)
  link.tick()

  async function openSession (endpointName: string, keyDigest: string | null): Promise<CallerSession | SessionRefusal> {
    const waitUntil = clock.now() + FIRST_MANIFEST_WAIT_MS
    while (manifest.read() === null && clock.now() < waitUntil) await access.changed(waitUntil - clock.now())
    return openCallerSession(services, endpointName, keyDigest)
  }

  function notReadyReason (): string | null {
    if (draining.read()) return 'draining'
    if (manifest.read() === null) return 'no-manifest'
    if (directory.read() === null) return 'no-directory'
    return clock.now() < freshness.read().validUntil ? null : 'not-fresh'
  }

  /** Nothing may be admitted afterwards, neither here nor for other instances. */
  function endService (): void {
    ticks.stop()
    stopPoolTicks()
    calls.close()
    pool.close()
    peerServer.close().catch((error: unknown) => { logEvent('failed', { message: String(error) }) })
  }

  return {
    openSession,
    notReadyReason,
    lentCount: lending.count,
    beginDrain: () => {
      draining.write(true)
      link.handle({ kind: 'heartbeat-wanted' })
    },
    leave: () => {
      endService()
      link.handle({ kind: 'forward', message: { version: 1, kind: 'leave', instance, incarnation } })
    },
    renderMetrics: async () => {
      metrics.setGauge('manifest_version', manifest.read()?.version ?? 0)
      metrics.setGauge('fresh', clock.now() < freshness.read().validUntil ? 1 : 0)
      const { open, idle, waiting } = pool.counts()
      metrics.setGauge('database_connections', open)
      metrics.setGauge('idle_database_connections', idle)
      metrics.setGauge('waiting_for_connection', waiting)
      metrics.setGauge('lent_connections', lending.count())
      metrics.setGauge('peer_channels', calls.connectedCount())
      return await metrics.render()
    },
    stop: () => {
      endService()
      link.close()
    }
  }
}
