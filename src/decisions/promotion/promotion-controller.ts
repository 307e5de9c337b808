import {
  databaseWeightsEntry, connectionHoldersEntry, endedDatabasesEntry, leadershipEntry, primaryChangesEntry, publishedDirectoryEntry, registeredDatabasesEntry,
  registeredInstancesEntry, replicatedStateEntry, switchingGroupsEntry
} from '../../blackboard/control-instance-entries.js'
import type { EndedDatabase } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { Directory, DirectoryGroup } from '../../types/directory.js'
import type { GroupId } from '../../types/ids.js'
import type { DatabaseRecord } from '../../types/replicated-state.js'
import type { FailoverController } from '../failover/failover-controller.js'
import type { FailoverEffect, FailoverMessage, GroupCommand, SentOrder } from '../failover/failover-message.js'
import type { GroupView } from '../failover/group-view.js'
import { createGroupViews } from '../failover/group-views.js'
import { advanceGroup, startCommittedElection, recordStatus } from './advance-group.js'
import type { PromotionContext } from './promotion-context.js'
import type { PromotionOptions } from './promotion-options.js'
import { resolvePromotionTimes } from './promotion-options.js'
import type { PromotionRecord } from './promotion-step.js'

/** Code, in the form of an SQLSTATE, with which the authority refuses a promotion permanently. */
export const PROMOTION_REFUSED = 'CR003'

/** Interval at which groups without an election or switchover in progress are checked. */
const IDLE_CHECK_INTERVAL_MS = 100

/**
 * Creates the controller of groups whose primaries an external authority promotes. It writes `switchingGroupsEntry` and claims
 * `primaryChangesEntry`, which stays empty.
 *
 * The term of the replicated log is the fencing token of a promote order to the authority. A term belongs to one leader, and the choice
 * of another database needs a new term, so a promote order that is executed late can't undo a newer choice. No instance uses a primary
 * between the start of a term and `set-primary`, whichever database the authority has promoted meanwhile.
 */
