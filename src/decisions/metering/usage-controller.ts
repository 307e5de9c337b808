import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime, latest } from '../../types/clock.js'
import type { IncarnationId, InstanceId } from '../../types/ids.js'
import type { LogEvent } from '../../types/log-event.js'
import type { RecordedWindow, UsageAnswer, UsageCall, UsageCommand, UsageReport, UsageState } from '../../types/usage.js'
import type { MeteringTimes } from './metering-times.js'
import { computeCloseDelayMs, endOfWindow, findFirstReportable, isOverdue, windowAt } from './metering-times.js'
import type { TimeEstimate } from './time-estimate.js'
import { createTimeEstimate } from './time-estimate.js'
import type { UsageCollection } from './usage-collection.js'
import { createUsageCollection } from './usage-collection.js'

/** Longest time for the confirmation of the leadership before a call, in milliseconds. It is several heartbeat rounds of the log; a longer one shows that the process may have been frozen. */
const MAX_CONFIRMATION_MS = 500
/** Pause before the second call for a window, in milliseconds; each further pause is twice as long, up to `MAX_PAUSE_MS`. */
const FIRST_PAUSE_MS = 250
const MAX_PAUSE_MS = 2000
/** Time in which instances learn true time from a new leader and report their counts, in milliseconds: three heartbeat intervals. */
const TIME_ANSWER_MS = 1500
/** Time between two ticks above which the process was paused, in milliseconds. Heartbeats that arrived meanwhile are not handled yet. */
const MIN_PAUSE_MS = 1000
/** Time after which a command that the log has not committed is proposed again, in milliseconds. The log ignores a second copy. */
const PROPOSAL_RETRY_MS = 2000
const HTTP_OK = 200
const HTTP_CONFLICT = 409

/**
 * - `reported`, `late`: accepted by the authority before or after its due time
 * - `left-out`: not reported
 */
export type ReportedOutcome = 'reported' | 'late' | 'left-out'

export interface UsageControllerOptions {
  clock: Clock
  times: MeteringTimes
  /** @returns the closed windows in the committed state of the log */
  readState: () => UsageState | undefined
  /** @returns the instances that the log lists */
  recordedInstances: () => readonly InstanceId[]
  logEvent: LogEvent
  onOutcome: (outcome: ReportedOutcome, windows: number) => void
  /** Called with the number of operations that arrived after their window was closed. */
  onLate: (count: number) => void
}

export type UsageMessage =
  /** A proposed command was committed, or failed. */
  | { kind: 'proposed', token: number, command: UsageCommand }
  /** A majority confirmed the leadership in `term`; null: it was not confirmed. */
  | { kind: 'confirmed', token: number, attempt: number, term: number | null }
  /** The authority answered a call; `status` is null when no answer arrived. */
  | { kind: 'answered', call: UsageCall, status: number | null, message: string }

/** Effects carry the term in which they were decided; the messages about their results repeat it as `token`. */
export type UsageEffect =
  | { kind: 'propose', token: number, command: UsageCommand }
  | { kind: 'confirm', token: number, attempt: number }
  | { kind: 'send', call: UsageCall }

/** Closes windows and reports them while its member leads the control log. */
export interface UsageController {
  /** This member began to lead. */
  begin: (term: number) => void
  /** The member has applied all entries of earlier terms. */
  establish: (term: number) => void
  end: () => void
  receive: (sender: { instance: InstanceId, incarnation: IncarnationId }, report: UsageReport) => void
  /** An instance left as planned. */
  leave: (instance: InstanceId) => void
  /** @returns what the answer to a heartbeat carries; null while the leader does not know true time */
  composeAnswer: (term: number) => UsageAnswer | null
  handle: (message: UsageMessage) => UsageEffect[]
  tick: () => UsageEffect[]
}

/** What the controller knows in one leadership. */
interface Leadership {
  term: number
  since: Milliseconds
  isEstablished: boolean
  tickedAt: Milliseconds
  /** Time from which a window may be closed before all instances have reported it. */
  mustCloseFrom: Milliseconds
  time: TimeEstimate
  collection: UsageCollection
  /** Whether the authority has refused the term. */
  isRefused: boolean
  /** When the record of a window was proposed; null while none is. */
  closingSince: Milliseconds | null
  /** Outcomes that the log does not show yet, and when their command was proposed. */
  outcomes: Map<number, { outcome: 'accepted' | 'left-out', proposedAt: Milliseconds | null }>
  /** Window for whose call the leadership is being confirmed, or whose call has no answer yet. */
  calling: { window: number, attempt: number, since: Milliseconds, isSent: boolean } | null
  lastAttempt: number
  attempts: Map<number, { count: number, notBefore: number }>
  /** Last window that was logged as left out before it was recorded. */
  leftOutThrough: number
}

