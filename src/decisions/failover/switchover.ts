import { addTime } from '../../types/clock.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import { compareLogPositions, isAtOrPast } from '../../types/log-position.js'
import { beginElection } from './election.js'
import type { SentOrder } from './failover-message.js'
import { order } from './group-context.js'
import type { GroupContext } from './group-context.js'
import type { SwitchingStep } from './group-step.js'
import { memberOf } from './group-view.js'
import type { GroupMember, GroupView } from './group-view.js'

/** A given up switchover waits at most this many times the shortest pause. */
const MAX_PAUSE_FACTOR = 8

/** Begins a planned switchover if the primary may get no new work and another database can take its place. */
export function maySwitchOver (context: GroupContext): void {
  const { view, record, options } = context
  const primary = memberOf(view, view.replicated.primary)
  if (primary === undefined || primary.weight > 0 || view.now < record.switchoversFrom) return
  const target = chooseTarget(view, options.databaseSilentMs)
  if (target === undefined) return
  record.step = {
    kind: 'switching',
    term: view.replicated.term,
    primary: primary.database,
    target: target.database,
    startedAt: view.now,
    stop: null,
    released: false,
    primaryPosition: null,
    targetPosition: null,
    queriedAt: addTime(view.now, -options.positionQueryMs)
  }
  context.effects.push({ kind: 'log', name: 'switchoverBegan', details: { group: view.group, term: view.replicated.term, from: primary.database, to: target.database } })
}

/** Waits until the holders released the term and the target has caught up, then begins the election; gives up after the bound. */
export function advanceSwitching (context: GroupContext, step: SwitchingStep): void {
  const { view, record, options } = context
  const isNeeded = memberOf(view, step.primary)?.weight === 0 && (memberOf(view, step.target)?.weight ?? 0) > 0
  if (!isNeeded) return giveUp(context, step, 'no longer needed or possible')
  if (view.now - step.startedAt >= options.switchoverBoundMs) return giveUp(context, step, step.released ? 'target did not catch up in time' : 'holders did not release the term in time')
  if (step.stop === null) return
  step.released ||= record.releases.allReleased(step.term, step.stop.version, view)
  if (!step.released || view.now - step.queriedAt < options.positionQueryMs) return
  step.queriedAt = view.now
  for (const database of [step.primary, step.target]) {
    const member = memberOf(view, database)
    if (member !== undefined) order(context, member, { kind: 'status' })
  }
}

/** Takes a position that was asked for after the release, when no write can follow any more. */
export function switchoverOrderAnswered (context: GroupContext, { action, database, sentAt }: SentOrder, status: DatabaseStatus): void {
  const { step } = context.record
  if (step.kind !== 'switching' || action.kind !== 'status' || !step.released || sentAt < step.startedAt) return
  if (database === step.primary && status.role === 'primary' && status.term === step.term) step.primaryPosition = status.position
  if (database === step.target && status.term === step.term) step.targetPosition = status.position
  if (step.primaryPosition === null || step.targetPosition === null || !isAtOrPast(step.targetPosition, step.primaryPosition)) return
  beginElection(context, {
    cause: 'planned',
    oldTerm: step.term,
    oldPrimary: step.primary,
    preferred: step.target,
    adopted: null,
    gapSince: step.startedAt,
    stop: null
  })
}

function giveUp (context: GroupContext, step: SwitchingStep, reason: string): void {
  const { view, record, options } = context
  record.step = { kind: 'idle' }
  const factor = Math.min(MAX_PAUSE_FACTOR, 2 ** record.failedSwitchovers)
  record.failedSwitchovers++
  record.switchoversFrom = addTime(view.now, options.switchoverRetryMs * factor)
  context.effects.push({ kind: 'log', name: 'switchoverEnded', details: { group: view.group, term: step.term, completed: false, reason } })
}

/** The furthest replica of the term that may get work and shows signs of life. */
function chooseTarget (view: GroupView, silentMs: number): GroupMember | undefined {
  const candidates = view.members.filter(({ database, weight, registered: { status, statusAt } }) =>
    database !== view.replicated.primary && weight > 0 && status.term === view.replicated.term && view.now - statusAt < silentMs)
  return candidates.sort(compareTargets)[0]
}

function compareTargets (left: GroupMember, right: GroupMember): number {
  const distance = compareLogPositions(right.registered.status.position, left.registered.status.position)
  if (distance !== 0) return distance
  return right.weight - left.weight
}
