import {
  databaseWeightsEntry, connectionHoldersEntry, leadershipEntry, primaryChangesEntry, publishedDirectoryEntry, registeredDatabasesEntry,
  registeredInstancesEntry, replicatedStateEntry, switchingGroupsEntry
} from '../../blackboard/control-instance-entries.js'
import type { Controller } from '../../types/controller.js'
import type { Directory, DirectoryGroup } from '../../types/directory.js'
import type { GroupId } from '../../types/ids.js'
import { advanceGroup } from './advance-group.js'
import { handleElectionOrderAnswer, handleElectionOrderFailure } from './election.js'
import type { FailoverEffect, FailoverMessage, SentOrder } from './failover-message.js'
import { resolveFailoverOptions } from './failover-options.js'
import type { FailoverOptions } from './failover-options.js'
import { createGroupRecord } from './group-context.js'
import type { GroupContext, GroupRecord } from './group-context.js'
import { createGroupViews } from './group-views.js'
import { handleProposalAnswer } from './proposal-answer.js'
import { handleSwitchoverOrderAnswer } from './switchover.js'

export interface FailoverController extends Controller<FailoverMessage, FailoverEffect> {
  /** Clears the state of all groups. The coordinator calls it at each change of leadership. */
  reset: () => void
}

/**
 * Creates the controller that elects and switches the primaries of all groups. It writes `switchingGroupsEntry` and `primaryChangesEntry`.
 *
 * Its own state may be lost at any time; only the term in the replicated log must survive a crash. A term belongs to the leader whose
 * `begin-election` the log accepted, and that leader orders only one database to become primary in it. A later leader that finds an
 * unfinished election starts a new term. Orders are sent again until the database answers; each of them is idempotent.
 */
export function createFailoverController (givenOptions: FailoverOptions): FailoverController {
  const options = resolveFailoverOptions(givenOptions)
  const { blackboard, clock } = options
  const switchingEntry = blackboard.claim(switchingGroupsEntry, 'failover')
  const changesEntry = blackboard.claim(primaryChangesEntry, 'failover')
  const leadership = blackboard.reader(leadershipEntry)
  const publishedDirectory = blackboard.reader(publishedDirectoryEntry)
  const instances = blackboard.reader(registeredInstancesEntry)
  const views = createGroupViews({
    clock,
    leadership,
    instances,
    databases: blackboard.reader(registeredDatabasesEntry),
    weights: blackboard.reader(databaseWeightsEntry),
    holders: blackboard.reader(connectionHoldersEntry),
    state: blackboard.reader(replicatedStateEntry)
  })
  let records = new Map<GroupId, GroupRecord>()
  /** Groups whose step is not `idle`. */
  const activeGroups = new Set<GroupId>()
  let lastFullTick = -Infinity

  function createContext (group: GroupId, effects: FailoverEffect[]): GroupContext | undefined {
    const view = views.viewOf(group)
    if (view === undefined || publishedDirectory.read() === null) return undefined
    const record = records.get(group) ?? createGroupRecord(view)
    records.set(group, record)
    return { view, record, options, effects }
  }

  function advance (groups: Iterable<GroupId>, effects: FailoverEffect[]): FailoverEffect[] {
    for (const group of groups) {
      const context = createContext(group, effects)
      if (context === undefined) continue
      advanceGroup(context)
      if (context.record.step.kind === 'idle') activeGroups.delete(group)
      else activeGroups.add(group)
      updateSwitchingEntry(context.record)
      updateChangesEntry(context.record)
    }
    return effects
  }

  function updateSwitchingEntry ({ group, step }: GroupRecord): void {
    const last = switchingEntry.read()
    // Until the log has the new term, the group must not return to `serving`: connection holders would accept writes under the released term.
    const isSwitching = step.kind === 'switching' || (step.kind === 'beginning' && last.has(group))
    if (isSwitching === last.has(group)) return
    const next = new Set(last)
    if (isSwitching) next.add(group)
    else next.delete(group)
    switchingEntry.write(next)
  }

  function updateChangesEntry ({ group, report }: GroupRecord): void {
    if (report !== null && report !== changesEntry.read().get(group)) changesEntry.write(new Map([...changesEntry.read(), [group, report]]))
  }

  /** Advances the active groups at each call, and the idle groups only once per `idleCheckIntervalMs`. */
  function tick (): FailoverEffect[] {
    if (clock.now() - lastFullTick < options.idleCheckIntervalMs) return advance([...activeGroups], [])
    lastFullTick = clock.now()
    return advance(views.groups(), [])
  }

  function applyOrderResult (order: SentOrder, apply: (context: GroupContext) => void): FailoverEffect[] {
    const effects: FailoverEffect[] = []
    const context = order.leaderTerm === leadership.read()?.term ? createContext(order.group, effects) : undefined
    if (context === undefined) return effects
    apply(context)
    return advance([order.group], effects)
  }

  function handlePublishedDirectory (directory: Directory): FailoverEffect[] {
    for (const group of directory.groups) {
      const context = createContext(group.group, [])
      if (context !== undefined) recordPublishedGroup(context, group, directory)
    }
    return advance([...activeGroups], [])
  }

  function handle (message: FailoverMessage): FailoverEffect[] {
    switch (message.kind) {
      case 'order-answered': return applyOrderResult(message.order, (context) => {
        handleElectionOrderAnswer(context, message.order, message.status)
        handleSwitchoverOrderAnswer(context, message.order, message.status)
      })
      case 'order-failed': return applyOrderResult(message.order, (context) => {
        handleElectionOrderFailure(context, message.order, message.failure)
        const { database, action } = message.order
        context.effects.push({ kind: 'log', name: 'databaseOrderFailed', details: { database, order: action.kind, message: message.failure.message } })
      })
      case 'proposal-answered':
      case 'proposal-failed': {
        const effects: FailoverEffect[] = []
        const context = message.leaderTerm === leadership.read()?.term ? createContext(message.command.group, effects) : undefined
        if (context === undefined) return effects
        handleProposalAnswer(context, message.command, message.kind === 'proposal-answered' ? message.answer : null)
        return advance([message.command.group], effects)
      }
      case 'directory-published': return handlePublishedDirectory(message.directory)
      case 'heartbeat-arrived': return advance([...activeGroups], [])
    }
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

/** Records what a published directory told the attached instances about a group. */
function recordPublishedGroup ({ view, record }: GroupContext, group: DirectoryGroup, directory: Directory): void {
  record.releaseTracker.recordDirectory(group, directory, view.instances)
  const stop = { version: directory.version, publishedAt: view.now }
  const { step } = record
  if (step.kind === 'switching' && group.phase === 'switching' && group.term === step.term) step.stop ??= stop
  // The new term may be applied and published before the answer to the proposal arrives.
  const isElection = step.kind === 'beginning' || step.kind === 'electing' || step.kind === 'promoting'
  if (isElection && group.phase === 'electing' && group.term === step.term) step.plan.stop ??= stop
  for (const holder of record.holderSince.keys()) {
    if (!group.holders.includes(holder)) record.holderSince.delete(holder)
  }
  for (const holder of group.holders) {
    if (!record.holderSince.has(holder)) record.holderSince.set(holder, view.now)
  }
}
