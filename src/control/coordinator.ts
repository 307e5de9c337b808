import { createBlackboard } from '../blackboard/blackboard.js'
import {
  databaseWeightsEntry, connectionHoldersEntry, leadershipEntry, primaryChangesEntry, publishedDirectoryEntry, registeredDatabasesEntry,
  registeredInstancesEntry, replicatedStateEntry, switchingGroupsEntry
} from '../blackboard/control-instance-entries.js'
import { createDatabaseWeights } from '../decisions/failure-domains/database-weights.js'
import { createFailoverController } from '../decisions/failover/failover-controller.js'
import type { FailoverMessage } from '../decisions/failover/failover-message.js'
import { computeLongestLeaderLeaseMs, SHARE_LEASE_MS } from '../decisions/limits/share-lease.js'
import { DEFAULT_ANNOUNCEMENT_INTERVAL_MS } from '../decisions/membership/continued-reports.js'
import { createDatabaseEvidence } from '../decisions/membership/database-evidence.js'
import { createDatabaseRegistry } from '../decisions/membership/database-registry.js'
import { createDirectoryBuilder } from '../decisions/membership/directory-builder.js'
import { isDirectoryReady } from '../decisions/membership/directory-readiness.js'
import { createHolderAssignment } from '../decisions/membership/holder-assignment.js'
import { createInstanceRegistry } from '../decisions/membership/instance-registry.js'
import type { EntryToControl, Heartbeat, LeaveMessage } from '../types/control-message.js'
import type { ControlSummary } from '../types/control-summary.js'
import type { Announcement } from '../types/database-status.js'
import type { GroupId } from '../types/ids.js'
import type { SupersededRecord } from '../types/replicated-state.js'
import type { CoordinatorOptions } from './coordinator-options.js'
import { buildControlSummary } from './coordinator-summary.js'
import type { DatabaseAnnouncements } from './database-announcements.js'
import { createDatabaseAnnouncements } from './database-announcements.js'
import { createEntryConnections } from './entry-connections.js'
import type { ConnectionName, EntryConnection, PublishedState } from './entry-connections.js'
import { createFailoverEffects, executeOnDatabases } from './failover-effects.js'
import { createLeadershipTracker } from './leadership-tracker.js'
import { logFailureDomainChanges } from './log-failure-domain-changes.js'
import { createRecordedInstances } from './recorded-instances.js'
import { createDirectoryPace } from './directory-pace.js'
import { createRecordedRateHolders } from './recorded-rate-holders.js'
import { createLostInstances } from './lost-instances.js'
import { buildShareResources } from './share-resources.js'

/** A heartbeat whose answer waits for a leadership confirmation. The connection may receive a later heartbeat, which that confirmation does not cover. */
interface PendingHeartbeat {
  connection: EntryConnection
  heartbeat: Heartbeat
}

/** Exchanges messages with entry instances and databases while its control instance leads. */
export interface Coordinator {
  /** Adds a new connection of an entry instance. */
  attach: (connection: ConnectionName) => void
  /** Removes a connection that has ended. */
  detach: (connection: ConnectionName) => void
  handle: (connection: ConnectionName, message: EntryToControl) => void
  /** Handles announcements that databases send directly to the control instances. */
  readonly announcements: DatabaseAnnouncements
  /** Called at least every 50 ms. */
  tick: () => void
  summary: () => ControlSummary
}

