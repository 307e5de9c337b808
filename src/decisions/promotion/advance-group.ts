import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import { hasDirectoryVersion } from '../../types/directory-version.js'
import type { DatabaseId } from '../../types/ids.js'
import { compareLogPositions } from '../../types/log-position.js'
import { findMember } from '../failover/group-view.js'
import type { GroupMember } from '../failover/group-view.js'
import { chooseCandidate } from './choose-candidate.js'
import type { Candidate } from './choose-candidate.js'
import { isAbsent, isPositionNeeded, isUnreachableSince } from './database-absence.js'
import { checkHoldings, isSuccessorExpected } from './holding-check.js'
import { assessPrimary } from './primary-evidence.js'
import type { PromotionContext, Step } from './promotion-context.js'
import { isLostPrimary, addOrder } from './promotion-context.js'
import type { KnownStatus, PromotionPlan, PromotionRecord, StopDirectory } from './promotion-step.js'
import { findReplacedPrimary, recordReplacement } from './replaced-primary.js'
import { orderFence, computeFenceTerm, liftFences, needsFence, fenceReceivingReplicas } from './replica-fences.js'
import { findSafeTarget } from './switchover-target.js'

/** Advances the primary election or switchover of a group until it has to wait for an answer, a report or a time. */
export function advanceGroup (context: PromotionContext): void {
  const { view, record } = context
  recordServiceStart(context)
  const { step } = record
  const isOvertaken = step.kind !== 'idle' && step.kind !== 'beginning' && view.replicated.term > step.term
  if (isOvertaken) record.step = { kind: 'idle' }
  let lastStep = null
  // When a step ends, the next one starts in the same call, because the group's writes are queued meanwhile.
  while (lastStep !== record.step) {
    lastStep = record.step
    advanceStep(context)
  }
}

function advanceStep (context: PromotionContext): void {
  const { step } = context.record
  switch (step.kind) {
    case 'idle': return advanceIdle(context)
    case 'switching': return advanceSwitching(context, step)
    case 'beginning': return
    case 'electing': return advanceElecting(context, step)
    case 'promoting': return advancePromoting(context, step)
    case 'recording': return advanceRecording(context, step)
  }
}

function recordServiceStart ({ view, record }: PromotionContext): void {
  const { replicated, now } = view
  if (replicated.phase !== 'serving' || replicated.primary === null) return
  if (record.serving?.term !== replicated.term) record.serving = { term: replicated.term, since: now }
}

function buildPlan (context: PromotionContext, cause: PromotionPlan['cause']): PromotionPlan {
  const { view: { replicated, now }, record } = context
  // During an unfinished election, instances can use a primary only under earlier terms. Releasing the newest of these covers all.
  const oldTerm = replicated.phase === 'serving' ? replicated.term : Math.max(record.serving?.term ?? 0, replicated.term - 1)
  return { cause, oldTerm, oldPrimary: replicated.primary ?? findReplacedPrimary(context), preferredTarget: null, startedAt: now }
}

function advanceIdle (context: PromotionContext): void {
  const { view, record, times } = context
  const { replicated } = view
  if (replicated.phase === 'electing') return beginElection(context, buildPlan(context, 'interrupted'))
  if (replicated.primary === null) return startGroup(context)
  if (record.serving === null || view.members.length === 0) return
  liftFences(context)
  checkHoldings(context)
  const primary = findMember(view, replicated.primary)
  const isKnownLongEnough = view.now - Math.max(record.serving.since, view.leadership.since) >= times.primarySilentMs
  if (primary === undefined) {
    if (isKnownLongEnough) beginElection(context, buildPlan(context, 'lost'))
    return
  }
  if (hasMoved(context, primary)) return beginElection(context, buildPlan(context, 'moved'))
  if (isKnownLongEnough && isPrimaryLost(context, primary)) return beginElection(context, buildPlan(context, 'lost'))
  if (primary.weight === 0 && view.now >= record.nextSwitchoverAt) beginSwitchover(context, primary)
}

/**
 * Whether the recorded primary has announced itself as a replica. Announcements restored from the log (negative sequence) don't count,
 * nor do those from before this leader saw the term in service, which may be older than the promotion.
 */
