import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, freshnessEntry } from '../../blackboard/entry-instance-entries.js'
import { addTime, milliseconds, type Clock, type Milliseconds } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { DirectoryInstance } from '../../types/directory.js'
import { requestId, type FailureDomainId, type InstanceId, type RequestId } from '../../types/ids.js'
import type { Outcome, Refusal } from '../../types/outcome.js'
import type { Answer, Execute } from '../../types/peer-message.js'
import { buildRefusal } from '../../types/result-code.js'
import type { DispatcherEffect, DispatcherMessage } from './dispatcher-message.js'
import { parseTransactionHolder, selectHolder } from './holder-selection.js'
import { isTransactionOperation, classifyRetry } from './retry-rules.js'

/** Options of `createRequestDispatcher`. Times are in milliseconds. */
export interface RequestDispatcherOptions {
  instance: InstanceId
  failureDomain: FailureDomainId
  blackboard: Blackboard
  clock: Clock
  /** @returns whether messages to another instance can be sent now */
  isConnected: (instance: InstanceId) => boolean
  /** Takes one retry from the retry budget. @returns false when the budget is used up */
  takeRetry: () => boolean
  /** Wait before the next attempt when every reachable holder has had one. Refusals as `noHolder` carry it as retry time. Default 50. */
  retryDelayMs?: number
  /** Longest time by which a holder's deadline precedes the caller's, so that the answer of the holder arrives in time. Default 100. */
  answerMarginMs?: number
}

/** Sends requests of this instance's callers to connection holders of the group. Reports exactly one outcome for each. */
export interface RequestDispatcher extends Controller<DispatcherMessage, DispatcherEffect> {
  /** @returns the number of requests without an outcome */
  countActive: () => number
}

/** One attempt of a request, sent to a connection holder and not answered yet. */
interface Attempt {
  /** Request id that the attempt is sent under. */
  id: RequestId
  to: InstanceId
}

/** A request without an outcome. */
interface PendingRequest {
  readonly request: Execute
  readonly deadline: Milliseconds
  /** The attempt in flight; null when none is. */
  attempt: Attempt | null
  attemptCount: number
  /** Holders that had an attempt since the last wait. */
  attemptedHolders: Set<InstanceId>
  /** Earliest time of the next attempt. */
  notBefore: Milliseconds
  /** Whether an earlier attempt may have run. A refusal as `not-run` then says nothing about the request as a whole. */
  isPossiblyExecuted: boolean
  /** Outcome for the caller if the deadline passes while no attempt is in flight; null before the first refusal. */
  lastRefusal: Refusal | null
}

/**
 * Part of the remaining time by which a holder's deadline is earlier than the caller's, at most `answerMarginMs`.
 * The holder's exact refusal then arrives before the caller's deadline.
 */
const ANSWER_MARGIN_FRACTION = 0.1

/** @returns the outcome for the caller: `unknown` instead of `not-run` when an earlier attempt may have run */
function toReportedOutcome (pending: PendingRequest, outcome: Outcome): Outcome {
  if (outcome.kind === 'success' || !pending.isPossiblyExecuted || outcome.outcome !== 'not-run') return outcome
  return { ...outcome, outcome: 'unknown' }
}

/**
 * Creates the dispatcher that sends requests of this instance's callers to connection holders of the group. It retries at other
 * holders and cancels an attempt at the deadline.
 */
