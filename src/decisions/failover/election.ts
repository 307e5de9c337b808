import type { SentOrder } from './failover-message.js'
import type { DatabaseFailure } from '../../types/database-connection.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import { addTime } from '../../types/clock.js'
import { FRESHNESS_LEASE_END_MS } from '../../types/lease.js'
import { choosePrimary } from './choose-primary.js'
import type { FencedDatabase } from './choose-primary.js'
import { addOrder, propose } from './group-context.js'
import type { GroupContext } from './group-context.js'
import { groupMajority } from '../../utils/group-majority.js'
import type { ElectingStep, ElectionPlan, PromotingStep, RecordingStep } from './group-step.js'
import { findHighestTerm, findMember } from './group-view.js'

/** SQLSTATE with which a database refuses an order whose term is lower than the term that it is fenced for. */
const FENCED_FOR_HIGHER_TERM = 'CR003'

/**
 * Proposes the next term, unless a proposal is pending or the last election of this leader is too recent.
 * The replicated log refuses a term that is not new, so each term belongs to the one leader whose proposal it accepted.
 */
export function beginElection (context: GroupContext, plan: ElectionPlan, term = findHighestTerm(context.view) + 1): void {
  const { record, view, options } = context
  if (view.now < record.nextElectionAt || record.pendingProposal !== null) return
  record.nextElectionAt = addTime(view.now, options.minElectionIntervalMs)
  record.step = { kind: 'beginning', term, plan }
  propose(context, { kind: 'begin-election', group: view.group, term })
}

/** Continues once the term is committed: fences the databases, or adopts a primary that already runs. */
export function startCommittedElection (context: GroupContext, term: number, plan: ElectionPlan): void {
  const { record, view } = context
  record.step = plan.adoptedPrimary !== null
    ? { kind: 'recording', term, plan, database: plan.adoptedPrimary }
    : { kind: 'electing', term, plan, fencedStatuses: new Map(), fenceSentAt: new Map(), refused: false, majorityFencedAt: null, startedAt: view.now }
  if (plan.cause !== 'planned' && plan.adoptedPrimary === null) {
    context.effects.push({ kind: 'log', name: 'failoverBegan', details: { group: view.group, term, cause: plan.cause, oldPrimary: plan.oldPrimary } })
  }
}

/** Sends fence orders until a majority has answered, then chooses the database to promote. */
export function advanceElecting (context: GroupContext, step: ElectingStep): void {
  const { view, record, options } = context
  sendFences(context, step)
  const chosen = chooseFencedDatabase(context, step)
  if (chosen !== undefined) {
    record.step = { kind: 'promoting', term: step.term, plan: step.plan, target: chosen.database, startedAt: view.now, sentAt: null, refused: false }
    return
  }
  // A database is fenced for a higher term, by another leader or by an earlier cluster. Only an election in a higher term can succeed.
  if (step.refused && view.now - step.startedAt >= options.minElectionIntervalMs) beginElection(context, step.plan)
}

function sendFences (context: GroupContext, step: ElectingStep): void {
  const { view, options } = context
  for (const member of view.members) {
    if (step.fencedStatuses.has(member.database)) continue
    const sentAt = step.fenceSentAt.get(member.database)
    if (sentAt !== undefined && view.now - sentAt < options.orderRetryMs) continue
    step.fenceSentAt.set(member.database, view.now)
    addOrder(context, member, { kind: 'fence', term: step.term })
  }
}

function chooseFencedDatabase (context: GroupContext, step: ElectingStep): FencedDatabase | undefined {
  const { view, options } = context
  const majority = groupMajority(view.members.length)
  const fenced = view.members.flatMap(({ database, weight }): FencedDatabase[] => {
    const status = step.fencedStatuses.get(database)
    return status === undefined ? [] : [{ database, weight, status }]
  })
  if (fenced.length < majority) return undefined
  step.majorityFencedAt ??= view.now
  const canWait = fenced.length < view.members.length && view.now - step.majorityFencedAt < options.candidateWaitMs
  // A lost primary that still answers the leader is further than all others, by writes that nobody acknowledged. The connection
  // holders can't reach it, so it is chosen only if there is no majority without it.
  const others = step.plan.cause === 'lost' ? fenced.filter(({ database }) => database !== step.plan.oldPrimary) : fenced
  const candidates = others.length >= majority ? others : fenced
  if (canWait && candidates !== others) return undefined
  const chosen = choosePrimary(candidates, step.plan.preferredTarget)
  const isBestPossible = chosen !== undefined && chosen.weight > 0 && (step.plan.preferredTarget === null || chosen.database === step.plan.preferredTarget)
  return canWait && !isBestPossible ? undefined : chosen
}