function hasMoved ({ view, record }: PromotionContext, primary: GroupMember): boolean {
  const { announcement, announcedAt } = primary.registered
  const isRecorded = (announcement.run?.sequence ?? 0) < 0
  return !isRecorded && announcement.status.role === 'replica' && announcedAt > (record.serving?.since ?? view.now)
}

/**
 * Whether the primary must be replaced. A primary that is cut off is replaced only if another database can serve. Doubtful evidence
 * is settled by status queries: the primary is lost after a failed query and a time without answers and announcements.
 */
function isPrimaryLost (context: PromotionContext, primary: GroupMember): boolean {
  const { view, record, times, waitsForReplicas } = context
  const evidence = assessPrimary(view, times)
  if (evidence === 'alive') return false
  if (evidence === 'cut-off') return view.members.some((member) => member.database !== primary.database && canServe(context, member))
  if (evidence === 'lost' && !waitsForReplicas) return true
  if (view.now - record.primaryQueriedAt >= times.orderRetryMs) {
    record.primaryQueriedAt = view.now
    addOrder(context, primary, { kind: 'status' })
  }
  const answeredAt = record.statuses.get(primary.database)?.requestedAt ?? -Infinity
  // A commit that no replica receives gets no answer either, and a replacement would not change that.
  if (evidence === 'lost') return isUnreachableSince(context, primary.database, Math.max(answeredAt, view.now - times.orderRetryMs * 2))
  const failedAt = record.queryFailedAt.get(primary.database) ?? -Infinity
  const silentSince = Math.max(primary.registered.announcedAt, answeredAt)
  return failedAt > answeredAt && view.now - silentSince >= times.announcementMs * 2 + times.primarySilentMs
}

/** @returns whether a database may take over at once: it has announced itself lately and has a weight */
function canServe ({ view, times }: PromotionContext, { weight, registered }: GroupMember): boolean {
  return weight > 0 && view.now - registered.announcedAt < times.announcementMs * 2
}

/** Begins the first election once a database announces itself as primary, or after `firstStartWaitMs` without one. */
function startGroup (context: PromotionContext): void {
  const { view, record, times } = context
  if (view.members.length === 0) return
  record.membersKnownSince ??= view.now
  const running = view.members.some(({ registered }) => registered.announcement.status.role === 'primary')
  if (running || view.now - record.membersKnownSince >= times.firstStartWaitMs) beginElection(context, buildPlan(context, 'first'))
}

function beginSwitchover (context: PromotionContext, primary: GroupMember): void {
  const { view, record } = context
  const targets = view.members.filter((member) => member.database !== primary.database && canServe(context, member) && !isReportedSilent(context, member.database))
  const target = targets[0]
  if (target === undefined) return
  record.step = { kind: 'switching', term: view.replicated.term, primary: primary.database, target: target.database, confinedTo: null, startedAt: view.now, stop: null, releasedAt: null, queriedAt: beforeAnyQuery(view.now) }
  context.effects.push({ kind: 'log', name: 'switchoverBegan', details: { group: view.group, term: view.replicated.term, from: primary.database, to: target.database } })
}

function isReportedSilent ({ view }: PromotionContext, database: DatabaseId): boolean {
  return [...view.instances.values()].some((instance) => (instance.observations.get(database)?.silentForMs ?? 0) > 0)
}

const beforeAnyQuery = (now: Milliseconds): Milliseconds => addTime(now, -60_000)

