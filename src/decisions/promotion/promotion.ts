import {
  databaseWeightsEntry, holdersEntry, leadershipEntry, primaryChangesEntry, publishedDirectoryEntry, registeredDatabasesEntry,
  registeredInstancesEntry, replicatedStateEntry, switchingGroupsEntry
} from '../../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../../types/clock.js'
import type { Directory, DirectoryGroup } from '../../types/directory.js'
import type { GroupId } from '../../types/ids.js'
import type { Failover } from '../failover/failover.js'
import type { FailoverEffect, FailoverMessage, GroupCommand, SentOrder } from '../failover/failover-message.js'
import type { GroupView } from '../failover/group-view.js'
import { createGroupViews } from '../failover/group-views.js'
import { advanceGroup, electionBegan, noteStatus } from './advance-group.js'
import type { PromotionContext } from './promotion-context.js'
import type { PromotionOptions } from './promotion-options.js'
import { resolvePromotionTimes } from './promotion-options.js'
import type { PromotionRecord } from './promotion-step.js'

/** SQLSTATE-like code with which the authority refuses a promotion for good. */
export const PROMOTION_REFUSED = 'CR003'

/** Interval in which groups in service are looked at, in ms. */
const IDLE_CHECK_MS = 100

/**
 * Creates the controller of groups whose primaries are named by an external authority. It writes `switchingGroupsEntry` and
 * `primaryChangesEntry`.
 *
 * The term of the control log is the fencing token of an order to the authority. It belongs to one leader, and each choice of another
 * database takes a new one, so an order that is carried out late can't undo a newer choice. No instance uses a primary between
 * the begin of a term and `set-primary`, whichever database the authority has promoted meanwhile.
 */