/** Sends the promote order to the chosen database once the old term is released. */
export function advancePromoting (context: GroupContext, step: PromotingStep): void {
  const { view, record, options } = context
  const target = findMember(view, step.target)
  const status = target?.registered.status
  if (status?.role === 'primary' && status.term === step.term) {
    record.step = { kind: 'recording', term: step.term, plan: step.plan, database: step.target }
    return
  }
  if (!isOldTermReleased(context, step)) {
    step.startedAt = view.now
    return
  }
  const isOverdue = view.now - step.startedAt >= options.promotionTimeoutMs
  // The database may already be primary or may still become primary, so promoting another database requires a new term.
  if (step.refused || isOverdue) return beginElection(context, { ...step.plan, cause: step.plan.cause === 'planned' ? 'interrupted' : step.plan.cause })
  if (target === undefined || (step.sentAt !== null && view.now - step.sentAt < options.orderRetryMs)) return
  step.sentAt = view.now
  addOrder(context, target, { kind: 'promote', term: step.term })
}

function isOldTermReleased ({ view, record }: GroupContext, { plan }: PromotingStep): boolean {
  // This leader may not know every connection holder that an earlier leader named. Their leases expire within this time.
  if (view.now - view.leadership.since < FRESHNESS_LEASE_END_MS) return false
  if (plan.stop === null) return false
  // Instances renew a lease only with a directory that has the new term, so every older lease has expired by then.
  if (view.now - plan.stop.publishedAt >= FRESHNESS_LEASE_END_MS) return true
  return record.releaseTracker.areAllReleased(plan.oldTerm, plan.stop.version, view)
}

/** Proposes `set-primary` until the replicated log names the new primary. */
export function advanceRecording (context: GroupContext, step: RecordingStep): void {
  const { view, record } = context
  const { replicated } = view
  if (replicated.term === step.term && replicated.phase === 'electing') {
    return propose(context, { kind: 'set-primary', group: view.group, term: step.term, database: step.database })
  }
  if (replicated.term < step.term) return
  record.step = { kind: 'idle' }
  if (replicated.term === step.term && replicated.primary === step.database) recordPrimaryChange(context, step)
}

function recordPrimaryChange ({ view, record, effects }: GroupContext, { plan, term, database }: RecordingStep): void {
  const planned = plan.cause === 'planned'
  const gapMs = plan.gapStartedAt === null ? null : view.now - plan.gapStartedAt
  record.report = { planned, gapMs, endedAt: view.now }
  record.failedSwitchovers = 0
  effects.push({ kind: 'log', name: planned ? 'switchoverEnded' : 'failoverEnded', details: { group: view.group, term, primary: database, gapMs } })
}

/** Handles the answer to a fence or promote order of the current election. Late and repeated answers change nothing. */
export function handleElectionOrderAnswer ({ record }: GroupContext, { action, database }: SentOrder, status: DatabaseStatus): void {
  const { step } = record
  if (action.kind === 'fence' && step.kind === 'electing' && step.term === action.term && status.fencedTerm === step.term) step.fencedStatuses.set(database, status)
  if (action.kind === 'promote' && step.kind === 'promoting' && step.term === action.term && step.target === database && status.role === 'primary' && status.term === step.term) {
    record.step = { kind: 'recording', term: step.term, plan: step.plan, database }
  }
}

/** Records that a database refused a fence or promote order for a higher term. After other failures, the order is sent again. */
export function handleElectionOrderFailure ({ record }: GroupContext, { action, database }: SentOrder, failure: DatabaseFailure): void {
  const { step } = record
  if (failure.sqlState !== FENCED_FOR_HIGHER_TERM) return
  if (action.kind === 'fence' && step.kind === 'electing' && step.term === action.term) step.refused = true
  if (action.kind === 'promote' && step.kind === 'promoting' && step.term === action.term && step.target === database) step.refused = true
}
