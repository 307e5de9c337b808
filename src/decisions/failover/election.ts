import type { SentOrder } from './failover-message.js'
import type { DatabaseFailure } from '../../types/database-connection.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import { addTime } from '../../types/clock.js'
import { FRESHNESS_LEASE_END_MS } from '../../types/lease.js'
import { choosePrimary } from './choose-primary.js'
import type { FencedDatabase } from './choose-primary.js'
import { order, propose } from './group-context.js'
import type { GroupContext } from './group-context.js'
import { groupMajority } from '../../utils/group-majority.js'
import type { ElectingStep, ElectionPlan, PromotingStep, RecordingStep } from './group-step.js'
import { highestTerm, memberOf } from './group-view.js'

/** SQLSTATE with which a database refuses a term lower than the one it was fenced for. */
const FENCED_FOR_HIGHER_TERM = 'CR003'

/** Proposes the next term. The log refuses a term that is not new, so each term belongs to the one leader whose proposal was accepted. */
export function beginElection (context: GroupContext, plan: ElectionPlan, term = highestTerm(context.view) + 1): void {
  const { record, view, options } = context
  if (view.now < record.electionsFrom || record.proposal !== null) return
  record.electionsFrom = addTime(view.now, options.electionPauseMs)
  record.step = { kind: 'beginning', term, plan }
  propose(context, { kind: 'begin-election', group: view.group, term })
}

/** The term is committed: goes on with fencing, or takes over a running primary. */
export function electionBegan (context: GroupContext, term: number, plan: ElectionPlan): void {
  const { record, view } = context
  record.step = plan.adopted !== null
    ? { kind: 'recording', term, plan, database: plan.adopted }
    : { kind: 'electing', term, plan, fenced: new Map(), fenceSentAt: new Map(), refused: false, majorityAt: null, startedAt: view.now }
  if (plan.cause !== 'planned' && plan.adopted === null) {
    context.effects.push({ kind: 'log', name: 'failoverBegan', details: { group: view.group, term, cause: plan.cause, oldPrimary: plan.oldPrimary } })
  }
}

/** Fences until a majority answered, then chooses the furthest database. */
export function advanceElecting (context: GroupContext, step: ElectingStep): void {
  const { view, record, options } = context
  sendFences(context, step)
  const chosen = chooseFenced(context, step)
  if (chosen !== undefined) {
    record.step = { kind: 'promoting', term: step.term, plan: step.plan, target: chosen.database, startedAt: view.now, sentAt: null, refused: false }
    return
  }
  // Some other leader's or an earlier cluster's fence is in the way.
  if (step.refused && view.now - step.startedAt >= options.electionPauseMs) beginElection(context, step.plan)
}

function sendFences (context: GroupContext, step: ElectingStep): void {
  const { view, options } = context
  for (const member of view.members) {
    if (step.fenced.has(member.database)) continue
    const sentAt = step.fenceSentAt.get(member.database)
    if (sentAt !== undefined && view.now - sentAt < options.orderRetryMs) continue
    step.fenceSentAt.set(member.database, view.now)
    order(context, member, { kind: 'fence', term: step.term })
  }
}

function chooseFenced (context: GroupContext, step: ElectingStep): FencedDatabase | undefined {
  const { view, options } = context
  const majority = groupMajority(view.members.length)
  const fenced = view.members.flatMap(({ database, weight }): FencedDatabase[] => {
    const status = step.fenced.get(database)
    return status === undefined ? [] : [{ database, weight, status }]
  })
  if (fenced.length < majority) return undefined
  step.majorityAt ??= view.now
  const mayWait = fenced.length < view.members.length && view.now - step.majorityAt < options.candidateWaitMs
  // A lost primary that the leader still reaches is further than all others, by writes that nobody acknowledged. It is out of
  // reach of the holders and chosen only if there is no majority without it.
  const others = step.plan.cause === 'lost' ? fenced.filter(({ database }) => database !== step.plan.oldPrimary) : fenced
  const choice = others.length >= majority ? others : fenced
  if (mayWait && choice !== others) return undefined
  const chosen = choosePrimary(choice, step.plan.preferred)
  const isGood = chosen !== undefined && chosen.weight > 0 && (step.plan.preferred === null || chosen.database === step.plan.preferred)
  return mayWait && !isGood ? undefined : chosen
}