/** Creates the controller of one control instance. It does nothing until its member leads. */
export function createUsageController (options: UsageControllerOptions): UsageController {
  const { clock, times, readState, recordedInstances, logEvent, onOutcome, onLate } = options
  let leadership: Leadership | null = null

  function begin (term: number): void {
    leadership = {
      term,
      since: clock.now(),
      isEstablished: false,
      tickedAt: clock.now(),
      mustCloseFrom: addTime(clock.now(), times.leaseMs + TIME_ANSWER_MS),
      time: createTimeEstimate(clock),
      collection: createUsageCollection(clock),
      isRefused: false,
      closingSince: null,
      outcomes: new Map(),
      calling: null,
      lastAttempt: 0,
      attempts: new Map(),
      leftOutThrough: -Infinity
    }
  }

  /**
   * @returns true time; null while this leader does not know it, or may neither close nor report windows. After the lease all instances in contact
   * have reported, so that the first ones do not decide on the time alone.
   */
  function estimateTime ({ isEstablished, since, time, collection }: Leadership): number | null {
    if (!isEstablished || clock.now() - since < times.leaseMs) return null
    return time.now(Math.max(recordedInstances().length, collection.countInstances()))
  }

  function isRecorded (window: number): boolean {
    const state = readState()
    return state !== undefined && (window <= state.floor || state.windows.some((recorded) => recorded.window === window))
  }

  function skipRecorded (window: number): number {
    let next = window
    while (isRecorded(next)) next++
    return next
  }

  /** @returns the first window that is neither recorded nor overdue */
  function findNextWindow (led: Leadership, now: number): number {
    const state = readState()
    const firstReportable = findFirstReportable(times, now)
    // Before the first record, metering begins with the present window, or with the first one for which there are counts.
    if (state === undefined) return Math.max(firstReportable, Math.min(windowAt(times, now - (clock.now() - led.since)), led.collection.lowestWindow() ?? Infinity))
    const next = skipRecorded(state.floor + 1)
    if (next >= firstReportable) return next
    logUnrecorded(led, Math.max(next, led.leftOutThrough + 1), firstReportable - 1)
    return skipRecorded(firstReportable)
  }

  function logUnrecorded (led: Leadership, from: number, to: number): void {
    if (from > to) return
    led.leftOutThrough = to
    logEvent('usageLeftOut', { from, to, token: led.term, reason: 'the window was not closed in time' })
    onOutcome('left-out', to - from + 1)
  }

  const isInProgress = (proposedAt: Milliseconds | null): boolean => proposedAt !== null && clock.now() - proposedAt < PROPOSAL_RETRY_MS

  function closeWindow (led: Leadership, now: number): UsageEffect[] {
    if (isInProgress(led.closingSince)) return []
    const window = findNextWindow(led, now)
    const endedMsAgo = now - endOfWindow(times, window)
    if (endedMsAgo < 0) return []
    const mustClose = endedMsAgo >= computeCloseDelayMs(times) && clock.now() >= led.mustCloseFrom
    if (!mustClose && !led.collection.isFinal(window, recordedInstances())) return []
    led.closingSince = clock.now()
    led.collection.dropClosed(window)
    return [{ kind: 'propose', token: led.term, command: { kind: 'record-usage', window, counts: led.collection.total(window) } }]
  }

  function listPending (): RecordedWindow[] {
    return (readState()?.windows ?? []).filter(({ outcome }) => outcome === 'pending')
  }

  function leaveOutOverdue (led: Leadership, now: number): void {
    for (const { window } of listPending()) {
      if (!isOverdue(times, window, now) || led.outcomes.has(window) || led.calling?.window === window) continue
      led.outcomes.set(window, { outcome: 'left-out', proposedAt: null })
      logEvent('usageLeftOut', { from: window, to: window, token: led.term, reason: 'the authority did not accept the report in time' })
      onOutcome('left-out', 1)
    }
  }

  function proposeOutcomes (led: Leadership): UsageEffect[] {
    const pending = new Set(listPending().map(({ window }) => window))
    const effects: UsageEffect[] = []
    for (const [window, entry] of [...led.outcomes]) {
      if (!pending.has(window)) {
        led.outcomes.delete(window)
        led.attempts.delete(window)
        continue
      }
      if (isInProgress(entry.proposedAt)) continue
      entry.proposedAt = clock.now()
      effects.push({ kind: 'propose', token: led.term, command: { kind: 'settle-usage', window, outcome: entry.outcome } })
    }
    return effects
  }

  /** Begins the next call, unless one is in progress or the authority has refused the term. Windows with fewer attempts go first. */
  function beginCall (led: Leadership, now: number): UsageEffect[] {
    const isConfirmationOverdue = led.calling !== null && !led.calling.isSent && clock.now() - led.calling.since > MAX_CONFIRMATION_MS
    if ((led.calling !== null && !isConfirmationOverdue) || led.isRefused) return []
    led.calling = null
    const countOf = ({ window }: RecordedWindow): number => led.attempts.get(window)?.count ?? 0
    const [next] = listPending()
      .filter(({ window }) => !led.outcomes.has(window) && endOfWindow(times, window) <= now && (led.attempts.get(window)?.notBefore ?? 0) <= clock.now())
      .sort((left, right) => countOf(left) - countOf(right) || left.window - right.window)
    if (next === undefined) return []
    led.calling = { window: next.window, attempt: ++led.lastAttempt, since: clock.now(), isSent: false }
    return [{ kind: 'confirm', token: led.term, attempt: led.lastAttempt }]
  }

  function handleConfirmed (led: Leadership, attempt: number, term: number | null): UsageEffect[] {
    if (led.calling === null || led.calling.attempt !== attempt || led.calling.isSent) return []
    const { window, since } = led.calling
    const recorded = listPending().find((pending) => pending.window === window)
    if (term !== led.term || clock.now() - since > MAX_CONFIRMATION_MS || recorded === undefined || led.isRefused) {
      led.calling = null
      return []
    }
    led.calling.isSent = true
    return [{ kind: 'send', call: { window, counts: recorded.counts, token: led.term } }]
  }

  function handleAnswer (led: Leadership, { window, counts, token }: UsageCall, status: number | null, message: string): void {
    led.calling = null
    const now = estimateTime(led)
    const details = { window, token, workspaces: counts.length, operations: counts.reduce((sum, [, count]) => sum + count, 0), endedMsAgo: now === null ? null : Math.round(now - endOfWindow(times, window)) }
    if (status === HTTP_OK) {
      const isLate = now !== null && now > endOfWindow(times, window) + times.lateMs
      led.outcomes.set(window, { outcome: 'accepted', proposedAt: null })
      logEvent(isLate ? 'usageReportedLate' : 'usageReported', details)
      onOutcome(isLate ? 'late' : 'reported', 1)
      return
    }
    if (status === HTTP_CONFLICT) {
      led.isRefused = true
      logEvent('usageRefused', details)
      return
    }
    const count = (led.attempts.get(window)?.count ?? 0) + 1
    led.attempts.set(window, { count, notBefore: clock.now() + Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (count - 1)) })
    logEvent('usageCallFailed', { ...details, status, message, attempts: count })
  }

  function handleProposed (led: Leadership, command: UsageCommand): void {
    if (command.kind === 'record-usage') led.closingSince = null
    const entry = command.kind === 'settle-usage' ? led.outcomes.get(command.window) : undefined
    if (entry !== undefined) entry.proposedAt = null
  }

  function handle (message: UsageMessage): UsageEffect[] {
    const token = message.kind === 'answered' ? message.call.token : message.token
    // Results of an earlier leadership change nothing; the next leader sends what the log does not mark.
    if (leadership === null || leadership.term !== token) return []
    if (message.kind === 'proposed') handleProposed(leadership, message.command)
    if (message.kind === 'answered') handleAnswer(leadership, message.call, message.status, message.message)
    return message.kind === 'confirmed' ? handleConfirmed(leadership, message.attempt, message.term) : []
  }

  function recordTick (led: Leadership): void {
    const now = clock.now()
    if (now - led.tickedAt > MIN_PAUSE_MS) led.mustCloseFrom = latest(led.mustCloseFrom, addTime(now, TIME_ANSWER_MS))
    led.tickedAt = now
  }

  function tick (): UsageEffect[] {
    const led = leadership
    if (led !== null) recordTick(led)
    const now = led === null ? null : estimateTime(led)
    if (led === null || now === null) return []
    leaveOutOverdue(led, now)
    return [...closeWindow(led, now), ...proposeOutcomes(led), ...beginCall(led, now)]
  }

  function receive (sender: { instance: InstanceId, incarnation: IncarnationId }, report: UsageReport): void {
    if (leadership === null) return
    leadership.time.observe(sender.instance, report.timeOfDay)
    const late = leadership.collection.merge(sender, report, report.baseTerm === 0 || report.baseTerm === leadership.term, isRecorded)
    if (late > 0) onLate(late)
  }

  function composeAnswer (term: number): UsageAnswer | null {
    if (leadership === null || leadership.term !== term) return null
    const now = estimateTime(leadership)
    return now === null ? null : { trueTime: Math.round(now), closedThrough: findNextWindow(leadership, now) - 1 }
  }

  return {
    begin,
    establish: (term) => { if (leadership?.term === term) leadership.isEstablished = true },
    end: () => { leadership = null },
    receive,
    leave: (instance) => { leadership?.collection.leave(instance) },
    composeAnswer,
    handle,
    tick
  }
}
