import type { Clock } from '../../types/clock.js'
import type { HeartbeatAnswer } from '../../types/control-message.js'
import type { WorkspaceId } from '../../types/ids.js'
import type { UsageReport } from '../../types/usage.js'
import type { MeteringTimes } from './metering-times.js'
import { computeCloseDelayMs, windowAt } from './metering-times.js'

/** Open windows that an instance keeps while it has no contact with control: those that can still be reported, and some more. */
const MAX_OPEN_WINDOWS = 16
/** Operations that are held until the instance knows true time. An instance serves callers only in contact with a leader, so few wait, and not for long. */
const MAX_HELD = 10_000
/** Round trip up to which an answer corrects the time, in milliseconds; the error is at most half of it. */
const GOOD_ROUND_TRIP_MS = 100
/** Round trip up to which an answer is used when there was no better one for `STALE_ESTIMATE_MS`: the time after which an instance gives up a connection without an answer. */
const LONGEST_ROUND_TRIP_MS = 400
const STALE_ESTIMATE_MS = 5000

export interface UsageCounterOptions {
  /** Monotonic clock of the process. */
  steadyClock: Clock
  /** @returns the time of day in milliseconds since 1970; it may be wrong by seconds */
  timeOfDay: () => number
  times: MeteringTimes
  /** @returns the longest time between sending a statement and learning whether it began, in milliseconds */
  longestStatementMs: () => number
  /** Called with the number of operations that can't be reported, as their window is closed. */
  onLate: (count: number) => void
}

/** Counts the operations of an entry instance by workspace and window. */
export interface UsageCounter {
  /** Counts one operation. @param ageMs - time since its first statement was sent, in milliseconds */
  count: (workspace: WorkspaceId, ageMs: number) => void
  /** @param sequence - number of the heartbeat that carries the report; null: it gets no answer */
  compose: (sequence: number | null) => UsageReport
  /** Handles the answer to a heartbeat. @param roundTripMs - time since the heartbeat was sent, in milliseconds */
  acknowledge: (answer: Pick<HeartbeatAnswer, 'sequence' | 'leaderTerm' | 'usage'>, roundTripMs: number) => void
}

interface Cell {
  count: number
  /** Revision of the last change. */
  revision: number
}

/**
 * Creates a counter without counts. Until a leader tells true time, operations are held and no window is final: the instance's own time of day may
 * be wrong by more than a window.
 */
export function createUsageCounter ({ steadyClock, timeOfDay, times, longestStatementMs, onLate }: UsageCounterOptions): UsageCounter {
  const windows = new Map<number, Map<WorkspaceId, Cell>>()
  const sentReports = new Map<number, { revision: number, baseTerm: number }>()
  let revision = 0
  /** Term of the leader that has all counts up to `knownRevision`; 0: none. */
  let baseTerm = 0
  let knownRevision = 0
  let closedThrough = -Infinity
  /** True time minus the steady clock in milliseconds, and when it was estimated. */
  let estimate: { offsetMs: number, at: number } | null = null
  let held: { workspace: WorkspaceId, steadyAt: number }[] = []

  function count (workspace: WorkspaceId, ageMs: number): void {
    const steadyAt = steadyClock.now() - ageMs
    if (estimate !== null) countInWindow(workspace, windowAt(times, steadyAt + estimate.offsetMs))
    else if (held.length < MAX_HELD) held.push({ workspace, steadyAt })
    else onLate(1)
  }

  function countInWindow (workspace: WorkspaceId, window: number): void {
    if (window <= closedThrough) return onLate(1)
    const cells = windows.get(window) ?? new Map<WorkspaceId, Cell>()
    windows.set(window, cells)
    cells.set(workspace, { count: (cells.get(workspace)?.count ?? 0) + 1, revision: ++revision })
    if (windows.size > MAX_OPEN_WINDOWS) dropWindow(Math.min(...windows.keys()))
  }

  function dropWindow (window: number): void {
    onLate([...windows.get(window)?.values() ?? []].reduce((sum, cell) => sum + cell.count, 0))
    windows.delete(window)
  }

  /** Longer waits for answers would leave no time to close the window in order. */
  function computeSettleMs (): number {
    return Math.min(longestStatementMs(), computeCloseDelayMs(times) / 2)
  }

  function compose (sequence: number | null): UsageReport {
    if (sequence !== null) sentReports.set(sequence, { revision, baseTerm })
    const changed = [...windows].map(([window, cells]) => ({
      window,
      counts: [...cells].filter(([, cell]) => cell.revision > knownRevision).map(([workspace, cell]): [WorkspaceId, number] => [workspace, cell.count])
    }))
    return {
      timeOfDay: Math.round(timeOfDay()),
      finalThrough: estimate === null ? 0 : windowAt(times, steadyClock.now() + estimate.offsetMs - computeSettleMs()) - 1,
      baseTerm,
      windows: changed.filter(({ counts }) => counts.length > 0)
    }
  }

  /** A leader knows everything up to a report only if the report left nothing out, or only what this leader had acknowledged before. */
  function recordAcknowledged (sequence: number, leaderTerm: number): void {
    const sent = sentReports.get(sequence)
    for (const other of sentReports.keys()) if (other <= sequence) sentReports.delete(other)
    if (sent === undefined) return
    if (sent.baseTerm !== 0 && sent.baseTerm !== leaderTerm) {
      baseTerm = 0
      knownRevision = 0
      return
    }
    knownRevision = leaderTerm === baseTerm ? Math.max(knownRevision, sent.revision) : sent.revision
    baseTerm = leaderTerm
  }

  function correctTime (leaderTime: number, roundTripMs: number): void {
    const now = steadyClock.now()
    const isStale = estimate === null || now - estimate.at > STALE_ESTIMATE_MS
    if (roundTripMs > (isStale ? LONGEST_ROUND_TRIP_MS : GOOD_ROUND_TRIP_MS)) return
    const offsetMs = leaderTime + roundTripMs / 2 - now
    estimate = { offsetMs, at: now }
    for (const { workspace, steadyAt } of held) countInWindow(workspace, windowAt(times, steadyAt + offsetMs))
    held = []
  }

  function acknowledge ({ sequence, leaderTerm, usage }: Pick<HeartbeatAnswer, 'sequence' | 'leaderTerm' | 'usage'>, roundTripMs: number): void {
    recordAcknowledged(sequence, leaderTerm)
    if (usage === undefined) return
    closedThrough = Math.max(closedThrough, usage.closedThrough)
    correctTime(usage.trueTime, roundTripMs)
    for (const window of [...windows.keys()]) if (window <= closedThrough) windows.delete(window)
  }

  return { count, compose, acknowledge }
}
