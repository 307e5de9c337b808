import { createBlackboard } from '../blackboard/blackboard.js'
import {
  databaseWeightsEntry, connectionHoldersEntry, leadershipEntry, primaryChangesEntry, publishedDirectoryEntry, registeredDatabasesEntry,
  registeredInstancesEntry, replicatedStateEntry, switchingGroupsEntry
} from '../blackboard/control-instance-entries.js'
import { createDatabaseWeights } from '../decisions/failure-domains/database-weights.js'
import { createFailoverController } from '../decisions/failover/failover-controller.js'
import type { FailoverMessage } from '../decisions/failover/failover-message.js'
import { createDatabaseRegistry } from '../decisions/membership/database-registry.js'
import { createDirectoryBuilder } from '../decisions/membership/directory-builder.js'
import { isDirectoryReady } from '../decisions/membership/directory-readiness.js'
import { createHolderAssignment } from '../decisions/membership/holder-assignment.js'
import { createInstanceRegistry } from '../decisions/membership/instance-registry.js'
import type { EntryToControl, Heartbeat, LeaveMessage } from '../types/control-message.js'
import type { ControlSummary } from '../types/control-summary.js'
import type { Announcement } from '../types/database-status.js'
import type { GroupId } from '../types/ids.js'
import type { CoordinatorOptions } from './coordinator-options.js'
import { summarize } from './coordinator-summary.js'
import type { DatabaseAnnouncements } from './database-announcements.js'
import { createDatabaseAnnouncements } from './database-announcements.js'
import { createEntryConnections } from './entry-connections.js'
import type { ConnectionName, EntryConnection, PublishedState } from './entry-connections.js'
import { createFailoverEffects, giveToDatabases } from './failover-effects.js'
import { createLeadership } from './leadership.js'
import { logFailureDomains } from './log-failure-domains.js'
import { createRecordedInstances } from './recorded-instances.js'
import { createLostInstances } from './lost-instances.js'
import { shareResources } from './share-resources.js'

/**
 * Interval in which the directory is built without a known change, in ms, for weights that rise with time.
 * At 710 instances and 1,200 databases, building it at each tick of 50 ms would take 2% of a core.
 */
const UPDATE_INTERVAL_MS = 250
/** Time in which a new leader builds the directory at each tick, in ms: the longest wait before its first directory, and one tick. */
const NEW_LEADER_MS = 1600

/**
 * Least time between two directories because of instances that come and go, in ms for each instance: while a fleet starts, the
 * directory changes with each instance that joins, and each change goes to all of them.
 */
const DIRECTORY_GAP_MS_PER_INSTANCE = 2

/** A heartbeat that waits for its round. The connection may have a later one by then, which the round does not cover. */
interface PendingAnswer {
  connection: EntryConnection
  heartbeat: Heartbeat
}

/** The part of a control instance that talks to entry instances and databases while it leads. */
export interface Coordinator {
  /** Takes a connection of an entry instance into use. */
  attach: (connection: ConnectionName) => void
  /** The connection ended. */
  detach: (connection: ConnectionName) => void
  handle: (connection: ConnectionName, message: EntryToControl) => void
  /** Announcements that come from databases themselves. */
  readonly announcements: DatabaseAnnouncements
  /** Called at least every 50 ms. */
  tick: () => void
  summary: () => ControlSummary
}