function advanceSwitching (context: PromotionContext, step: Step<'switching'>): void {
  const { view, record, times } = context
  const primary = findMember(view, step.primary)
  if (primary?.weight !== 0) {
    record.step = { kind: 'idle' }
    record.nextSwitchoverAt = addTime(view.now, times.switchoverTimeoutMs)
    context.effects.push({ kind: 'log', name: 'switchoverEnded', details: { group: view.group, term: step.term, completed: false, reason: 'primary no longer has weight 0' } })
    return
  }
  if (step.stop === null) return
  const isOverdue = view.now - step.startedAt >= times.switchoverTimeoutMs * 2
  if (step.releasedAt === null && areAllReleased(context, step.term, step.stop)) step.releasedAt = view.now
  if (step.releasedAt === null && view.now - step.startedAt < times.switchoverTimeoutMs) return
  const plan: PromotionPlan = { cause: 'planned', oldTerm: step.term, oldPrimary: step.primary, preferredTarget: step.target, startedAt: step.startedAt }
  const target = step.releasedAt === null ? undefined : findSafeTarget(context, step, step.releasedAt)
  if (target !== undefined) return beginElection(context, { ...plan, preferredTarget: target })
  // Where commits wait for replicas, a target that lacks an acknowledged commit must not become primary. So the election chooses by position.
  if (isOverdue) return beginElection(context, context.waitsForReplicas ? { ...plan, preferredTarget: null } : plan)
  if (view.now - step.queriedAt < times.positionQueryIntervalMs) return
  step.queriedAt = view.now
  for (const member of view.members) {
    if (member.database === step.primary || member.weight > 0 || context.waitsForReplicas) addOrder(context, member, { kind: 'status' })
  }
}

/**
 * Whether no instance can use the primary of a term any more. Instances without a heartbeat for one lease are not registered any more,
 * and an instance that joined later has no older lease.
 */
function areAllReleased ({ view, times }: PromotionContext, term: number, stop: StopDirectory): boolean {
  // Instances that an earlier leader knew may not have sent a heartbeat to this one yet. Their leases expire within this time.
  const isNewLeader = view.now - view.leadership.since < times.leaseEndMs
  // Instances renew a lease only with the directory that tells them to stop, so every older lease has expired by then.
  if (view.now - stop.publishedAt >= times.leaseEndMs) return true
  if (isNewLeader) return false
  return [...view.instances.values()].every(({ directoryVersion, releasedTerms }) =>
    hasDirectoryVersion(directoryVersion, stop.version) && releasedTerms.some((released) => released.group === view.group && released.term >= term))
}

/**
 * Proposes the next term, unless a proposal is pending or the last election of this leader is too recent.
 * The replicated log refuses a term that is not new, so each term belongs to the one leader whose proposal it accepted.
 */
function beginElection (context: PromotionContext, plan: PromotionPlan): void {
  const { view, record, times } = context
  if (view.now < record.nextElectionAt || record.isProposing) return
  record.nextElectionAt = addTime(view.now, times.minElectionIntervalMs)
  const term = view.replicated.term + 1
  recordReplacement(context, plan, term)
  record.step = { kind: 'beginning', term, plan }
  record.isProposing = true
  context.effects.push({ kind: 'propose', leaderTerm: view.leadership.term, command: { kind: 'begin-election', group: view.group, term } })
}

/** Starts the election of a term that the log has committed for this leader. */
export function startCommittedElection (context: PromotionContext, term: number, plan: PromotionPlan): void {
  const { view, record } = context
  record.step = { kind: 'electing', term, plan, stop: null, releasedAt: null, queriedAt: beforeAnyQuery(view.now), answeredAt: null, fencesOrdered: false }
  if (plan.cause !== 'planned') context.effects.push({ kind: 'log', name: 'failoverBegan', details: { group: view.group, term, cause: plan.cause, oldPrimary: plan.oldPrimary } })
}

function advanceElecting (context: PromotionContext, step: Step<'electing'>): void {
  const { view, record, times } = context
  if (step.stop === null) return
  const running = view.members.find(({ registered }) => registered.announcement.status.role === 'primary')
  if (step.plan.cause === 'first' && running !== undefined) {
    // No promotion was ordered before the first election, so no late one can take effect.
    record.step = { kind: 'recording', term: step.term, plan: step.plan, database: running.database }
    return
  }
  const hadPrimary = step.plan.oldTerm > 0 || step.plan.cause === 'interrupted'
  if (step.releasedAt === null && (!hadPrimary || areAllReleased(context, step.plan.oldTerm, step.stop))) step.releasedAt = view.now
  if (step.releasedAt === null) return
  const { releasedAt } = step
  const target = step.plan.preferredTarget ?? selectElectionTarget(context, step, releasedAt)
  if (target !== undefined) {
    record.step = { kind: 'promoting', term: step.term, plan: step.plan, target, startedAt: view.now, orderedAt: null, accepted: false, refused: false, queriedAt: beforeAnyQuery(view.now) }
    return
  }
  if (view.now - step.queriedAt < times.orderRetryMs) return
  step.queriedAt = view.now
  const fenceTerm = computeFenceTerm(context, step, releasedAt)
  for (const member of view.members) {
    if (fenceTerm === null || !needsFence(context, member, fenceTerm)) addOrder(context, member, { kind: 'status' })
    else orderFence(context, member, fenceTerm)
  }
}