export function createRequestDispatcher (dispatcherOptions: RequestDispatcherOptions): RequestDispatcher {
  const options = { retryDelayMs: 50, answerMarginMs: 100, ...dispatcherOptions }
  const { clock, instance } = options
  const directoryReader = options.blackboard.reader(directoryEntry)
  const freshnessReader = options.blackboard.reader(freshnessEntry)
  const pendingById = new Map<RequestId, PendingRequest>()
  const pendingByAttempt = new Map<RequestId, PendingRequest>()
  const inFlightByHolder = new Map<InstanceId, number>()
  let effects: DispatcherEffect[] = []

  function adjustInFlight (holder: InstanceId, change: 1 | -1): void {
    const count = (inFlightByHolder.get(holder) ?? 0) + change
    if (count > 0) inFlightByHolder.set(holder, count)
    else inFlightByHolder.delete(holder)
  }

  function endAttempt (pending: PendingRequest): void {
    if (pending.attempt === null) return
    pendingByAttempt.delete(pending.attempt.id)
    adjustInFlight(pending.attempt.to, -1)
    pending.attempt = null
  }

  function finish (pending: PendingRequest, outcome: Outcome): void {
    endAttempt(pending)
    pendingById.delete(pending.request.requestId)
    effects.push({ kind: 'outcome', requestId: pending.request.requestId, outcome: toReportedOutcome(pending, outcome) })
  }

  const isReachable = (target: InstanceId): boolean => target === instance || options.isConnected(target)

  function findHolders (request: Execute): DirectoryInstance[] {
    const directory = directoryReader.read()
    const holders = directory?.groups.find((group) => group.group === request.group)?.holders ?? []
    return directory?.instances.filter((entry) => holders.includes(entry.instance)) ?? []
  }

  function pickReachable (holders: readonly DirectoryInstance[]): InstanceId | null {
    const selection = {
      self: instance,
      failureDomain: options.failureDomain,
      holders,
      isConnected: options.isConnected,
      countInFlight: (holder: InstanceId) => inFlightByHolder.get(holder) ?? 0
    }
    const chosen = selectHolder(selection)?.instance ?? null
    return chosen !== null && isReachable(chosen) ? chosen : null
  }

  function findTransactionHolder (request: Execute): InstanceId | null {
    const { operation } = request
    return operation.kind === 'statement' || operation.kind === 'begin' ? null : parseTransactionHolder(operation.transaction)
  }

  /**
   * Chooses a reachable holder that had no attempt yet. When there is none left, it clears the record of attempts and starts
   * the wait before the next one.
   */
  function chooseHolder (pending: PendingRequest): InstanceId | null {
    const holders = findHolders(pending.request)
    const unattempted = pickReachable(holders.filter((holder) => !pending.attemptedHolders.has(holder.instance)))
    if (unattempted !== null) return unattempted
    if (pending.attemptedHolders.size > 0) {
      pending.attemptedHolders.clear()
      pending.notBefore = addTime(clock.now(), options.retryDelayMs)
      return null
    }
    return pickReachable(holders)
  }

  function send (pending: PendingRequest, to: InstanceId): void {
    const remainingMs = pending.deadline - clock.now()
    const marginMs = Math.min(options.answerMarginMs, remainingMs * ANSWER_MARGIN_FRACTION)
    pending.attemptCount++
    // Each attempt has its own id, so that a late answer to an earlier attempt is not mistaken for the answer to this one.
    const id = requestId(`${pending.request.requestId}/${pending.attemptCount}`)
    pending.attempt = { id, to }
    pending.attemptedHolders.add(to)
    pendingByAttempt.set(id, pending)
    adjustInFlight(to, 1)
    effects.push({ kind: 'send', to, message: { ...pending.request, requestId: id, remainingMs: remainingMs - marginMs } })
  }

  function isKnownInstance (id: InstanceId): boolean {
    return id === instance || (directoryReader.read()?.instances.some((entry) => entry.instance === id) ?? false)
  }

  function advanceTransactionOperation (pending: PendingRequest): void {
    const holder = findTransactionHolder(pending.request)
    if (holder === null || !isKnownInstance(holder)) {
      finish(pending, buildRefusal('unknownTransaction', 'not-run', 'no instance of the directory runs the transaction'))
    } else if (isReachable(holder)) {
      send(pending, holder)
    } else {
      pending.lastRefusal = buildRefusal('noHolder', 'not-run', 'the instance that runs the transaction can not be reached', options.retryDelayMs)
    }
  }

  function refuseAtDeadline (pending: PendingRequest): void {
    if (pending.attempt !== null) {
      pending.isPossiblyExecuted = true
      effects.push({ kind: 'send', to: pending.attempt.to, message: { version: 1, kind: 'cancel', requestId: pending.attempt.id } })
      finish(pending, buildRefusal('deadlineExceeded', 'unknown', 'the connection holder did not answer before the deadline'))
      return
    }
    finish(pending, pending.lastRefusal ?? buildRefusal('noHolder', 'not-run', 'no connection holder of the group could be reached before the deadline', options.retryDelayMs))
  }

  function advance (pending: PendingRequest): void {
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

  function handleRequest (request: Execute): void {
    if (pendingById.has(request.requestId)) return
    const pending: PendingRequest = {
      request,
      deadline: addTime(clock.now(), request.remainingMs),
      attempt: null,
      attemptCount: 0,
      attemptedHolders: new Set(),
      notBefore: milliseconds(-Infinity),
      isPossiblyExecuted: false,
      lastRefusal: null
    }
    pendingById.set(request.requestId, pending)
    if (clock.now() >= freshnessReader.read().validUntil) finish(pending, buildRefusal('notFresh', 'not-run', 'the instance has no valid freshness lease'))
    else advance(pending)
  }

  function retryOrFinish (pending: PendingRequest, refusal: Refusal): void {
    const kind = classifyRetry(pending.request, refusal)
    if (refusal.outcome === 'unknown') pending.isPossiblyExecuted = true
    if (kind === 'never') {
      finish(pending, refusal)
      return
    }
    if (kind === 'budgeted' && !options.takeRetry()) {
      finish(pending, buildRefusal('retryBudgetExhausted', refusal.outcome, refusal.message, options.retryDelayMs))
      return
    }
    pending.lastRefusal = refusal
    advance(pending)
  }

  function handleAnswer (from: InstanceId, answer: Answer): void {
    const pending = pendingByAttempt.get(answer.requestId)
    // A late or repeated answer, or one from another instance, belongs to no attempt in flight.
    if (pending === undefined || pending.attempt?.to !== from) return
    endAttempt(pending)
    if (answer.outcome.kind === 'success') finish(pending, answer.outcome)
    else retryOrFinish(pending, answer.outcome)
  }

  function handlePeerLoss (lost: InstanceId): void {
    const affected = [...pendingByAttempt.values()].filter((pending) => pending.attempt?.to === lost)
    for (const pending of affected) {
      endAttempt(pending)
      retryOrFinish(pending, buildRefusal('outcomeUnknown', 'unknown', 'the connection to the holder was lost before it answered'))
    }
  }

  function handleCallerLoss (id: RequestId): void {
    const pending = pendingById.get(id)
    if (pending === undefined) return
    if (pending.attempt !== null) effects.push({ kind: 'send', to: pending.attempt.to, message: { version: 1, kind: 'cancel', requestId: pending.attempt.id } })
    finish(pending, buildRefusal('deadlineExceeded', pending.attempt === null ? 'not-run' : 'unknown', 'the caller disconnected'))
  }

  function applyMessage (message: DispatcherMessage): void {
    switch (message.kind) {
      case 'request': handleRequest(message.request); break
      case 'caller-lost': handleCallerLoss(message.requestId); break
      case 'answer': handleAnswer(message.from, message.answer); break
      case 'peer-lost': handlePeerLoss(message.instance); break
    }
  }

  function drainEffects (): DispatcherEffect[] {
    const taken = effects
    effects = []
    return taken
  }

  function handle (message: DispatcherMessage): DispatcherEffect[] {
    applyMessage(message)
    return drainEffects()
  }

  function tick (): DispatcherEffect[] {
    for (const pending of [...pendingById.values()]) advance(pending)
    return drainEffects()
  }

  return { handle, tick, countActive: () => pendingById.size }
}
