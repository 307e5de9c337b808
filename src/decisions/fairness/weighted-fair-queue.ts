import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import type { RequestId, WorkspaceId } from '../../types/ids.js'
import { createIndexedHeap } from '../../utils/indexed-heap.js'
import type { WeightedFairQueueOptions } from './weighted-fair-queue-options.js'
import { resolveWeightedFairQueueOptions } from './weighted-fair-queue-options.js'

/** A queued request. */
export interface QueueEntry<Item> {
  id: RequestId
  workspace: WorkspaceId
  /** From this time on the entry is expired and is not served. */
  deadline: Milliseconds
  /** Expected cost, for example milliseconds of a slot; correct it with `charge`. */
  cost: number
  item: Item
}

export type EnqueueFailure = 'queue-full' | 'deadline-passed' | 'duplicate-id'

/**
 * Start-time fair queueing over workspaces. Within a workspace, entries are served in order of arrival.
 * All operations are O(log n), except where stated.
 */
export interface WeightedFairQueue<Item> {
  readonly size: number
  sizeOf: (workspace: WorkspaceId) => number
  enqueue: (entry: QueueEntry<Item>) => Result<void, EnqueueFailure>
  /**
   * Removes the next entry to serve; expired entries are left to `takeExpired`.
   * O(k log n) when the entries of k workspaces can't run.
   * @param canRun - whether an entry could start now. Default: every entry can.
   */
  dequeue: (canRun?: (entry: QueueEntry<Item>) => boolean) => QueueEntry<Item> | null
  /** Removes and returns the entries whose deadline has passed. */
  takeExpired: () => QueueEntry<Item>[]
  /** Removes an entry that is still queued. */
  cancel: (id: RequestId) => QueueEntry<Item> | null
  /**
   * Charges a workspace for use beyond the expected cost. Charge open transactions as time passes,
   * so that the charge falls in the time in which others wait. A negative cost corrects an estimate.
   */
  charge: (workspace: WorkspaceId, cost: number) => void
  /**
   * Estimates how long a new entry would wait. O(workspaces).
   * @param capacity - cost served per millisecond, for example the usable slots
   * @returns milliseconds; infinite when the capacity is 0
   */
  estimateWait: (workspace: WorkspaceId, capacity: number) => number
}

interface Flow<Item> {
  entries: Map<RequestId, QueueEntry<Item>>
  /** Virtual time at which the next service of the workspace may start. */
  tag: number
  queuedCost: number
}

/** Idle workspaces are forgotten once there are this many more than queued ones. */
const idleFlowLimit = 256

