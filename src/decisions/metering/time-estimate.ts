import type { Clock } from '../../types/clock.js'
import type { InstanceId } from '../../types/ids.js'

/** Heartbeats of an instance whose highest offset counts: about four seconds, longer than most delays. */
const KEPT_SAMPLES = 8
/** Time within which heartbeats of an instance count as one, in milliseconds. After a pause of the leader many delayed ones arrive at once. */
const BURST_MS = 100
/** Least fraction of the instances that must have reported. A leader in a partition of four failure domains reaches half of them. */
const MIN_REPORTED_FRACTION = 0.4
/** Distance from the median within which more than half of the offsets must lie, in milliseconds; steps of clocks are longer. */
const AGREEMENT_MS = 500
/** Time between two computations of the median in milliseconds: half a heartbeat interval. */
const COMPUTE_INTERVAL_MS = 250

/** Estimates true time from the times of day of many instances, of which a minority may be wrong. */
export interface TimeEstimate {
  /** Records the time of day in a heartbeat that has just arrived. */
  observe: (instance: InstanceId, timeOfDay: number) => void
  /**
   * @param instanceCount - number of instances in the deployment
   * @returns true time in milliseconds since 1970; null while too few instances have reported or they disagree
   */
  now: (instanceCount: number) => number | null
}

/** @param clock - monotonic clock of the process, to which the offsets refer */
export function createTimeEstimate (clock: Clock): TimeEstimate {
  const samples = new Map<InstanceId, { offset: number, at: number }[]>()
  /** The last offset that enough instances agreed on. */
  let offsetMs: number | null = null
  let computedAt = -Infinity

  function computeOffset (instanceCount: number): number | null {
    if (samples.size === 0 || samples.size < instanceCount * MIN_REPORTED_FRACTION) return null
    // A delay of a heartbeat only lowers its offset, so the highest one is the best.
    const offsets = [...samples.values()].map((kept) => Math.max(...kept.map(({ offset }) => offset))).sort((left, right) => left - right)
    const median = offsets[Math.floor(offsets.length / 2)] as number
    const agreeing = offsets.filter((offset) => Math.abs(offset - median) <= AGREEMENT_MS)
    return agreeing.length * 2 > offsets.length ? median : null
  }

  function observe (instance: InstanceId, timeOfDay: number): void {
    const at = clock.now()
    const offset = timeOfDay - at
    const kept = samples.get(instance) ?? []
    samples.set(instance, kept)
    const last = kept.at(-1)
    if (last !== undefined && at - last.at < BURST_MS) {
      last.offset = Math.max(last.offset, offset)
      return
    }
    kept.push({ offset, at })
    if (kept.length > KEPT_SAMPLES) kept.shift()
  }

  return {
    observe,
    now: (instanceCount) => {
      const now = clock.now()
      if (offsetMs === null || now - computedAt >= COMPUTE_INTERVAL_MS) {
        computedAt = now
        offsetMs = computeOffset(instanceCount) ?? offsetMs
      }
      return offsetMs === null ? null : now + offsetMs
    }
  }
}