function selectElectionTarget (context: PromotionContext, step: Step<'electing'>, releasedAt: Milliseconds): DatabaseId | undefined {
  const { view, record, times, waitsForReplicas } = context
  // Every commit that the former primary acknowledged is in the log of a replica.
  const endedReplicas = context.endedDatabases.filter(({ announcement }) => announcement.database !== step.plan.oldPrimary)
  const queriedMembers = view.members.filter((member) => !isLostPrimary(step, member))
  const candidates = queriedMembers.flatMap((member): Candidate[] => {
    const known = record.statuses.get(member.database)
    return known !== undefined && known.requestedAt >= releasedAt ? [{ member, known }] : []
  })
  const isComplete = candidates.length === queriedMembers.length
  const isPositionMissing = queriedMembers.some((member) => isPositionNeeded(context, step, member) && !candidates.some((candidate) => candidate.member === member))
  const isLogMissing = isPositionMissing || endedReplicas.some(({ endedAt }) => isSuccessorExpected(context, endedAt))
  // The replica whose position is missing may be the only one with the last acknowledged commit.
  if (isLogMissing && waitsForReplicas && step.plan.oldTerm > 0) return findLeadingDatabase(context, step, releasedAt)
  // No other database is left. The primary may have been taken for lost while it was only cut off.
  if (candidates.length === 0) return findLeadingDatabase(context, step, releasedAt)
  step.answeredAt ??= view.now
  if (!isComplete && view.now - step.answeredAt < times.candidateWaitMs) return undefined
  const hasNewestHistory = candidates.some(({ known }) => known.status.term >= record.historyTerm)
  // Only databases that lack the newest promotion have answered. The others get time to answer, but the group must not stay without a primary.
  if (!hasNewestHistory && view.now - step.answeredAt < times.promotionTimeoutMs) return undefined
  if (fenceReceivingReplicas(context, step, candidates, releasedAt)) return undefined
  const chosen = chooseCandidate(candidates, step.plan, waitsForReplicas)
  if (chosen === undefined) return undefined
  const missing = [...endedReplicas.map(({ announcement }) => announcement.database), ...queriedMembers.filter((member) => waitsForReplicas && isAbsent(context, member)).map(({ database }) => database)]
  if (missing.length > 0) context.effects.push({ kind: 'log', name: 'electionIncomplete', details: { group: view.group, term: step.term, chosen, missing: missing.join(' ') } })
  context.effects.push({ kind: 'log', name: 'candidateChosen', details: { group: view.group, term: step.term, chosen, historyTerm: record.historyTerm, candidates: candidates.map(describeCandidate).join(', ') } })
  return chosen
}

/**
 * Finds the database that leads the newest promotion, for an election that lacks positions. It has every acknowledged commit, also as a
 * primary that has come back, because no other database has been promoted since. The others get time to answer, longer if it is the
 * primary that the election is to replace.
 */
function findLeadingDatabase ({ view, record, times }: PromotionContext, step: Step<'electing'>, releasedAt: Milliseconds): DatabaseId | undefined {
  const leading = view.members.flatMap(({ database }) => record.statuses.get(database) ?? []).find(({ status, requestedAt }) =>
    requestedAt >= releasedAt && status.role === 'primary' && status.term >= record.historyTerm)?.status.database
  const waitMs = leading === step.plan.oldPrimary ? times.promotionTimeoutMs : times.candidateWaitMs
  return view.now - releasedAt < waitMs ? undefined : leading
}

