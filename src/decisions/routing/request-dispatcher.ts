import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, freshnessEntry } from '../../blackboard/entry-instance-entries.js'
import { addTime, milliseconds, type Clock, type Milliseconds } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { DirectoryInstance } from '../../types/directory.js'
import { requestId, type FailureDomainId, type InstanceId, type RequestId } from '../../types/ids.js'
import type { Outcome, Refusal } from '../../types/outcome.js'
import type { Answer, Execute } from '../../types/peer-message.js'
import { refuse } from '../../types/result-code.js'
import type { DispatcherEffect, DispatcherMessage } from './dispatcher-message.js'
import { holderOfTransaction, selectHolder } from './holder-selection.js'
import { isTransactionOperation, retryKindOf } from './retry-rules.js'

/** Options of `createRequestDispatcher`. Times are in milliseconds. */
export interface RequestDispatcherOptions {
  instance: InstanceId
  failureDomain: FailureDomainId
  blackboard: Blackboard
  clock: Clock
  /** @returns whether messages to another instance can be sent now */
  isConnected: (instance: InstanceId) => boolean
  /** Takes one retry from the retry budget. @returns false when none is left */
  takeRetry: () => boolean
  /** Wait before a holder that was tried already is tried again. Default 50. */
  retryDelayMs?: number
  /** Largest part of the remaining time that is kept back from holders. Default 100. */
  answerMarginMs?: number
}

/** Sends the requests of this instance's callers to holders and gives exactly one outcome for each. */
export interface RequestDispatcher extends Controller<DispatcherMessage, DispatcherEffect> {
  /** @returns the number of requests without an outcome */
  activeCount: () => number
}

interface Attempt {
  id: RequestId
  to: InstanceId
}

interface Pending {
  readonly request: Execute
  readonly deadline: Milliseconds
  attempt: Attempt | null
  attempts: number
  tried: Set<InstanceId>
  notBefore: Milliseconds
  /** An earlier attempt may have run, so no later refusal proves that the request has not run. */
  mayHaveRun: boolean
  lastRefusal: Refusal | null
}

/** Part of the remaining time that is kept back, so that the holder's exact refusal arrives before the deadline. */
const MARGIN_PART = 0.1

function withHonestOutcome (pending: Pending, outcome: Outcome): Outcome {
  if (outcome.kind === 'success' || !pending.mayHaveRun || outcome.outcome !== 'not-run') return outcome
  return { ...outcome, outcome: 'unknown' }
}