/** @returns an empty queue */
export function createWeightedFairQueue<Item> (options: WeightedFairQueueOptions): WeightedFairQueue<Item> {
  const { clock, weightOf, maxPerWorkspace, catchUpCost, scanLimit } = resolveWeightedFairQueueOptions(options)
  const flows = new Map<WorkspaceId, Flow<Item>>()
  const waiting = createIndexedHeap<WorkspaceId>()
  const deadlines = createIndexedHeap<QueueEntry<Item>>()
  const entries = new Map<RequestId, QueueEntry<Item>>()
  let virtualTime = 0
  let highestTag = 0

  function flowOf (workspace: WorkspaceId): Flow<Item> {
    const known = flows.get(workspace)
    if (known !== undefined) return known
    if (flows.size > waiting.size + idleFlowLimit) forgetIdleFlows()
    const flow: Flow<Item> = { entries: new Map(), tag: virtualTime, queuedCost: 0 }
    flows.set(workspace, flow)
    return flow
  }

  function forgetIdleFlows (): void {
    for (const [workspace, flow] of flows) {
      if (flow.entries.size === 0 && flow.tag <= virtualTime) flows.delete(workspace)
    }
  }

  function raiseTag (workspace: WorkspaceId, flow: Flow<Item>, cost: number): void {
    flow.tag += cost / weightOf(workspace)
    highestTag = Math.max(highestTag, flow.tag)
    if (flow.entries.size > 0) waiting.set(workspace, flow.tag)
  }

  function enqueue (entry: QueueEntry<Item>): Result<void, EnqueueFailure> {
    if (entries.has(entry.id)) return err('duplicate-id')
    if (entry.deadline <= clock.now()) return err('deadline-passed')
    const flow = flowOf(entry.workspace)
    if (flow.entries.size >= maxPerWorkspace) return err('queue-full')
    // With nobody waiting, past use took service from nobody; it must not count against or for anyone.
    if (entries.size === 0) virtualTime = Math.max(virtualTime, highestTag)
    if (flow.entries.size === 0) flow.tag = Math.max(flow.tag, virtualTime)
    flow.entries.set(entry.id, entry)
    flow.queuedCost += entry.cost
    entries.set(entry.id, entry)
    deadlines.set(entry, entry.deadline)
    waiting.set(entry.workspace, flow.tag)
    return ok(undefined)
  }

  function detach (entry: QueueEntry<Item>): Flow<Item> {
    const flow = flowOf(entry.workspace)
    flow.entries.delete(entry.id)
    flow.queuedCost = flow.entries.size === 0 ? 0 : flow.queuedCost - entry.cost
    entries.delete(entry.id)
    deadlines.remove(entry)
    if (flow.entries.size === 0) waiting.remove(entry.workspace)
    return flow
  }

  function findRunnable (workspace: WorkspaceId, canRun: (entry: QueueEntry<Item>) => boolean): QueueEntry<Item> | null {
    const now = clock.now()
    let scanned = 0
    for (const entry of flowOf(workspace).entries.values()) {
      if (entry.deadline <= now) continue
      if (scanned === scanLimit) return null
      scanned++
      if (canRun(entry)) return entry
    }
    return null
  }

  function serve (entry: QueueEntry<Item>): QueueEntry<Item> {
    const flow = detach(entry)
    const lag = catchUpCost / weightOf(entry.workspace)
    flow.tag = Math.max(flow.tag, virtualTime - lag)
    virtualTime = Math.max(virtualTime, flow.tag)
    raiseTag(entry.workspace, flow, entry.cost)
    return entry
  }

  function dequeue (canRun: (entry: QueueEntry<Item>) => boolean = () => true): QueueEntry<Item> | null {
    const skipped: { key: WorkspaceId, priority: number }[] = []
    let found: QueueEntry<Item> | null = null
    while (found === null) {
      const next = waiting.peek()
      if (next === undefined) break
      found = findRunnable(next.key, canRun)
      if (found !== null) break
      skipped.push(next)
      waiting.remove(next.key)
    }
    // Skipped workspaces keep their tags and so come first once their entries can run.
    for (const { key, priority } of skipped) waiting.set(key, priority)
    return found === null ? null : serve(found)
  }

  function takeExpired (): QueueEntry<Item>[] {
    const now = clock.now()
    const expired: QueueEntry<Item>[] = []
    for (;;) {
      const next = deadlines.peek()
      if (next === undefined || next.priority > now) return expired
      detach(next.key)
      expired.push(next.key)
    }
  }

  function cancel (id: RequestId): QueueEntry<Item> | null {
    const entry = entries.get(id)
    if (entry === undefined) return null
    detach(entry)
    return entry
  }

  function charge (workspace: WorkspaceId, cost: number): void {
    if (!Number.isFinite(cost)) throw new RangeError(`cost ${cost} charged to workspace ${workspace} is not a finite number`)
    const flow = flowOf(workspace)
    // An idle workspace's old tag lies in the past; a charge on top of it would cost nothing.
    if (flow.entries.size === 0) flow.tag = Math.max(flow.tag, virtualTime)
    raiseTag(workspace, flow, cost)
  }

  function estimateWait (workspace: WorkspaceId, capacity: number): number {
    const flow = flows.get(workspace)
    const firstTag = Math.max(flow?.tag ?? 0, flow === undefined || flow.entries.size === 0 ? virtualTime : 0)
    const startTag = firstTag + (flow?.queuedCost ?? 0) / weightOf(workspace)
    let costAhead = flow?.queuedCost ?? 0
    for (const [other, { tag, queuedCost }] of flows) {
      if (other === workspace || queuedCost === 0) continue
      costAhead += Math.min(queuedCost, Math.max(0, startTag - tag) * weightOf(other))
    }
    if (costAhead === 0) return 0
    return capacity > 0 ? costAhead / capacity : Infinity
  }

  return {
    get size () { return entries.size },
    sizeOf: (workspace) => flows.get(workspace)?.entries.size ?? 0,
    enqueue,
    dequeue,
    takeExpired,
    cancel,
    charge,
    estimateWait
  }
}