export function createPromotionController ({ blackboard, clock, times: settings }: PromotionOptions): FailoverController {
  const times = resolvePromotionTimes(settings)
  const switchingEntry = blackboard.claim(switchingGroupsEntry, 'promotion')
  const changesEntry = blackboard.claim(primaryChangesEntry, 'promotion')
  const leadership = blackboard.reader(leadershipEntry)
  const state = blackboard.reader(replicatedStateEntry)
  const publishedDirectory = blackboard.reader(publishedDirectoryEntry)
  const ended = blackboard.reader(endedDatabasesEntry)
  const views = createGroupViews({
    clock,
    leadership,
    instances: blackboard.reader(registeredInstancesEntry),
    databases: blackboard.reader(registeredDatabasesEntry),
    weights: blackboard.reader(databaseWeightsEntry),
    holders: blackboard.reader(connectionHoldersEntry),
    state
  })
  let records = new Map<GroupId, PromotionRecord>()
  const activeGroups = new Set<GroupId>()
  let lastFullTick = -Infinity

  function findOrCreateRecord (group: GroupId, view: GroupView): PromotionRecord {
    const known = records.get(group)
    if (known !== undefined) return known
    const { replicated } = view
    const isServing = replicated.phase === 'serving' && replicated.primary !== null
    const farPast = -Infinity as Milliseconds
    const record: PromotionRecord = {
      step: { kind: 'idle' },
      statuses: new Map(),
      historyTerm: 0,
      queryFailedAt: new Map(),
      unreachableAt: new Map(),
      notRunningAt: new Map(),
      serving: isServing ? { term: replicated.term, since: view.leadership.since } : null,
      isProposing: false,
      nextElectionAt: farPast,
      nextSwitchoverAt: farPast,
      membersKnownSince: null,
      primaryQueriedAt: farPast,
      fencedDatabases: new Map(),
      holdingChecks: new Map()
    }
    // An earlier leader may have lost its leadership before it lifted the fences of its last election.
    if (waitsForReplicas(group)) for (const { database } of view.members) if (database !== replicated.primary) record.fencedDatabases.set(database, farPast)
    records.set(group, record)
    return record
  }

  function createContext (group: GroupId, effects: FailoverEffect[]): PromotionContext | undefined {
    const view = views.viewOf(group)
    if (view === undefined || publishedDirectory.read() === null) return undefined
    return { view, record: findOrCreateRecord(group, view), times, waitsForReplicas: waitsForReplicas(group), endedDatabases: findEndedDatabases(group), findRecord, effects }
  }

  function findRecord (matches: (known: DatabaseRecord) => boolean): DatabaseRecord | undefined {
    return state.read().databases.find(matches)
  }

  /**
   * The log drops the record of a database when it records a successor at the same address. The ended database counts until the registry
   * knows that successor too, so that no election runs without either.
   * @returns databases whose end is not recorded, because their logs may be needed
   */
  function findEndedDatabases (group: GroupId): EndedDatabase[] {
    if (!waitsForReplicas(group)) return []
    return [...ended.read().values()].filter(({ announcement }) => {
      if (announcement.group !== group) return false
      const known = findRecord(({ database }) => database === announcement.database)
      return known?.startedAt !== announcement.run?.startedAt || known?.state !== 'gone'
    })
  }

  function waitsForReplicas (group: GroupId): boolean {
    return (state.read().manifest?.groups.find(({ id }) => id === group)?.acknowledgingReplicas ?? 0) > 0
  }

  function advance (groups: Iterable<GroupId>, effects: FailoverEffect[]): FailoverEffect[] {
    for (const group of groups) {
      const context = createContext(group, effects)
      if (context === undefined) continue
      advanceGroup(context)
      if (context.record.step.kind === 'idle') activeGroups.delete(group)
      else activeGroups.add(group)
      updateSwitchingEntry(group, context.record)
    }
    return effects
  }

  function updateSwitchingEntry (group: GroupId, { step }: PromotionRecord): void {
    const last = switchingEntry.read()
    // Until the log has the new term, the group must not return to `serving`: instances would use the primary of the released term.
    const isSwitching = step.kind === 'switching' || (step.kind === 'beginning' && last.has(group))
    if (isSwitching === last.has(group)) return
    const next = new Set(last)
    if (isSwitching) next.add(group)
    else next.delete(group)
    switchingEntry.write(next)
  }

  function tick (): FailoverEffect[] {
    if (clock.now() - lastFullTick < IDLE_CHECK_INTERVAL_MS) return advance([...activeGroups], [])
    lastFullTick = clock.now()
    return advance(views.groups(), [])
  }

  function applyOrderResult (order: SentOrder, apply: (context: PromotionContext) => void): FailoverEffect[] {
    const effects: FailoverEffect[] = []
    const context = order.leaderTerm === leadership.read()?.term ? createContext(order.group, effects) : undefined
    if (context === undefined) return effects
    apply(context)
    return advance([order.group], effects)
  }

  function handleProposalResult (leaderTerm: number, command: GroupCommand, isAccepted: boolean): FailoverEffect[] {
    const effects: FailoverEffect[] = []
    const context = leaderTerm === leadership.read()?.term ? createContext(command.group, effects) : undefined
    if (context === undefined) return effects
    const { record } = context
    record.isProposing = false
    const { step } = record
    if (command.kind === 'begin-election' && step.kind === 'beginning' && step.term === command.term) {
      // If the log did not accept the proposal, the term may belong to another leader.
      if (isAccepted) {
        startCommittedElection(context, step.term, step.plan)
        // The new term may be applied and published before the answer to the proposal arrives.
        const directory = publishedDirectory.read()
        for (const group of directory?.groups ?? []) if (directory !== null && group.group === command.group) recordStopDirectory(group, directory)
      } else record.step = { kind: 'idle' }
    }
    return advance([command.group], effects)
  }

  function handle (message: FailoverMessage): FailoverEffect[] {
    switch (message.kind) {
      case 'order-answered': return applyOrderResult(message.order, ({ record }) => {
        const { action, database, sentAt } = message.order
        if (action.kind === 'status' || action.kind === 'fence') recordStatus(record, database, { status: message.status, requestedAt: sentAt as Milliseconds })
        if (action.kind === 'unfence') record.fencedDatabases.delete(database)
        const { step } = record
        if (action.kind === 'promote' && step.kind === 'promoting' && step.term === action.term && step.target === database) step.accepted = true
      })
      case 'order-failed': return applyOrderResult(message.order, ({ record, effects }) => {
        const { action, database } = message.order
        if (action.kind === 'status') record.queryFailedAt.set(database, clock.now())
        if (action.kind === 'status' && message.failure.sqlState === null) record.unreachableAt.set(database, clock.now())
        if (action.kind === 'status' && message.failure.isNotRunning === true) record.notRunningAt.set(database, clock.now())
        const { step } = record
        const isRefused = message.failure.sqlState === PROMOTION_REFUSED
        if (action.kind === 'promote' && isRefused && step.kind === 'promoting' && step.term === action.term) step.refused = true
        effects.push({ kind: 'log', name: 'databaseOrderFailed', details: { database, order: action.kind, message: message.failure.message } })
      })
      case 'proposal-answered': {
        const { command, answer } = message
        return handleProposalResult(message.leaderTerm, command, answer.kind === 'group-changed' && answer.group.term === command.term)
      }
      case 'proposal-failed': return handleProposalResult(message.leaderTerm, message.command, false)
      case 'directory-published': return handlePublishedDirectory(message.directory)
      case 'heartbeat-arrived': return advance([...activeGroups], [])
    }
  }

  function handlePublishedDirectory (directory: Directory): FailoverEffect[] {
    for (const group of directory.groups) recordStopDirectory(group, directory)
    return advance([...activeGroups], [])
  }

  /** Records the first directory that told the instances to stop using the primary. */
  function recordStopDirectory (group: DirectoryGroup, { version }: Directory): void {
    const step = records.get(group.group)?.step
    if (step === undefined || (step.kind !== 'switching' && step.kind !== 'electing')) return
    if (step.stop === null && group.phase === step.kind && group.term === step.term) step.stop = { version, publishedAt: clock.now() }
  }

  function reset (): void {
    records = new Map()
    activeGroups.clear()
    lastFullTick = -Infinity
    switchingEntry.write(new Set())
    changesEntry.write(new Map())
  }

  return { handle, tick, reset }
}
