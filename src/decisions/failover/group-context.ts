import type { PrimaryChangeReport } from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { Address, DatabaseId, GroupId, InstanceId } from '../../types/ids.js'
import type { DatabaseAction, FailoverEffect, GroupCommand } from './failover-message.js'
import type { ResolvedFailoverOptions } from './failover-options.js'
import type { GroupStep } from './group-step.js'
import type { GroupMember, GroupView } from './group-view.js'
import { createReleaseTracker } from './release-tracker.js'
import type { ReleaseTracker } from './release-tracker.js'

/** A follow order that was given to a database. */
export interface FollowRecord {
  term: number
  primaryAddress: Address
  sentAt: Milliseconds
}

/** Everything that the failover remembers of one group during one leadership. */
export interface GroupRecord {
  group: GroupId
  step: GroupStep
  releases: ReleaseTracker
  /** Term and time since which this leader sees the group in service. */
  serving: { term: number, since: Milliseconds } | null
  holderSince: Map<InstanceId, Milliseconds>
  follows: Map<DatabaseId, FollowRecord>
  proposal: GroupCommand | null
  electionsFrom: Milliseconds
  switchoversFrom: Milliseconds
  failedSwitchovers: number
  /** When a majority was first known without a primary, at the first start. */
  majorityKnownAt: Milliseconds | null
  report: PrimaryChangeReport | null
}

/** One group at one moment, with the effects that are collected for it. */
export interface GroupContext {
  view: GroupView
  record: GroupRecord
  options: ResolvedFailoverOptions
  effects: FailoverEffect[]
}

/** @returns the memory of a group at the start of a leadership; a group found in service was so before the leadership began */
export function createGroupRecord ({ group, replicated, leadership }: GroupView): GroupRecord {
  return {
    group,
    step: { kind: 'idle' },
    releases: createReleaseTracker(),
    serving: replicated.phase === 'serving' && replicated.primary !== null ? { term: replicated.term, since: leadership.since } : null,
    holderSince: new Map(),
    follows: new Map(),
    proposal: null,
    electionsFrom: 0 as Milliseconds,
    switchoversFrom: 0 as Milliseconds,
    failedSwitchovers: 0,
    majorityKnownAt: null,
    report: null
  }
}

/** Adds an order to the effects. */
export function order (context: GroupContext, member: GroupMember, action: DatabaseAction): void {
  const { view } = context
  context.effects.push({
    kind: 'order',
    order: { group: view.group, database: member.database, address: member.address, leaderTerm: view.leadership.term, sentAt: view.now, action }
  })
}

/** Proposes a command unless one of the group is still unanswered. */
export function propose (context: GroupContext, command: GroupCommand): void {
  if (context.record.proposal !== null) return
  context.record.proposal = command
  context.effects.push({ kind: 'propose', leaderTerm: context.view.leadership.term, command })
}