export function createRequestDispatcher (dispatcherOptions: RequestDispatcherOptions): RequestDispatcher {
  const options = { retryDelayMs: 50, answerMarginMs: 100, ...dispatcherOptions }
  const { clock, instance } = options
  const directoryReader = options.blackboard.reader(directoryEntry)
  const freshnessReader = options.blackboard.reader(freshnessEntry)
  const pendings = new Map<RequestId, Pending>()
  const byAttempt = new Map<RequestId, Pending>()
  const outstanding = new Map<InstanceId, number>()
  let effects: DispatcherEffect[] = []

  function countOutstanding (holder: InstanceId, change: 1 | -1): void {
    const count = (outstanding.get(holder) ?? 0) + change
    if (count > 0) outstanding.set(holder, count)
    else outstanding.delete(holder)
  }

  function endAttempt (pending: Pending): void {
    if (pending.attempt === null) return
    byAttempt.delete(pending.attempt.id)
    countOutstanding(pending.attempt.to, -1)
    pending.attempt = null
  }

  function finish (pending: Pending, outcome: Outcome): void {
    endAttempt(pending)
    pendings.delete(pending.request.requestId)
    effects.push({ kind: 'outcome', requestId: pending.request.requestId, outcome: withHonestOutcome(pending, outcome) })
  }

  const isReachable = (target: InstanceId): boolean => target === instance || options.isConnected(target)

  function holdersOf (request: Execute): DirectoryInstance[] {
    const directory = directoryReader.read()
    const holders = directory?.groups.find((group) => group.group === request.group)?.holders ?? []
    return directory?.instances.filter((entry) => holders.includes(entry.instance)) ?? []
  }

  function pick (holders: readonly DirectoryInstance[]): InstanceId | null {
    const selection = {
      self: instance,
      failureDomain: options.failureDomain,
      holders,
      isConnected: options.isConnected,
      outstanding: (holder: InstanceId) => outstanding.get(holder) ?? 0
    }
    const chosen = selectHolder(selection)?.instance ?? null
    return chosen !== null && isReachable(chosen) ? chosen : null
  }

  function transactionHolder (request: Execute): InstanceId | null {
    const { operation } = request
    return operation.kind === 'statement' || operation.kind === 'begin' ? null : holderOfTransaction(operation.transaction)
  }

  /** Holders that were not tried come first; when all were, the wait before a repetition applies. */
  function chooseHolder (pending: Pending): InstanceId | null {
    const holders = holdersOf(pending.request)
    const untried = pick(holders.filter((holder) => !pending.tried.has(holder.instance)))
    if (untried !== null) return untried
    if (pending.tried.size > 0) {
      pending.tried.clear()
      pending.notBefore = addTime(clock.now(), options.retryDelayMs)
      return null
    }
    return pick(holders)
  }

  function send (pending: Pending, to: InstanceId): void {
    const remaining = pending.deadline - clock.now()
    const margin = Math.min(options.answerMarginMs, remaining * MARGIN_PART)
    pending.attempts++
    // Each attempt has its own id, so that a late answer to an earlier one can't be taken for this one's.
    const id = requestId(`${pending.request.requestId}/${pending.attempts}`)
    pending.attempt = { id, to }
    pending.tried.add(to)
    byAttempt.set(id, pending)
    countOutstanding(to, 1)
    effects.push({ kind: 'send', to, message: { ...pending.request, requestId: id, remainingMs: remaining - margin } })
  }

  function isKnownInstance (id: InstanceId): boolean {
    return id === instance || (directoryReader.read()?.instances.some((entry) => entry.instance === id) ?? false)
  }

  function advanceTransactionOperation (pending: Pending): void {
    const holder = transactionHolder(pending.request)
    if (holder === null || !isKnownInstance(holder)) {
      finish(pending, refuse('unknownTransaction', 'not-run', 'no instance holds the transaction'))
    } else if (isReachable(holder)) {
      send(pending, holder)
    } else {
      pending.lastRefusal = refuse('noHolder', 'not-run', 'the instance that holds the transaction can not be reached', options.retryDelayMs)
    }
  }

  function refuseAtDeadline (pending: Pending): void {
    if (pending.attempt !== null) {
      pending.mayHaveRun = true
      effects.push({ kind: 'send', to: pending.attempt.to, message: { version: 1, kind: 'cancel', requestId: pending.attempt.id } })
      finish(pending, refuse('deadlineExceeded', 'unknown', 'no answer came before the deadline'))
      return
    }
    finish(pending, pending.lastRefusal ?? refuse('noHolder', 'not-run', 'no holder of the group could be reached before the deadline', options.retryDelayMs))
  }

  function advance (pending: Pending): void {
    if (clock.now() >= pending.deadline) {
      refuseAtDeadline(pending)
      return
    }
    if (pending.attempt !== null || clock.now() < pending.notBefore) return
    if (isTransactionOperation(pending.request)) {
      advanceTransactionOperation(pending)
      return
    }
    const holder = chooseHolder(pending)
    if (holder !== null) send(pending, holder)
  }

  function takeRequest (request: Execute): void {
    if (pendings.has(request.requestId)) return
    const pending: Pending = {
      request,
      deadline: addTime(clock.now(), request.remainingMs),
      attempt: null,
      attempts: 0,
      tried: new Set(),
      notBefore: milliseconds(-Infinity),
      mayHaveRun: false,
      lastRefusal: null
    }
    pendings.set(request.requestId, pending)
    if (clock.now() >= freshnessReader.read().validUntil) finish(pending, refuse('notFresh', 'not-run', 'the instance has no valid freshness lease'))
    else advance(pending)
  }

  function retryOrFinish (pending: Pending, refusal: Refusal): void {
    const kind = retryKindOf(pending.request, refusal)
    if (refusal.outcome === 'unknown') pending.mayHaveRun = true
    if (kind === 'never') {
      finish(pending, refusal)
      return
    }
    if (kind === 'budgeted' && !options.takeRetry()) {
      finish(pending, refuse('retryBudgetExhausted', refusal.outcome, refusal.message, options.retryDelayMs))
      return
    }
    pending.lastRefusal = refusal
    advance(pending)
  }

  function takeAnswer (from: InstanceId, answer: Answer): void {
    const pending = byAttempt.get(answer.requestId)
    // A late, repeated or misdirected answer belongs to no open attempt.
    if (pending === undefined || pending.attempt?.to !== from) return
    endAttempt(pending)
    if (answer.outcome.kind === 'success') finish(pending, answer.outcome)
    else retryOrFinish(pending, answer.outcome)
  }

  function losePeer (lost: InstanceId): void {
    const affected = [...byAttempt.values()].filter((pending) => pending.attempt?.to === lost)
    for (const pending of affected) {
      endAttempt(pending)
      retryOrFinish(pending, refuse('outcomeUnknown', 'unknown', 'the connection to the holder was lost before it answered'))
    }
  }

  function loseCaller (id: RequestId): void {
    const pending = pendings.get(id)
    if (pending === undefined) return
    if (pending.attempt !== null) effects.push({ kind: 'send', to: pending.attempt.to, message: { version: 1, kind: 'cancel', requestId: pending.attempt.id } })
    finish(pending, refuse('deadlineExceeded', pending.attempt === null ? 'not-run' : 'unknown', 'the caller is gone'))
  }

  function accept (message: DispatcherMessage): void {
    switch (message.kind) {
      case 'request': takeRequest(message.request); break
      case 'caller-lost': loseCaller(message.requestId); break
      case 'answer': takeAnswer(message.from, message.answer); break
      case 'peer-lost': losePeer(message.instance); break
    }
  }

  function takeEffects (): DispatcherEffect[] {
    const taken = effects
    effects = []
    return taken
  }

  function handle (message: DispatcherMessage): DispatcherEffect[] {
    accept(message)
    return takeEffects()
  }

  function tick (): DispatcherEffect[] {
    for (const pending of [...pendings.values()]) advance(pending)
    return takeEffects()
  }

  return { handle, tick, activeCount: () => pendings.size }
}
