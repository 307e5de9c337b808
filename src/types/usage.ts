import type { WorkspaceId } from './ids.js'

/** Number of operations of a workspace. A pair, as a workspace may have a name that is special as a key of an object. */
export type UsageCount = [workspace: WorkspaceId, count: number]

/** Operations that databases began to run in one window. */
export interface WindowUsage {
  /** Number of the window; window k begins k windows after 1970-01-01T00:00Z. */
  window: number
  counts: UsageCount[]
}

/** Counts of an entry instance, as a heartbeat carries them. */
export interface UsageReport {
  /** Time of day of the instance, in milliseconds since 1970. */
  timeOfDay: number
  /** Last window whose counts don't change any more; 0 while the instance does not know true time. */
  finalThrough: number
  /** Term of the leader that acknowledged the counts which this report leaves out; 0: it leaves none out. */
  baseTerm: number
  /** Cumulative counts of this incarnation in windows that are not closed. */
  windows: WindowUsage[]
}

/** What the control leader tells an entry instance in a heartbeat answer. */
export interface UsageAnswer {
  /** Estimate of true time when the answer was sent, in milliseconds since 1970. */
  trueTime: number
  /** Last closed window. */
  closedThrough: number
}

/**
 * - `pending`: the authority has not accepted the report yet
 * - `left-out`: the report is not sent any more, as it is overdue
 */
export type UsageOutcome = 'pending' | 'accepted' | 'left-out'

/** A closed window in the replicated state. Its counts never change. */
export interface RecordedWindow extends WindowUsage {
  outcome: UsageOutcome
}

export interface UsageState {
  /** Windows up to this one are not recorded any more. */
  floor: number
  /** The last closed windows in ascending order. */
  windows: RecordedWindow[]
}

/**
 * `record-usage`: closes a window; the first record of a window wins.
 * `settle-usage`: the report of a recorded window is not sent any more.
 */
export type UsageCommand =
  | { kind: 'record-usage', window: number, counts: UsageCount[] }
  | { kind: 'settle-usage', window: number, outcome: Exclude<UsageOutcome, 'pending'> }

/** Report of one window to the authority. */
export interface UsageCall extends WindowUsage {
  /** Fencing token of the holder. */
  token: number
}
