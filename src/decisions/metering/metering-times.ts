/** Times of metering in milliseconds. */
export interface MeteringTimes {
  /** Length of a window. */
  windowMs: number
  /** Time between the end of a window and the due time of its report. */
  lateMs: number
  /** Time for which a leader must have led before it reports. */
  leaseMs: number
}

/** Settings of metering; it is off without `meteringWindowSeconds`. */
export interface MeteringSettings {
  meteringWindowSeconds?: number | undefined
  meteringLateSeconds: number
  meteringLeaseMs: number
}

/** Time between the latest close of a window and the due time of its report, in milliseconds: a commit and two calls without an answer. */
const SEND_RESERVE_MS = 3000

/** @returns the times, or null when metering is off */
export function buildMeteringTimes ({ meteringWindowSeconds, meteringLateSeconds, meteringLeaseMs }: MeteringSettings): MeteringTimes | null {
  if (meteringWindowSeconds === undefined) return null
  return { windowMs: meteringWindowSeconds * 1000, lateMs: meteringLateSeconds * 1000, leaseMs: meteringLeaseMs }
}

/** @returns the window that contains a time, in milliseconds since 1970 */
export const windowAt = ({ windowMs }: MeteringTimes, time: number): number => Math.floor(time / windowMs)

/** @returns the end of a window in milliseconds since 1970 */
export const endOfWindow = ({ windowMs }: MeteringTimes, window: number): number => (window + 1) * windowMs

/** @returns the longest time between the end of a window and its close, in milliseconds */
export const computeCloseDelayMs = ({ lateMs }: MeteringTimes): number => Math.max(lateMs - SEND_RESERVE_MS, lateMs / 2)

/** @returns whether the report of a window is past its due time by a window or more, so that it is not sent any more */
export const isOverdue = (times: MeteringTimes, window: number, now: number): boolean => now >= endOfWindow(times, window) + times.lateMs + times.windowMs

/** @returns the first window that is not overdue */
export const findFirstReportable = ({ windowMs, lateMs }: MeteringTimes, now: number): number => Math.floor((now - lateMs) / windowMs) - 1
