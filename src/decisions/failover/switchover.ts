import { addTime } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import { compareLogPositions, isAtOrPast } from '../../types/log-position.js'
import { beginElection } from './election.js'
import type { SentOrder } from './failover-message.js'
import { addOrder } from './group-context.js'
import type { GroupContext } from './group-context.js'
import type { SwitchingStep } from './group-step.js'
import { findMember } from './group-view.js'
import type { GroupMember, GroupView } from './group-view.js'

/** Upper limit of the retry delay of an abandoned switchover, as a multiple of `switchoverRetryMs`. */
const MAX_RETRY_DELAY_FACTOR = 8

/** Begins a planned switchover if the primary has weight 0 and another database can take its place. */
export function startSwitchoverIfNeeded (context: GroupContext): void {
  const { view, record, options } = context
  const primary = findMember(view, view.replicated.primary)
  if (primary === undefined || primary.weight > 0 || view.now < record.nextSwitchoverAt) return
  const target = chooseSwitchoverTarget(view, options.databaseSilentMs)
  if (target === undefined) return
  record.step = {
    kind: 'switching',
    term: view.replicated.term,
    primary: primary.database,
    target: target.database,
    startedAt: view.now,
    stop: null,
    isReleased: false,
    primaryPosition: null,
    targetPosition: null,
    queriedAt: addTime(view.now, -options.positionQueryIntervalMs)
  }
  context.effects.push({ kind: 'log', name: 'switchoverBegan', details: { group: view.group, term: view.replicated.term, from: primary.database, to: target.database } })
}

/**
 * Queries the positions of primary and target once all connection holders have released the term.
 * Abandons the switchover when it is no longer needed or possible, or after `switchoverTimeoutMs`.
 */
export function advanceSwitching (context: GroupContext, step: SwitchingStep): void {
  const { view, record, options } = context
  const isNeeded = findMember(view, step.primary)?.weight === 0 && (findMember(view, step.target)?.weight ?? 0) > 0
  if (!isNeeded) return abandonSwitchover(context, step, 'primary no longer has weight 0, or target has weight 0')
  if (view.now - step.startedAt >= options.switchoverTimeoutMs) return abandonSwitchover(context, step, step.isReleased ? 'target did not catch up in time' : 'holders did not release the term in time')
  if (step.stop === null) return
  step.isReleased ||= record.releaseTracker.areAllReleased(step.term, step.stop.version, view)
  if (!step.isReleased || view.now - step.queriedAt < options.positionQueryIntervalMs) return
  step.queriedAt = view.now
  for (const database of [step.primary, step.target]) {
    const member = findMember(view, database)
    if (member !== undefined) addOrder(context, member, { kind: 'status' })
  }
}

/**
 * Handles a position that was queried after the release, when no holder sends further writes.
 * Begins the election once the target has reached the position of the primary.
 */
export function handleSwitchoverOrderAnswer (context: GroupContext, { action, database, sentAt }: SentOrder, status: DatabaseStatus): void {
  const { step } = context.record
  if (step.kind !== 'switching' || action.kind !== 'status' || !step.isReleased || sentAt < step.startedAt) return
  if (database === step.primary && status.role === 'primary' && status.term === step.term) step.primaryPosition = status.position
  if (database === step.target && status.term === step.term) step.targetPosition = status.position
  if (step.primaryPosition === null || step.targetPosition === null || !isAtOrPast(step.targetPosition, step.primaryPosition)) return
  beginElection(context, {
    cause: 'planned',
    oldTerm: step.term,
    oldPrimary: step.primary,
    preferredTarget: step.target,
    adoptedPrimary: null,
    gapStartedAt: step.startedAt,
    stop: null
  })
}

function abandonSwitchover (context: GroupContext, step: SwitchingStep, reason: string): void {
  const { view, record, options } = context
  record.step = { kind: 'idle' }
  const factor = Math.min(MAX_RETRY_DELAY_FACTOR, 2 ** record.failedSwitchovers)
  record.failedSwitchovers++
  record.nextSwitchoverAt = addTime(view.now, options.switchoverRetryMs * factor)
  context.effects.push({ kind: 'log', name: 'switchoverEnded', details: { group: view.group, term: step.term, completed: false, reason } })
}

/** @returns the furthest replica of the current term that has a weight above 0 and a recent status */
function chooseSwitchoverTarget (view: GroupView, databaseSilentMs: number): GroupMember | undefined {
  const candidates = view.members.filter(({ database, weight, registered: { status, statusAt } }) =>
    database !== view.replicated.primary && weight > 0 && status.term === view.replicated.term && view.now - statusAt < databaseSilentMs)
  return candidates.sort(compareTargets)[0]
}

function compareTargets (left: GroupMember, right: GroupMember): number {
  const positionOrder = compareLogPositions(right.registered.status.position, left.registered.status.position)
  if (positionOrder !== 0) return positionOrder
  return right.weight - left.weight
}
