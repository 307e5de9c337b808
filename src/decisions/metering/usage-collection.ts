import type { Clock } from '../../types/clock.js'
import type { IncarnationId, InstanceId, WorkspaceId } from '../../types/ids.js'
import type { UsageCount, UsageReport } from '../../types/usage.js'

/** Time without a heartbeat after which an instance that the log does not list is not waited for, in milliseconds: five heartbeat intervals. */
const LOST_AFTER_MS = 2500
/** Windows before the last closed one whose counts are kept, to recognize what arrives late. */
const KEPT_CLOSED_WINDOWS = 16

/** Counts that this leader has received, by incarnation and window. */
export interface UsageCollection {
  /**
   * Merges a report. The highest value of each count is kept, as late reports are lower.
   * @param isComplete - whether this leader has everything that the report leaves out
   * @returns number of operations that arrived after their window was closed
   */
  merge: (sender: { instance: InstanceId, incarnation: IncarnationId }, report: UsageReport, isComplete: boolean, isClosed: (window: number) => boolean) => number
  /** An instance left as planned; its counts stay. */
  leave: (instance: InstanceId) => void
  /** @returns the counts of a window, by workspace */
  total: (window: number) => UsageCount[]
  /** @param recorded - instances that may run in the deployment. @returns whether each of them and each instance in contact has reported the window as final */
  isFinal: (window: number, recorded: readonly InstanceId[]) => boolean
  /** @returns the lowest window with counts; null when there are none */
  lowestWindow: () => number | null
  countInstances: () => number
  /** Drops windows that were closed long ago. */
  dropClosed: (closedThrough: number) => void
}

/** Creates an empty collection for one leadership. */
export function createUsageCollection (clock: Clock): UsageCollection {
  const windows = new Map<number, Map<IncarnationId, Map<WorkspaceId, number>>>()
  const instances = new Map<InstanceId, { finalThrough: number, heardAt: number }>()

  function findOrCreateCounts (window: number, incarnation: IncarnationId): Map<WorkspaceId, number> {
    const incarnations = windows.get(window) ?? new Map<IncarnationId, Map<WorkspaceId, number>>()
    windows.set(window, incarnations)
    const counts = incarnations.get(incarnation) ?? new Map<WorkspaceId, number>()
    incarnations.set(incarnation, counts)
    return counts
  }

  function mergeWindow (window: number, incarnation: IncarnationId, received: readonly UsageCount[]): number {
    const counts = findOrCreateCounts(window, incarnation)
    let added = 0
    for (const [workspace, count] of received) {
      const known = counts.get(workspace) ?? 0
      if (count <= known) continue
      counts.set(workspace, count)
      added += count - known
    }
    return added
  }

  const merge: UsageCollection['merge'] = ({ instance, incarnation }, { finalThrough, windows: received }, isComplete, isClosed) => {
    const known = instances.get(instance)?.finalThrough ?? -Infinity
    instances.set(instance, { finalThrough: isComplete ? Math.max(known, finalThrough) : known, heardAt: clock.now() })
    let late = 0
    for (const { window, counts } of received) {
      const added = mergeWindow(window, incarnation, counts)
      if (isClosed(window)) late += added
    }
    return late
  }

  function total (window: number): UsageCount[] {
    const sums = new Map<WorkspaceId, number>()
    for (const counts of windows.get(window)?.values() ?? []) {
      for (const [workspace, count] of counts) sums.set(workspace, (sums.get(workspace) ?? 0) + count)
    }
    return [...sums]
  }

  function isFinal (window: number, recorded: readonly InstanceId[]): boolean {
    const oldest = clock.now() - LOST_AFTER_MS
    const inContact = [...instances].filter(([, { heardAt }]) => heardAt >= oldest).map(([instance]) => instance)
    return [...recorded, ...inContact].every((instance) => (instances.get(instance)?.finalThrough ?? -Infinity) >= window)
  }

  return {
    merge,
    leave: (instance) => { instances.delete(instance) },
    total,
    isFinal,
    lowestWindow: () => windows.size === 0 ? null : Math.min(...windows.keys()),
    countInstances: () => instances.size,
    dropClosed: (closedThrough) => {
      for (const window of [...windows.keys()]) if (window < closedThrough - KEPT_CLOSED_WINDOWS) windows.delete(window)
    }
  }
}
