import {
  databaseWeightsEntry, holdersEntry, leadershipEntry, primaryChangesEntry, publishedDirectoryEntry, registeredDatabasesEntry,
  registeredInstancesEntry, replicatedStateEntry, switchingGroupsEntry
} from '../../blackboard/control-instance-entries.js'
import type { Controller } from '../../types/controller.js'
import type { Directory, DirectoryGroup } from '../../types/directory.js'
import type { GroupId } from '../../types/ids.js'
import { advanceGroup } from './advance-group.js'
import { electionOrderAnswered, electionOrderFailed } from './election.js'
import type { FailoverEffect, FailoverMessage, SentOrder } from './failover-message.js'
import { resolveFailoverOptions } from './failover-options.js'
import type { FailoverOptions } from './failover-options.js'
import { createGroupRecord } from './group-context.js'
import type { GroupContext, GroupRecord } from './group-context.js'
import { createGroupViews } from './group-views.js'
import { proposalAnswered } from './proposal-answered.js'
import { switchoverOrderAnswered } from './switchover.js'

export interface Failover extends Controller<FailoverMessage, FailoverEffect> {
  /** Forgets everything; called at each change of leadership. */
  reset: () => void
}

/**
 * Creates the failover of all groups; it writes `switchingGroupsEntry` and `primaryChangesEntry`.
 *
 * All of its memory is soft. What must survive a crash is the term in the log: a term belongs to the leader whose `begin-election` was
 * accepted, and that leader asks only one database to become primary in it. A later leader that finds an election begun starts a
 * new term. Orders are repeated until they are answered; a database takes each of them twice without harm.
 */
export function createFailover (given: FailoverOptions): Failover {
  const options = resolveFailoverOptions(given)
  const { blackboard, clock } = options
  const switchingEntry = blackboard.claim(switchingGroupsEntry, 'failover')
  const changesEntry = blackboard.claim(primaryChangesEntry, 'failover')
  const leadership = blackboard.reader(leadershipEntry)
  const published = blackboard.reader(publishedDirectoryEntry)
  const instances = blackboard.reader(registeredInstancesEntry)
  const views = createGroupViews({
    clock,
    leadership,
    instances,
    databases: blackboard.reader(registeredDatabasesEntry),
    weights: blackboard.reader(databaseWeightsEntry),
    holders: blackboard.reader(holdersEntry),
    state: blackboard.reader(replicatedStateEntry)
  })
  let records = new Map<GroupId, GroupRecord>()
  /** Groups with a step under way. */
  const active = new Set<GroupId>()
  let lastFullTick = -Infinity

  function contextOf (group: GroupId, effects: FailoverEffect[]): GroupContext | undefined {
    const view = views.of(group)
    if (view === undefined || published.read() === null) return undefined
    const record = records.get(group) ?? createGroupRecord(view)
    records.set(group, record)
    return { view, record, options, effects }
  }

  function advance (groups: Iterable<GroupId>, effects: FailoverEffect[]): FailoverEffect[] {
    for (const group of groups) {
      const context = contextOf(group, effects)
      if (context === undefined) continue
      advanceGroup(context)
      if (context.record.step.kind === 'idle') active.delete(group)
      else active.add(group)
      noteSwitch(context.record)
      noteReport(context.record)
    }
    return effects
  }

  function noteSwitch ({ group, step }: GroupRecord): void {
    const last = switchingEntry.read()
    // Until the log has the new term, the group must not go back to `serving`, or holders would take writes under the released one.
    const isSwitching = step.kind === 'switching' || (step.kind === 'beginning' && last.has(group))
    if (isSwitching === last.has(group)) return
    const next = new Set(last)
    if (isSwitching) next.add(group)
    else next.delete(group)
    switchingEntry.write(next)
  }

  function noteReport ({ group, report }: GroupRecord): void {
    if (report !== null && report !== changesEntry.read().get(group)) changesEntry.write(new Map([...changesEntry.read(), [group, report]]))
  }

  /** Advances all groups; those at rest less often, as nothing waits for them. */
  function tick (): FailoverEffect[] {
    if (clock.now() - lastFullTick < options.idleCheckMs) return advance([...active], [])
    lastFullTick = clock.now()
    return advance(views.groups(), [])
  }

  function orderMessage (order: SentOrder, apply: (context: GroupContext) => void): FailoverEffect[] {
    const effects: FailoverEffect[] = []
    const context = order.leaderTerm === leadership.read()?.term ? contextOf(order.group, effects) : undefined
    if (context === undefined) return effects
    apply(context)
    return advance([order.group], effects)
  }

  function directoryPublished (directory: Directory): FailoverEffect[] {
    for (const group of directory.groups) {
      const context = contextOf(group.group, [])
      if (context !== undefined) groupPublished(context, group, directory)
    }
    return advance([...active], [])
  }

  function handle (message: FailoverMessage): FailoverEffect[] {
    switch (message.kind) {
      case 'order-answered': return orderMessage(message.order, (context) => {
        electionOrderAnswered(context, message.order, message.status)
        switchoverOrderAnswered(context, message.order, message.status)
      })
      case 'order-failed': return orderMessage(message.order, (context) => {
        electionOrderFailed(context, message.order, message.failure)
        const { database, action } = message.order
        context.effects.push({ kind: 'log', name: 'databaseOrderFailed', details: { database, order: action.kind, message: message.failure.message } })
      })
      case 'proposal-answered':
      case 'proposal-failed': {
        const effects: FailoverEffect[] = []
        const context = message.leaderTerm === leadership.read()?.term ? contextOf(message.command.group, effects) : undefined
        if (context === undefined) return effects
        proposalAnswered(context, message.command, message.kind === 'proposal-answered' ? message.answer : null)
        return advance([message.command.group], effects)
      }
      case 'directory-published': return directoryPublished(message.directory)
      case 'heartbeat-arrived': return advance([...active], [])
    }
  }

  function reset (): void {
    records = new Map()
    active.clear()
    lastFullTick = -Infinity
    switchingEntry.write(new Set())
    changesEntry.write(new Map())
  }

  return { handle, tick, reset }
}

/** Notes what the attached instances were told of a group. */
function groupPublished ({ view, record }: GroupContext, group: DirectoryGroup, directory: Directory): void {
  record.releases.published(group, directory, view.instances)
  const stop = { version: directory.version, publishedAt: view.now }
  const { step } = record
  if (step.kind === 'switching' && group.phase === 'switching' && group.term === step.term) step.stop ??= stop
  // The log may apply and publish the new term before the proposal is answered.
  const isElection = step.kind === 'beginning' || step.kind === 'electing' || step.kind === 'promoting'
  if (isElection && group.phase === 'electing' && group.term === step.term) step.plan.stop ??= stop
  for (const holder of record.holderSince.keys()) {
    if (!group.holders.includes(holder)) record.holderSince.delete(holder)
  }
  for (const holder of group.holders) {
    if (!record.holderSince.has(holder)) record.holderSince.set(holder, view.now)
  }
}
