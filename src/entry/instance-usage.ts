import type { MeteringTimes } from '../decisions/metering/metering-times.js'
import { createUsageCounter } from '../decisions/metering/usage-counter.js'
import { NO_WORKSPACE } from '../decisions/caller-sessions/endpoint-index.js'
import type { Clock, Milliseconds } from '../types/clock.js'
import type { HeartbeatAnswer } from '../types/control-message.js'
import type { WorkspaceId } from '../types/ids.js'
import type { Manifest } from '../types/manifest.js'
import type { UsageReport } from '../types/usage.js'

export interface InstanceUsageOptions {
  /** Clock of the sessions. */
  clock: Clock
  /** Monotonic clock of the process. */
  steadyClock: Clock
  /** Null: metering is off. */
  times: MeteringTimes | null
  /** @returns the manifest in force, or null */
  manifest: () => Manifest | null
  /** Called with the number of operations that can't be reported, as their window is closed. */
  onLate: (operations: number) => void
}

/** Metering of one entry instance. */
export interface InstanceUsage {
  /** @see SessionServices.onBegan */
  onBegan: (workspace: WorkspaceId, sentAt: Milliseconds) => void
  /**
   * @param sequence - number of the heartbeat; null for the last message of the instance
   * @returns what metering adds to the message
   */
  messageFields: (sequence: number | null) => { usage?: UsageReport }
  acknowledge: (answer: HeartbeatAnswer, sentAt: Milliseconds) => void
}

/** Creates the metering of an instance; without times it counts nothing. */
export function createInstanceUsage ({ clock, steadyClock, times, manifest, onLate }: InstanceUsageOptions): InstanceUsage {
  if (times === null) return { onBegan: () => {}, messageFields: () => ({}), acknowledge: () => {} }
  const counter = createUsageCounter({
    steadyClock,
    timeOfDay: Date.now,
    times,
    longestStatementMs: () => Math.max(0, ...(manifest()?.endpoints ?? []).map(({ statementTimeoutMs }) => statementTimeoutMs)),
    onLate
  })
  return {
    onBegan: (workspace, sentAt) => { if (workspace !== NO_WORKSPACE) counter.count(workspace, clock.now() - sentAt) },
    messageFields: (sequence) => ({ usage: counter.compose(sequence) }),
    acknowledge: (answer, sentAt) => { counter.acknowledge(answer, clock.now() - sentAt) }
  }
}
