import type { PrimaryChangeReport } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { Address, DatabaseId, GroupId, InstanceId } from '../../types/ids.js'
import type { DatabaseAction, FailoverEffect, GroupCommand } from './failover-message.js'
import type { ResolvedFailoverOptions } from './failover-options.js'
import type { GroupStep } from './group-step.js'
import type { GroupMember, GroupView } from './group-view.js'
import { createReleaseTracker } from './release-tracker.js'
import type { ReleaseTracker } from './release-tracker.js'

/** The last follow order that was sent to a database. */
export interface FollowOrder {
  term: number
  primaryAddress: Address
  sentAt: Milliseconds
}

/** State of one group that the failover controller keeps during one leadership. */
export interface GroupRecord {
  group: GroupId
  step: GroupStep
  releaseTracker: ReleaseTracker
  /** The term in service, and since when this leader has seen the group serve under it. */
  serving: { term: number, since: Milliseconds } | null
  holderSince: Map<InstanceId, Milliseconds>
  followOrders: Map<DatabaseId, FollowOrder>
  pendingProposal: GroupCommand | null
  nextElectionAt: Milliseconds
  nextSwitchoverAt: Milliseconds
  failedSwitchovers: number
  /** When a majority of the databases was first known at the first start of the group. */
  majorityKnownAt: Milliseconds | null
  report: PrimaryChangeReport | null
}

/** What one call needs to advance a group: its view and state, and the list to which it adds effects. */
export interface GroupContext {
  view: GroupView
  record: GroupRecord
  options: ResolvedFailoverOptions
  effects: FailoverEffect[]
}

/** @returns the state of a group at the start of a leadership; a group that is in service counts as serving since the leadership began */
export function createGroupRecord ({ group, replicated, leadership }: GroupView): GroupRecord {
  return {
    group,
    step: { kind: 'idle' },
    releaseTracker: createReleaseTracker(),
    serving: replicated.phase === 'serving' && replicated.primary !== null ? { term: replicated.term, since: leadership.since } : null,
    holderSince: new Map(),
    followOrders: new Map(),
    pendingProposal: null,
    nextElectionAt: 0 as Milliseconds,
    nextSwitchoverAt: 0 as Milliseconds,
    failedSwitchovers: 0,
    majorityKnownAt: null,
    report: null
  }
}

/** Appends an order for one database to the effects. */
export function addOrder (context: GroupContext, member: GroupMember, action: DatabaseAction): void {
  const { view } = context
  context.effects.push({
    kind: 'order',
    order: { group: view.group, database: member.database, address: member.address, leaderTerm: view.leadership.term, sentAt: view.now, action }
  })
}

/** Proposes a command, unless a proposal of the group is pending. */
export function propose (context: GroupContext, command: GroupCommand): void {
  if (context.record.pendingProposal !== null) return
  context.record.pendingProposal = command
  context.effects.push({ kind: 'propose', leaderTerm: context.view.leadership.term, command })
}