function describeCandidate ({ member, known: { status } }: Candidate): string {
  return `${member.database} ${status.role} of promotion ${status.term} at ${status.position.term}.${status.position.offset}`
}

function advancePromoting (context: PromotionContext, step: Step<'promoting'>): void {
  const { view, record, times } = context
  const target = findMember(view, step.target)
  if (target === undefined || step.refused) return beginElection(context, { ...step.plan, preferredTarget: null, cause: step.plan.cause === 'planned' ? 'interrupted' : step.plan.cause })
  if (step.accepted && isPrimaryNow(record, target, step.orderedAt)) {
    record.step = { kind: 'recording', term: step.term, plan: step.plan, database: step.target }
    return
  }
  const failedAt = record.queryFailedAt.get(step.target)
  const isUnresponsive = failedAt !== undefined && failedAt > step.startedAt && view.now - target.registered.announcedAt > times.announcementMs * 2
  if (isUnresponsive || (step.accepted && view.now - step.startedAt >= times.promotionTimeoutMs)) {
    return beginElection(context, { ...step.plan, preferredTarget: null, cause: step.plan.cause === 'planned' ? 'interrupted' : step.plan.cause })
  }
  if (!step.accepted && (step.orderedAt === null || view.now - step.orderedAt >= times.orderRetryMs)) {
    step.orderedAt = view.now
    addOrder(context, target, { kind: 'promote', term: step.term })
  }
  const isAnnouncedPrimary = target.registered.announcement.status.role === 'primary'
  const nextQueryFrom = isAnnouncedPrimary ? step.queriedAt : Math.max(step.queriedAt, step.startedAt)
  if (view.now - nextQueryFrom < times.orderRetryMs) return
  step.queriedAt = view.now
  addOrder(context, target, { kind: 'status' })
}

/**
 * Whether a database is primary since the promote order, by its announcement or by the answer to a later status query.
 * A database announces a change of its role at once.
 */
function isPrimaryNow (record: PromotionRecord, target: GroupMember, orderedAt: Milliseconds | null): boolean {
  const { announcement, announcedAt } = target.registered
  if (announcement.status.role === 'primary' && announcedAt >= (orderedAt ?? Infinity)) return true
  const known = record.statuses.get(target.database)
  return known !== undefined && known.requestedAt >= (orderedAt ?? Infinity) && known.status.role === 'primary'
}

function advanceRecording (context: PromotionContext, step: Step<'recording'>): void {
  const { view, record } = context
  const { replicated } = view
  if (replicated.term === step.term && replicated.phase === 'electing') {
    if (record.isProposing) return
    record.isProposing = true
    context.effects.push({ kind: 'propose', leaderTerm: view.leadership.term, command: { kind: 'set-primary', group: view.group, term: step.term, database: step.database } })
    return
  }
  if (replicated.term < step.term) return
  recordPromotion(record, step.database)
  record.step = { kind: 'idle' }
  const planned = step.plan.cause === 'planned'
  const details = { group: view.group, term: step.term, primary: step.database, cause: step.plan.cause, gapMs: Math.round(view.now - step.plan.startedAt) }
  context.effects.push({ kind: 'log', name: planned ? 'switchoverEnded' : 'failoverEnded', details })
}

/** Records that a promotion took effect. A database that was a replica leads a term above the one that it reported before. */
function recordPromotion (record: PromotionRecord, database: DatabaseId): void {
  const before = record.statuses.get(database)?.status
  if (before !== undefined) record.historyTerm = Math.max(record.historyTerm, before.role === 'replica' ? before.term + 1 : before.term)
}

/** Records a status of a database, unless a later query was answered before. Of two statuses of one moment, the further position stays. */
export function recordStatus (record: PromotionRecord, database: DatabaseId, known: KnownStatus): void {
  record.historyTerm = Math.max(record.historyTerm, known.status.term)
  const last = record.statuses.get(database)
  if (last !== undefined && last.requestedAt > known.requestedAt) return
  if (last !== undefined && last.requestedAt === known.requestedAt && compareLogPositions(last.status.position, known.status.position) > 0) return
  record.statuses.set(database, known)
}