/** Promotes the chosen database once the old term is released. */
export function advancePromoting (context: GroupContext, step: PromotingStep): void {
  const { view, record, options } = context
  const target = memberOf(view, step.target)
  const status = target?.registered.status
  if (status?.role === 'primary' && status.term === step.term) {
    record.step = { kind: 'recording', term: step.term, plan: step.plan, database: step.target }
    return
  }
  if (!isOldTermReleased(context, step)) {
    step.startedAt = view.now
    return
  }
  const isOverdue = view.now - step.startedAt >= options.promotionGiveUpMs
  // The promotion may have happened or may still happen, so another database needs a new term.
  if (step.refused || isOverdue) return beginElection(context, { ...step.plan, cause: step.plan.cause === 'planned' ? 'interrupted' : step.plan.cause })
  if (target === undefined || (step.sentAt !== null && view.now - step.sentAt < options.orderRetryMs)) return
  step.sentAt = view.now
  order(context, target, { kind: 'promote', term: step.term })
}

function isOldTermReleased ({ view, record }: GroupContext, { plan }: PromotingStep): boolean {
  // Holders that a former leader named are unknown; their leases have run out after this time.
  if (view.now - view.leadership.since < FRESHNESS_LEASE_END_MS) return false
  if (plan.stop === null) return false
  // Leases are renewed only with the directory that tells of the new term, so every older one has run out by then.
  if (view.now - plan.stop.publishedAt >= FRESHNESS_LEASE_END_MS) return true
  return record.releases.allReleased(plan.oldTerm, plan.stop.version, view)
}

/** Proposes the new primary until the log has it. */
export function advanceRecording (context: GroupContext, step: RecordingStep): void {
  const { view, record } = context
  const { replicated } = view
  if (replicated.term === step.term && replicated.phase === 'electing') {
    return propose(context, { kind: 'set-primary', group: view.group, term: step.term, database: step.database })
  }
  if (replicated.term < step.term) return
  record.step = { kind: 'idle' }
  if (replicated.term === step.term && replicated.primary === step.database) reportChange(context, step)
}

function reportChange ({ view, record, effects }: GroupContext, { plan, term, database }: RecordingStep): void {
  const planned = plan.cause === 'planned'
  const gapMs = plan.gapSince === null ? null : view.now - plan.gapSince
  record.report = { planned, gapMs, endedAt: view.now }
  record.failedSwitchovers = 0
  effects.push({ kind: 'log', name: planned ? 'switchoverEnded' : 'failoverEnded', details: { group: view.group, term, primary: database, gapMs } })
}

/** Takes the answer to a fence or promote order of the running election. Late and doubled answers change nothing. */
export function electionOrderAnswered ({ record }: GroupContext, { action, database }: SentOrder, status: DatabaseStatus): void {
  const { step } = record
  if (action.kind === 'fence' && step.kind === 'electing' && step.term === action.term && status.fencedTerm === step.term) step.fenced.set(database, status)
  if (action.kind === 'promote' && step.kind === 'promoting' && step.term === action.term && step.target === database && status.role === 'primary' && status.term === step.term) {
    record.step = { kind: 'recording', term: step.term, plan: step.plan, database }
  }
}

/** Takes the failure of a fence or promote order of the running election. */
export function electionOrderFailed ({ record }: GroupContext, { action, database }: SentOrder, failure: DatabaseFailure): void {
  const { step } = record
  if (failure.sqlState !== FENCED_FOR_HIGHER_TERM) return
  if (action.kind === 'fence' && step.kind === 'electing' && step.term === action.term) step.refused = true
  if (action.kind === 'promote' && step.kind === 'promoting' && step.term === action.term && step.target === database) step.refused = true
}
