import { advanceElecting, advancePromoting, advanceRecording, beginElection } from './election.js'
import { startGroupIfReady } from './first-start.js'
import { orderFollowers } from './followers.js'
import type { GroupContext } from './group-context.js'
import { isPrimaryLost, findLastPrimaryEvidence } from './primary-failure-detector.js'
import { advanceSwitching, startSwitchoverIfNeeded } from './switchover.js'

/** Advances the primary election or switchover of a group until it has to wait for an answer, a report or a time. */
export function advanceGroup (context: GroupContext): void {
  const { view, record } = context
  recordServiceStart(context)
  const { step } = record
  const isOvertaken = step.kind !== 'idle' && step.kind !== 'beginning' && view.replicated.term > step.term
  if (isOvertaken) record.step = { kind: 'idle' }
  if (record.step.kind === 'idle' || record.step.kind === 'switching') replacePrimaryIfLost(context)
  // When a step ends, the next one starts in the same call, because the group's writes are queued meanwhile.
  let lastStep = null
  while (lastStep !== record.step) {
    lastStep = record.step
    advanceStep(context)
  }
}

function advanceStep (context: GroupContext): void {
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

function advanceIdle (context: GroupContext): void {
  const { replicated } = context.view
  if (replicated.phase === 'electing') return resumeElection(context)
  if (replicated.primary === null) return startGroupIfReady(context)
  orderFollowers(context)
  startSwitchoverIfNeeded(context)
}

/** Starts a new term for an unfinished election. The leader that began it may have ordered a promotion in the term that it began. */
function resumeElection (context: GroupContext): void {
  beginElection(context, { cause: 'interrupted', oldTerm: context.record.serving?.term ?? 0, oldPrimary: null, preferredTarget: null, adoptedPrimary: null, gapStartedAt: null, stop: null })
}

function recordServiceStart ({ view, record }: GroupContext): void {
  const { replicated, now } = view
  if (replicated.phase !== 'serving' || replicated.primary === null) return
  if (record.serving?.term !== replicated.term) record.serving = { term: replicated.term, since: now }
}

function replacePrimaryIfLost (context: GroupContext): void {
  const { view, record, options } = context
  const { replicated } = view
  if (replicated.phase !== 'serving' || replicated.primary === null || record.serving === null) return
  const history = { servingSince: record.serving.since, holderSince: record.holderSince }
  if (!isPrimaryLost(view, history, options)) return
  beginElection(context, {
    cause: 'lost',
    oldTerm: replicated.term,
    oldPrimary: replicated.primary,
    preferredTarget: null,
    adoptedPrimary: null,
    gapStartedAt: findLastPrimaryEvidence(view),
    stop: null
  })
}
