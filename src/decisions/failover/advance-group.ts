import { advanceElecting, advancePromoting, advanceRecording, beginElection } from './election.js'
import { mayStartGroup } from './first-start.js'
import { orderFollowers } from './followers.js'
import type { GroupContext } from './group-context.js'
import { isPrimaryLost, lastProofOfPrimary } from './primary-failure-detector.js'
import { advanceSwitching, maySwitchOver } from './switchover.js'

/** Takes the next steps of a group, as far as its state allows. */
export function advanceGroup (context: GroupContext): void {
  const { view, record } = context
  noteService(context)
  const { step } = record
  const isOvertaken = step.kind !== 'idle' && step.kind !== 'beginning' && view.replicated.term > step.term
  if (isOvertaken) record.step = { kind: 'idle' }
  if (record.step.kind === 'idle' || record.step.kind === 'switching') replaceLostPrimary(context)
  // A step that ends makes way for the next one at once, as writes wait.
  let last = null
  while (last !== record.step) {
    last = record.step
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
  if (replicated.primary === null) return mayStartGroup(context)
  orderFollowers(context)
  maySwitchOver(context)
}

/** Starts a new term for an election that another leader began; that leader may have asked a database to become primary in the old one. */
function resumeElection (context: GroupContext): void {
  beginElection(context, { cause: 'interrupted', oldTerm: context.record.serving?.term ?? 0, oldPrimary: null, preferred: null, adopted: null, gapSince: null, stop: null })
}

function noteService ({ view, record }: GroupContext): void {
  const { replicated, now } = view
  if (replicated.phase !== 'serving' || replicated.primary === null) return
  if (record.serving?.term !== replicated.term) record.serving = { term: replicated.term, since: now }
}

function replaceLostPrimary (context: GroupContext): void {
  const { view, record, options } = context
  const { replicated } = view
  if (replicated.phase !== 'serving' || replicated.primary === null || record.serving === null) return
  const history = { servingSince: record.serving.since, holderSince: record.holderSince }
  if (!isPrimaryLost(view, history, options)) return
  beginElection(context, {
    cause: 'lost',
    oldTerm: replicated.term,
    oldPrimary: replicated.primary,
    preferred: null,
    adopted: null,
    gapSince: lastProofOfPrimary(view),
    stop: null
  })
}