export function createPromotion ({ blackboard, clock, times: settings }: PromotionOptions): Failover {
  const times = resolvePromotionTimes(settings)
  const switchingEntry = blackboard.claim(switchingGroupsEntry, 'promotion')
  const changesEntry = blackboard.claim(primaryChangesEntry, 'promotion')
  const leadership = blackboard.reader(leadershipEntry)
  const state = blackboard.reader(replicatedStateEntry)
  const published = blackboard.reader(publishedDirectoryEntry)
  const views = createGroupViews({
    clock,
    leadership,
    instances: blackboard.reader(registeredInstancesEntry),
    databases: blackboard.reader(registeredDatabasesEntry),
    weights: blackboard.reader(databaseWeightsEntry),
    holders: blackboard.reader(holdersEntry),
    state
  })
  let records = new Map<GroupId, PromotionRecord>()
  const active = new Set<GroupId>()
  let lastFullTick = -Infinity

  function recordOf (group: GroupId, view: GroupView): PromotionRecord {
    const known = records.get(group)
    if (known !== undefined) return known
    const { replicated } = view
    const isServing = replicated.phase === 'serving' && replicated.primary !== null
    const never = -Infinity as Milliseconds
    const record: PromotionRecord = {
      step: { kind: 'idle' },
      statuses: new Map(),
      failedAt: new Map(),
      serving: isServing ? { term: replicated.term, since: view.leadership.since } : null,
      isProposing: false,
      electionsFrom: never,
      switchoversFrom: never,
      knownSince: null,
      probedAt: never,
      fenced: new Map()
    }
    // An earlier leader may have ended before it lifted the fences of its last election.
    if (waitsForReplicas(group)) for (const { database } of view.members) if (database !== replicated.primary) record.fenced.set(database, never)
    records.set(group, record)
    return record
  }

  function contextOf (group: GroupId, effects: FailoverEffect[]): PromotionContext | undefined {
    const view = views.of(group)
    if (view === undefined || published.read() === null) return undefined
    return { view, record: recordOf(group, view), times, waitsForReplicas: waitsForReplicas(group), effects }
  }

  function waitsForReplicas (group: GroupId): boolean {
    return (state.read().manifest?.groups.find(({ id }) => id === group)?.acknowledgingReplicas ?? 0) > 0
  }

  function advance (groups: Iterable<GroupId>, effects: FailoverEffect[]): FailoverEffect[] {
    for (const group of groups) {
      const context = contextOf(group, effects)
      if (context === undefined) continue
      advanceGroup(context)
      if (context.record.step.kind === 'idle') active.delete(group)
      else active.add(group)
      noteSwitch(group, context.record)
    }
    return effects
  }

  function noteSwitch (group: GroupId, { step }: PromotionRecord): void {
    const last = switchingEntry.read()
    // Until the log has the new term, the group must not go back to `serving`, or instances would use the released primary.
    const isSwitching = step.kind === 'switching' || (step.kind === 'beginning' && last.has(group))
    if (isSwitching === last.has(group)) return
    const next = new Set(last)
    if (isSwitching) next.add(group)
    else next.delete(group)
    switchingEntry.write(next)
  }

  function tick (): FailoverEffect[] {
    if (clock.now() - lastFullTick < IDLE_CHECK_MS) return advance([...active], [])
    lastFullTick = clock.now()
    return advance(views.groups(), [])
  }

  function orderEnded (order: SentOrder, apply: (context: PromotionContext) => void): FailoverEffect[] {
    const effects: FailoverEffect[] = []
    const context = order.leaderTerm === leadership.read()?.term ? contextOf(order.group, effects) : undefined
    if (context === undefined) return effects
    apply(context)
    return advance([order.group], effects)
  }

  function proposalEnded (leaderTerm: number, command: GroupCommand, isOwn: boolean): FailoverEffect[] {
    const effects: FailoverEffect[] = []
    const context = leaderTerm === leadership.read()?.term ? contextOf(command.group, effects) : undefined
    if (context === undefined) return effects
    const { record } = context
    record.isProposing = false
    const { step } = record
    if (command.kind === 'begin-election' && step.kind === 'beginning' && step.term === command.term) {
      // Without an accepted proposal the term may belong to another leader.
      if (isOwn) {
        electionBegan(context, step.term, step.plan)
        // The log may apply and publish the new term before the proposal is answered.
        const directory = published.read()
        for (const group of directory?.groups ?? []) if (directory !== null && group.group === command.group) noteStop(group, directory)
      } else record.step = { kind: 'idle' }
    }
    return advance([command.group], effects)
  }

  function handle (message: FailoverMessage): FailoverEffect[] {
    switch (message.kind) {
      case 'order-answered': return orderEnded(message.order, ({ record }) => {
        const { action, database, sentAt } = message.order
        if (action.kind === 'status' || action.kind === 'fence') noteStatus(record, database, { status: message.status, askedAt: sentAt as Milliseconds })
        if (action.kind === 'unfence') record.fenced.delete(database)
        const { step } = record
        if (action.kind === 'promote' && step.kind === 'promoting' && step.term === action.term && step.target === database) step.accepted = true
      })
      case 'order-failed': return orderEnded(message.order, ({ record, effects }) => {
        const { action, database } = message.order
        if (action.kind === 'status') record.failedAt.set(database, clock.now())
        const { step } = record
        const isRefused = message.failure.sqlState === PROMOTION_REFUSED
        if (action.kind === 'promote' && isRefused && step.kind === 'promoting' && step.term === action.term) step.refused = true
        effects.push({ kind: 'log', name: 'databaseOrderFailed', details: { database, order: action.kind, message: message.failure.message } })
      })
      case 'proposal-answered': {
        const { command, answer } = message
        return proposalEnded(message.leaderTerm, command, answer.kind === 'group-changed' && answer.group.term === command.term)
      }
      case 'proposal-failed': return proposalEnded(message.leaderTerm, message.command, false)
      case 'directory-published': return directoryPublished(message.directory)
      case 'heartbeat-arrived': return advance([...active], [])
    }
  }

  function directoryPublished (directory: Directory): FailoverEffect[] {
    for (const group of directory.groups) noteStop(group, directory)
    return advance([...active], [])
  }

  /** Notes the first directory that told the instances to stop. */
  function noteStop (group: DirectoryGroup, { version }: Directory): void {
    const step = records.get(group.group)?.step
    if (step === undefined || (step.kind !== 'switching' && step.kind !== 'electing')) return
    if (step.stop === null && group.phase === step.kind && group.term === step.term) step.stop = { version, publishedAt: clock.now() }
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
