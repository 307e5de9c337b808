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
  /** Time from which the entry is expired and no longer served. */
  deadline: Milliseconds
  /** Expected cost, for example in milliseconds of a slot. Correct it with `charge`. */
  cost: number
  item: Item
}

export type EnqueueFailure = 'queue-full' | 'deadline-passed' | 'duplicate-id'

/**
 * Start-time fair queueing over workspaces. Entries of one workspace are served in order of arrival.
 * All operations are O(log n), except where stated.
 */
export interface WeightedFairQueue<Item> {
  readonly size: number
  sizeOf: (workspace: WorkspaceId) => number
  /** Adds an entry. Fails if its id is already queued, its deadline has passed, or the workspace has too many entries. */
  enqueue: (entry: QueueEntry<Item>) => Result<void, EnqueueFailure>
  /**
   * Removes the next entry to serve. Expired entries stay until `drainExpired` removes them.
   * O(k log n) if the entries of k workspaces can't run.
   * @param canRun - whether an entry could start now. Default: every entry can.
   * @returns the entry, or null if none can run
   */
  dequeue: (canRun?: (entry: QueueEntry<Item>) => boolean) => QueueEntry<Item> | null
  /** Removes and returns the entries whose deadline has passed. */
  drainExpired: () => QueueEntry<Item>[]
  /**
   * Removes a queued entry.
   * @returns the entry, or null if it is not queued
   */
  cancel: (id: RequestId) => QueueEntry<Item> | null
  /**
   * Charges a workspace for use beyond the expected cost. Charge open transactions repeatedly while they run,
   * so that the charge applies while other workspaces wait. A negative cost corrects an estimate.
   * @throws RangeError if the cost is not a finite number
   */
  charge: (workspace: WorkspaceId, cost: number) => void
  /**
   * Estimates how long a new entry would wait. O(workspaces).
   * @param capacity - cost served per millisecond, for example the usable slots
   * @returns milliseconds; infinite if entries are ahead and the capacity is 0
   */
  estimateWaitMs: (workspace: WorkspaceId, capacity: number) => number
}

/**
 * State of one workspace in the queue. The queue serves the workspace with the lowest tag first. Serving an entry raises the tag
 * by its cost, divided by the weight of the workspace. Virtual time is the highest tag served so far.
 */
interface Flow<Item> {
  entries: Map<RequestId, QueueEntry<Item>>
  /** Virtual start time of the next entry of the workspace. */
  tag: number
  queuedCost: number
}

/** Number of idle workspaces above which idle ones are deleted. */
const MAX_IDLE_FLOWS = 256

/** @returns an empty queue */
export function createWeightedFairQueue<Item> (options: WeightedFairQueueOptions): WeightedFairQueue<Item> {
  const { clock, weightOf, maxPerWorkspace, catchUpCost, scanLimit } = resolveWeightedFairQueueOptions(options)
  const flows = new Map<WorkspaceId, Flow<Item>>()
  const backlogged = createIndexedHeap<WorkspaceId>()
  const deadlines = createIndexedHeap<QueueEntry<Item>>()
  const entries = new Map<RequestId, QueueEntry<Item>>()
  let virtualTime = 0
  let highestTag = 0

  function findOrCreateFlow (workspace: WorkspaceId): Flow<Item> {
    const known = flows.get(workspace)
    if (known !== undefined) return known
    if (flows.size > backlogged.size + MAX_IDLE_FLOWS) deleteIdleFlows()
    const flow: Flow<Item> = { entries: new Map(), tag: virtualTime, queuedCost: 0 }
    flows.set(workspace, flow)
    return flow
  }

  function deleteIdleFlows (): void {
    for (const [workspace, flow] of flows) {
      if (flow.entries.size === 0 && flow.tag <= virtualTime) flows.delete(workspace)
    }
  }

  function raiseTag (workspace: WorkspaceId, flow: Flow<Item>, cost: number): void {
    flow.tag += cost / weightOf(workspace)
    highestTag = Math.max(highestTag, flow.tag)
    if (flow.entries.size > 0) backlogged.set(workspace, flow.tag)
  }

  function enqueue (entry: QueueEntry<Item>): Result<void, EnqueueFailure> {
    if (entries.has(entry.id)) return err('duplicate-id')
    if (entry.deadline <= clock.now()) return err('deadline-passed')
    const flow = findOrCreateFlow(entry.workspace)
    if (flow.entries.size >= maxPerWorkspace) return err('queue-full')
    // While the queue is empty, no workspace takes service from another. Past use then must not affect the order.
    if (entries.size === 0) virtualTime = Math.max(virtualTime, highestTag)
    if (flow.entries.size === 0) flow.tag = Math.max(flow.tag, virtualTime)
    flow.entries.set(entry.id, entry)
    flow.queuedCost += entry.cost
    entries.set(entry.id, entry)
    deadlines.set(entry, entry.deadline)
    backlogged.set(entry.workspace, flow.tag)
    return ok(undefined)
  }

  function detach (entry: QueueEntry<Item>): Flow<Item> {
    const flow = findOrCreateFlow(entry.workspace)
    flow.entries.delete(entry.id)
    flow.queuedCost = flow.entries.size === 0 ? 0 : flow.queuedCost - entry.cost
    entries.delete(entry.id)
    deadlines.remove(entry)
    if (flow.entries.size === 0) backlogged.remove(entry.workspace)
    return flow
  }

  function findRunnable (workspace: WorkspaceId, canRun: (entry: QueueEntry<Item>) => boolean): QueueEntry<Item> | null {
    const now = clock.now()
    let scanned = 0
    for (const entry of findOrCreateFlow(workspace).entries.values()) {
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
    const skippedFlows: { key: WorkspaceId, priority: number }[] = []
    let found: QueueEntry<Item> | null = null
    while (found === null) {
      const next = backlogged.peek()
      if (next === undefined) break
      found = findRunnable(next.key, canRun)
      if (found !== null) break
      skippedFlows.push(next)
      backlogged.remove(next.key)
    }
    // Skipped workspaces keep their tags, so they are served first once their entries can run.
    for (const { key, priority } of skippedFlows) backlogged.set(key, priority)
    return found === null ? null : serve(found)
  }

  function drainExpired (): QueueEntry<Item>[] {
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
    const flow = findOrCreateFlow(workspace)
    // The tag of an idle workspace may lie in the virtual past, where a charge would have no effect.
    if (flow.entries.size === 0) flow.tag = Math.max(flow.tag, virtualTime)
    raiseTag(workspace, flow, cost)
  }

  function estimateWaitMs (workspace: WorkspaceId, capacity: number): number {
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
    drainExpired,
    cancel,
    charge,
    estimateWaitMs
  }
}