/** Creates the coordinator of a control instance. It does nothing but refer to the leader while the instance does not lead. */
export function createCoordinator (options: CoordinatorOptions): Coordinator {
  const { clock, log, allocator, orders, send, logEvent } = options
  const blackboard = createBlackboard()
  const stateEntry = blackboard.claim(replicatedStateEntry, 'coordinator')
  const entries = {
    leadership: blackboard.reader(leadershipEntry),
    instances: blackboard.reader(registeredInstancesEntry),
    databases: blackboard.reader(registeredDatabasesEntry),
    weights: blackboard.reader(databaseWeightsEntry),
    holders: blackboard.reader(connectionHoldersEntry),
    directory: blackboard.reader(publishedDirectoryEntry),
    switching: blackboard.reader(switchingGroupsEntry),
    changes: blackboard.reader(primaryChangesEntry)
  }
  const maxProofAgeMs = options.maxProofAgeMs ?? -1
  const placesHolders = (options.holders ?? 'placed') === 'placed'
  const instances = createInstanceRegistry({ blackboard, clock, ...(options.instanceLostMs === undefined ? {} : { lostAfterMs: options.instanceLostMs }) })
  const databases = createDatabaseRegistry({ blackboard, clock })
  const weights = createDatabaseWeights({ blackboard, clock })
  const assignment = createHolderAssignment({ blackboard, clock })
  const builder = createDirectoryBuilder({ blackboard, ...(options.publishMembers === true ? { controlMembers: log.memberAddresses } : {}) })
  const failover = (options.createFailover ?? createFailoverController)({ ...options.failover, blackboard, clock })
  const lost = createLostInstances()
  const connections = createEntryConnections({ clock, send })
  const runEffects = createFailoverEffects({ log, giveOrder: typeof orders === 'function' ? orders : giveToDatabases(orders), logEvent, deliver: failoverOutcome })
  const leadership = createLeadership<PendingAnswer>({ blackboard, clock, log, onBegin: leadershipBegan, onEstablished: established, onEnd: leadershipEnded, onConfirmed: answerAll, onRefused: refuseAll })
  const announcements = createDatabaseAnnouncements({ log, isEstablished: establishedNow, take: (announcement) => { takeAnnouncement(announcement, 0) } })
  const recordedInstances = createRecordedInstances({
    clock,
    log,
    isEnabled: options.recordInstances === true,
    isRegistered: (instance) => entries.instances.read().has(instance),
    onRecorded: (instance) => {
      const connection = connections.ofInstance(instance)
      if (connection !== undefined) send(connection.name, { version: 1, kind: 'heartbeat-request' })
    }
  })
  let sharesAreStale = true
  let directoryIsStale = true
  let updatedAt = -Infinity
  /** Term for which the begin of granting was logged. */
  let grantingTerm: number | null = null
  let publishedSwitches: ReadonlySet<GroupId> = entries.switching.read()

  function leadershipBegan (term: number): void {
    for (const part of [instances, databases, weights, assignment, builder, failover, lost, connections]) part.reset()
    sharesAreStale = true
    allocator.becomeLeader(term)
  }

  function establishedNow (): boolean {
    leadership.refresh()
    return leadership.term() !== null && leadership.isEstablished()
  }

  function established (): void {
    stateChanged()
    announcements.takeRecorded()
    if (options.recordInstances === true) allocator.expectHolders(new Set(stateEntry.read().instances))
    update()
  }

  function leadershipEnded (): void {
    builder.reset()
    for (const { name } of connections.all()) refer(name)
  }

  function refer (connection: ConnectionName): void {
    send(connection, { version: 1, kind: 'not-leader', leaderAddress: log.leaderAddress() })
  }

  function refuseAll (refused: PendingAnswer[]): void {
    for (const { connection } of refused) refer(connection.name)
  }

  function publishedState (): PublishedState {
    const { manifestVersion, manifest } = stateEntry.read()
    return { manifestVersion, manifest, directory: entries.directory.read() }
  }

  function answerAll (waiting: PendingAnswer[]): void {
    const state = publishedState()
    for (const pending of waiting) answer(pending, state)
  }

  function answer ({ connection, heartbeat }: PendingAnswer, state: PublishedState, provenMsAgo = 0): void {
    // The connection may have ended, or the instance may have moved to another one, during the round.
    if (connections.ofInstance(heartbeat.instance) !== connection) return
    connections.pushMissing(connection, state)
    send(connection.name, {
      version: 1,
      kind: 'heartbeat-answer',
      sequence: heartbeat.sequence,
      leaderTerm: leadership.term() ?? 0,
      ...(provenMsAgo > 0 ? { provenMsAgo } : {}),
      manifestVersion: state.manifestVersion,
      // Until the first directory is published, no instance can hold what is named here, so none takes a lease.
      directoryVersion: state.directory?.version ?? { leaderTerm: leadership.term() ?? 0, counter: 0 },
      shares: recordedInstances.mayHold(heartbeat.instance) ? allocator.renew(heartbeat.instance, heartbeat.incarnation) : []
    })
  }

  function takeHeartbeat (connection: ConnectionName, heartbeat: Heartbeat): void {
    const outcome = instances.handle(heartbeat)
    if (outcome === 'ignored') return
    connections.heartbeat(connection, heartbeat)
    if (outcome === 'joined') logEvent('instanceJoined', { instance: heartbeat.instance, incarnation: heartbeat.incarnation })
    if (outcome !== 'unchanged') instancesChanged()
    lost.remove(heartbeat.instance)
    for (const observation of heartbeat.observations) databases.observe(observation)
    const { instance, incarnation, draining, leaderTerm, idleMs = 0, held, demand } = heartbeat
    allocator.report({ instance, incarnation, draining, leaderTerm, idleMs, held, demand })
    failoverMessage({ kind: 'heartbeat-arrived' })
    const pending = { connection: connections.attach(connection), heartbeat }
    const provenMsAgo = log.provenMsAgo()
    if (provenMsAgo === null || provenMsAgo > maxProofAgeMs || !leadership.isEstablished()) leadership.confirm(connection, pending)
    else answer(pending, publishedState(), provenMsAgo)
  }

  /** What the run held is free, and neither a promotion nor a later leader has to wait for it. */
  function takeLeave ({ instance, incarnation }: LeaveMessage): void {
    if (!instances.leave(instance, incarnation)) return
    allocator.leave(instance, incarnation)
    recordedInstances.forget(instance)
    instancesChanged()
    logEvent('instanceLeft', { instance, incarnation })
  }

  function takeAnnouncement (announcement: Announcement, ageMs: number): void {
    stateChanged()
    const { database, group, address } = announcement
    const outcome = databases.announce(announcement, ageMs)
    if (outcome === 'announced') logEvent('databaseAnnounced', { database, group, address })
    if (outcome === 'departing') logEvent('databaseDeparting', { database, group })
    if (outcome === 'role-changed') logEvent('databaseRoleChanged', { database, group, role: announcement.status.role })
    if (outcome === 'unchanged' || outcome === 'ignored') return
    update()
    runEffects(failover.tick())
    publishSwitches()
  }

  function failoverMessage (message: FailoverMessage): void {
    runEffects(failover.handle(message))
    publishSwitches()
  }

  function failoverOutcome (message: FailoverMessage): void {
    stateChanged()
    leadership.refresh()
    if (message.kind === 'order-answered' && message.order.leaderTerm === leadership.term()) databases.answered(message.status)
    failoverMessage(message)
  }

  /** A switchover that began or ended is published at once, as writes wait for it. */
  function publishSwitches (): void {
    if (entries.switching.read() !== publishedSwitches) publish()
  }

  function update (): void {
    if (!leadership.isEstablished()) return
    directoryIsStale = false
    updatedAt = clock.now()
    weights.tick()
    for (const group of placesHolders ? assignment.tick() : []) logEvent('holdersChanged', { group, holders: (entries.holders.read().get(group) ?? []).join(' ') })
    publish()
  }

  function publish (): void {
    const state = publishedState()
    const isReady = state.directory !== null || isDirectoryReady(blackboard, clock.now())
    publishedSwitches = entries.switching.read()
    const directory = isReady && leadership.isEstablished() ? builder.build() : null
    if (directory !== null || sharesAreStale) feedAllocator()
    connections.push(publishedState())
    if (directory !== null) failoverMessage({ kind: 'directory-published', directory })
  }

  function instancesChanged (): void {
    assignment.invalidate()
    directoryIsStale = true
  }

  /** A new leader learns of holders and databases with each message. */
  function updateInterval (): number {
    const since = entries.leadership.read()?.since ?? clock.now()
    return clock.now() - since < NEW_LEADER_MS ? 0 : UPDATE_INTERVAL_MS
  }

  function feedAllocator (): void {
    sharesAreStale = false
    const listed = entries.directory.read()?.instances ?? []
    allocator.setResources(shareResources({
      manifest: stateEntry.read().manifest,
      databases: entries.databases.read(),
      holders: entries.holders.read(),
      databaseShares: placesHolders,
      rateHolders: (workspace) => options.selectRateHolders?.(workspace, listed) ?? null,
      rateTolerance: options.rateTolerance
    }))
  }

  function stateChanged (): void {
    const last = stateEntry.read()
    const state = log.state()
    if (state === last) return
    stateEntry.write(state)
    if (state.withdrawnDomains !== last.withdrawnDomains || state.databases !== last.databases) directoryIsStale = true
    if (leadership.term() !== null && (state.manifest !== last.manifest || state.withdrawnDomains !== last.withdrawnDomains)) logFailureDomains(last, state, logEvent)
    if (state.manifestVersion === last.manifestVersion) return
    sharesAreStale = true
    assignment.invalidate()
  }

  function logChanged (): void {
    stateChanged()
    leadership.refresh()
    if (leadership.term() === null) return
    update()
    runEffects(failover.tick())
    publishSwitches()
  }

  function handle (connection: ConnectionName, message: EntryToControl): void {
    connections.attach(connection)
    leadership.refresh()
    if (leadership.term() === null) return refer(connection)
    if (message.kind === 'heartbeat') takeHeartbeat(connection, message)
    if (message.kind === 'announcement') takeAnnouncement(message.announcement, message.ageMs)
    if (message.kind === 'leave') takeLeave(message)
  }

  function tick (): void {
    leadership.refresh()
    if (leadership.term() === null) return
    for (const instance of instances.tick()) {
      lost.add(instance)
      instancesChanged()
      logEvent('instanceLost', { instance: instance.instance })
    }
    if (databases.tick().length > 0) directoryIsStale = true
    const sinceUpdate = clock.now() - updatedAt
    const isDue = directoryIsStale || sinceUpdate >= updateInterval()
    if (isDue && sinceUpdate >= entries.instances.read().size * DIRECTORY_GAP_MS_PER_INSTANCE) update()
    runEffects(failover.tick())
    publishSwitches()
    allocator.tick()
    noteGranting()
    requestHeartbeats()
    leadership.tick()
    recordedInstances.tick(entries.leadership.read()?.since ?? clock.now())
  }

  function noteGranting (): void {
    const term = leadership.term()
    if (grantingTerm === term || !leadership.isEstablished() || !allocator.isGranting()) return
    grantingTerm = term
    logEvent('grantingBegan', { term, afterMs: Math.round(clock.now() - (entries.leadership.read()?.since ?? clock.now())), recorded: stateEntry.read().instances.length, reported: entries.instances.read().size })
  }

  /** Shares are granted in answers only, so an instance whose shares changed is asked for a heartbeat at once. */
  function requestHeartbeats (): void {
    for (const instance of allocator.takeChanged()) {
      const connection = connections.ofInstance(instance)
      if (connection !== undefined) send(connection.name, { version: 1, kind: 'heartbeat-request' })
    }
  }

  function summary (): ControlSummary {
    return summarize({
      now: clock.now(),
      leaderTerm: leadership.term(),
      manifestVersion: stateEntry.read().manifestVersion,
      directory: entries.directory.read(),
      instances: entries.instances.read().values(),
      lostInstances: lost.all(),
      databases: entries.databases.read(),
      weights: entries.weights.read(),
      changes: entries.changes.read()
    })
  }

  log.onChange(logChanged)
  logChanged()
  return { attach: (name) => { connections.attach(name) }, detach: connections.detach, handle, announcements, tick, summary }
}