/** Creates the coordinator of a control instance. While the instance does not lead, the coordinator only refers entry instances to the leader. */
export function createCoordinator (options: CoordinatorOptions): Coordinator {
  const { clock, log, allocator, orders, send, logEvent } = options
  const blackboard = createBlackboard()
  const stateEntry = blackboard.claim(replicatedStateEntry, 'coordinator')
  const readers = {
    leadership: blackboard.reader(leadershipEntry),
    instances: blackboard.reader(registeredInstancesEntry),
    databases: blackboard.reader(registeredDatabasesEntry),
    weights: blackboard.reader(databaseWeightsEntry),
    holders: blackboard.reader(connectionHoldersEntry),
    directory: blackboard.reader(publishedDirectoryEntry),
    switching: blackboard.reader(switchingGroupsEntry),
    changes: blackboard.reader(primaryChangesEntry)
  }
  const maxConfirmationAgeMs = options.maxConfirmationAgeMs ?? -1
  const isPlacingHolders = (options.holders ?? 'placed') === 'placed'
  const instances = createInstanceRegistry({ blackboard, clock, ...(options.instanceLostMs === undefined ? {} : { lostAfterMs: options.instanceLostMs }) })
  const announcementIntervalMs = options.announcementIntervalMs ?? DEFAULT_ANNOUNCEMENT_INTERVAL_MS
  const databases = createDatabaseRegistry({ blackboard, clock, announcementIntervalMs })
  const isDatabaseRunning = createDatabaseEvidence({ blackboard, clock, announcementIntervalMs })
  const weights = createDatabaseWeights({ blackboard, clock })
  const holderAssignment = createHolderAssignment({ blackboard, clock })
  const directoryBuilder = createDirectoryBuilder({ blackboard, ...(options.publishMembers === true ? { controlMembers: log.memberAddresses } : {}) })
  const failover = (options.createFailoverController ?? createFailoverController)({ ...options.failover, blackboard, clock })
  const lostInstances = createLostInstances()
  const connections = createEntryConnections({ clock, send })
  const runEffects = createFailoverEffects({ log, executeOrder: typeof orders === 'function' ? orders : executeOnDatabases(orders), logEvent, handleOutcome: handleFailoverOutcome })
  const leadership = createLeadershipTracker<PendingHeartbeat>({ blackboard, clock, log, onBegin: handleLeadershipBegin, onEstablished: handleLeadershipEstablished, onEnd: handleLeadershipEnd, onConfirmed: answerConfirmed, onRefused: referUnconfirmed })
  const announcements = createDatabaseAnnouncements({
    clock,
    log,
    logEvent,
    announcementIntervalMs,
    isRunning: isDatabaseRunning,
    hasEnded: databases.hasEnded,
    isEstablished: isLeadershipEstablished,
    apply: (announcement, superseded) => { handleAnnouncement(announcement, 0, superseded) }
  })
  const recordedInstances = createRecordedInstances({
    clock,
    log,
    isEnabled: options.recordInstances === true,
    longestLeaseMs: computeLongestLeaderLeaseMs(options.unconfirmedServiceMs ?? SHARE_LEASE_MS),
    isRegistered: (instance) => readers.instances.read().has(instance),
    onRecorded: (instance) => {
      const connection = connections.findByInstance(instance)
      if (connection !== undefined) send(connection.name, { version: 1, kind: 'heartbeat-request' })
    }
  })
  const rateHolders = createRecordedRateHolders({ log, isEnabled: options.recordRateHolders === true, mayHold: allocator.mayHold })
  let areResourcesStale = true
  const directoryPace = createDirectoryPace({ clock, leadershipSince: () => readers.leadership.read()?.since ?? clock.now(), countInstances: () => readers.instances.read().size })
  /** Term for which the coordinator has logged the start of granting. */
  let loggedGrantingTerm: number | null = null
  let publishedSwitches: ReadonlySet<GroupId> = readers.switching.read()

  function handleLeadershipBegin (term: number): void {
    for (const component of [instances, databases, weights, holderAssignment, directoryBuilder, failover, lostInstances, connections, rateHolders]) component.reset()
    areResourcesStale = true
    allocator.becomeLeader(term)
  }

  function isLeadershipEstablished (): boolean {
    leadership.refresh()
    return leadership.term() !== null && leadership.isEstablished()
  }

  function handleLeadershipEstablished (): void {
    refreshReplicatedState()
    announcements.applyRecorded()
    if (options.recordInstances === true) allocator.expectHolders(new Set(stateEntry.read().instances), rateHolders.holdersOf)
    updateDirectory()
  }

  function handleLeadershipEnd (): void {
    directoryBuilder.reset()
    for (const { name } of connections.all()) referToLeader(name)
  }

  function referToLeader (connection: ConnectionName): void {
    send(connection, { version: 1, kind: 'not-leader', leaderAddress: log.leaderAddress() })
  }

  function referUnconfirmed (refused: PendingHeartbeat[]): void {
    for (const { connection } of refused) referToLeader(connection.name)
  }

  function readPublishedState (): PublishedState {
    const { manifestVersion, manifest } = stateEntry.read()
    return { manifestVersion, manifest, directory: readers.directory.read() }
  }

  function answerConfirmed (waiting: PendingHeartbeat[]): void {
    const state = readPublishedState()
    for (const pending of waiting) answer(pending, state)
  }

  function answer ({ connection, heartbeat }: PendingHeartbeat, state: PublishedState, provenMsAgo = 0): void {
    // While the heartbeat waited for a leadership confirmation, its instance may have lost or replaced its connection to this leader. Then no answer is sent.
    if (connections.findByInstance(heartbeat.instance) !== connection) return
    connections.pushMissing(connection, state)
    send(connection.name, {
      version: 1,
      kind: 'heartbeat-answer',
      sequence: heartbeat.sequence,
      leaderTerm: leadership.term() ?? 0,
      ...(provenMsAgo > 0 ? { provenMsAgo } : {}),
      manifestVersion: state.manifestVersion,
      // Before the first directory, the answer names a version that no instance can hold. So no instance gets a freshness lease.
      directoryVersion: state.directory?.version ?? { leaderTerm: leadership.term() ?? 0, counter: 0 },
      shares: recordedInstances.ensureRecorded(heartbeat.instance) ? allocator.renew(heartbeat.instance, heartbeat.incarnation) : []
    })
  }

  function handleHeartbeat (connection: ConnectionName, heartbeat: Heartbeat): void {
    const outcome = instances.handle(heartbeat)
    if (outcome === 'ignored') return
    connections.heartbeat(connection, heartbeat)
    if (outcome === 'joined') logEvent('instanceJoined', { instance: heartbeat.instance, incarnation: heartbeat.incarnation })
    if (outcome !== 'unchanged') markInstancesChanged()
    lostInstances.remove(heartbeat.instance)
    for (const observation of heartbeat.observations) databases.observe(observation)
    const { instance, incarnation, peerAddress, draining, leaderTerm, idleMs = 0, held, demand } = heartbeat
    allocator.report({ instance, incarnation, address: peerAddress, draining, leaderTerm, idleMs, held, demand })
    handleFailoverMessage({ kind: 'heartbeat-arrived' })
    const pending = { connection: connections.findOrCreate(connection), heartbeat }
    const provenMsAgo = log.provenMsAgo()
    if (provenMsAgo === null || provenMsAgo > maxConfirmationAgeMs || !leadership.isEstablished()) leadership.confirm(connection, pending)
    else answer(pending, readPublishedState(), provenMsAgo)
  }

  /** Frees the shares of an incarnation that stopped as planned. Neither a promotion nor a later leader has to wait for it. */
  function handleLeave ({ instance, incarnation }: LeaveMessage): void {
    if (!instances.leave(instance, incarnation)) return
    allocator.leave(instance, incarnation)
    recordedInstances.remove(instance)
    markInstancesChanged()
    logEvent('instanceLeft', { instance, incarnation })
  }

  function handleAnnouncement (announcement: Announcement, ageMs: number, superseded: readonly SupersededRecord[] = []): void {
    refreshReplicatedState()
    const { database, group, address } = announcement
    const outcome = databases.announce(announcement, ageMs, superseded)
    if (outcome === 'announced') logEvent('databaseAnnounced', { database, group, address })
    if (outcome === 'departing') logEvent('databaseDeparting', { database, group })
    if (outcome === 'role-changed') logEvent('databaseRoleChanged', { database, group, role: announcement.status.role })
    if (outcome === 'unchanged' || outcome === 'ignored') return
    updateDirectory()
    runEffects(failover.tick())
    publishIfSwitchesChanged()
  }

  function handleFailoverMessage (message: FailoverMessage): void {
    runEffects(failover.handle(message))
    publishIfSwitchesChanged()
  }

  function handleFailoverOutcome (message: FailoverMessage): void {
    refreshReplicatedState()
    leadership.refresh()
    if (message.kind === 'order-answered' && message.order.leaderTerm === leadership.term()) databases.answered(message.status)
    handleFailoverMessage(message)
  }

  /** Publishes the start or end of a switchover at once, as writes wait for it. */
  function publishIfSwitchesChanged (): void {
    if (readers.switching.read() !== publishedSwitches) publishState()
  }

  function updateDirectory (): void {
    if (!leadership.isEstablished()) return
    directoryPace.recordUpdate()
    weights.tick()
    for (const group of isPlacingHolders ? holderAssignment.tick() : []) logEvent('holdersChanged', { group, holders: (readers.holders.read().get(group) ?? []).join(' ') })
    publishState()
  }

  function publishState (): void {
    const state = readPublishedState()
    const isReady = state.directory !== null || isDirectoryReady(blackboard, clock.now())
    publishedSwitches = readers.switching.read()
    const directory = isReady && leadership.isEstablished() ? directoryBuilder.build() : null
    if (directory !== null || areResourcesStale) updateShareResources()
    connections.push(readPublishedState())
    if (directory !== null) handleFailoverMessage({ kind: 'directory-published', directory })
  }

  function markInstancesChanged (): void {
    holderAssignment.invalidate()
    directoryPace.markStale()
  }

  function updateShareResources (): void {
    areResourcesStale = false
    const listedInstances = readers.directory.read()?.instances ?? null
    allocator.setResources(buildShareResources({
      manifest: stateEntry.read().manifest,
      databases: readers.databases.read(),
      holders: readers.holders.read(),
      hasDatabaseShares: isPlacingHolders,
      // A new leader without a directory selects no holders yet and keeps the recorded ones.
      rateHolders: (workspace, rate) => rateHolders.admit(workspace, listedInstances === null ? 'unknown' : options.selectRateHolders?.(workspace, rate, listedInstances) ?? null),
      rateTolerance: options.rateTolerance
    }))
  }

  function refreshReplicatedState (): void {
    const last = stateEntry.read()
    const state = log.state()
    if (state === last) return
    stateEntry.write(state)
    if (state.groups !== last.groups || state.manifest !== last.manifest || state.withdrawnDomains !== last.withdrawnDomains) directoryPace.markUrgent()
    if (state.withdrawnDomains !== last.withdrawnDomains || state.databases !== last.databases) directoryPace.markStale()
    if (leadership.term() !== null && (state.manifest !== last.manifest || state.withdrawnDomains !== last.withdrawnDomains)) logFailureDomainChanges(last, state, logEvent)
    areResourcesStale ||= state.rateHolders !== last.rateHolders
    if (state.manifestVersion === last.manifestVersion) return
    areResourcesStale = true
    holderAssignment.invalidate()
  }

  function handleLogChange (): void {
    refreshReplicatedState()
    leadership.refresh()
    if (leadership.term() === null) return
    // The log records each instance and database of a fleet that starts. Such changes keep the pause between two directories.
    directoryPace.markStale()
    if (directoryPace.isDue()) updateDirectory()
    runEffects(failover.tick())
    publishIfSwitchesChanged()
  }

  function handle (connection: ConnectionName, message: EntryToControl): void {
    connections.findOrCreate(connection)
    leadership.refresh()
    if (leadership.term() === null) return referToLeader(connection)
    if (message.kind === 'heartbeat') handleHeartbeat(connection, message)
    if (message.kind === 'announcement') handleAnnouncement(message.announcement, message.ageMs)
    if (message.kind === 'leave') handleLeave(message)
  }

  function tick (): void {
    leadership.refresh()
    if (leadership.term() === null) return
    for (const instance of instances.tick()) {
      lostInstances.add(instance)
      markInstancesChanged()
      logEvent('instanceLost', { instance: instance.instance })
    }
    if (databases.tick().length > 0) directoryPace.markStale()
    for (const database of databases.removeUnconfirmed()) {
      directoryPace.markStale()
      announcements.recordUnconfirmed(database)
    }
    if (directoryPace.isDue()) updateDirectory()
    runEffects(failover.tick())
    publishIfSwitchesChanged()
    if (areResourcesStale && leadership.isEstablished()) updateShareResources()
    if (leadership.isEstablished()) rateHolders.tick()
    allocator.tick()
    logGrantingStart()
    requestHeartbeats()
    leadership.tick()
    recordedInstances.tick(readers.leadership.read()?.since ?? clock.now())
  }

  function logGrantingStart (): void {
    const term = leadership.term()
    if (loggedGrantingTerm === term || !leadership.isEstablished() || !allocator.areFormerSharesKnown()) return
    loggedGrantingTerm = term
    logEvent('grantingBegan', { term, afterMs: Math.round(clock.now() - (readers.leadership.read()?.since ?? clock.now())), recorded: stateEntry.read().instances.length, reported: readers.instances.read().size })
  }

  /** Requests a heartbeat from each instance whose shares changed, as the leader grants shares only in heartbeat answers. */
  function requestHeartbeats (): void {
    for (const instance of allocator.drainHeartbeatRequests()) {
      const connection = connections.findByInstance(instance)
      if (connection !== undefined) send(connection.name, { version: 1, kind: 'heartbeat-request' })
    }
  }

  function summary (): ControlSummary {
    const { directory, databases, weights, changes } = readers
    const now = clock.now()
    const { manifestVersion } = stateEntry.read()
    return buildControlSummary({ now, leaderTerm: leadership.term(), manifestVersion, directory: directory.read(), instances: readers.instances.read().values(), lostInstances: lostInstances.all(), databases: databases.read(), weights: weights.read(), changes: changes.read() })
  }

  log.onChange(handleLogChange)
  handleLogChange()
  return { attach: (name) => { connections.findOrCreate(name) }, detach: connections.detach, handle, announcements, tick, summary }
}
