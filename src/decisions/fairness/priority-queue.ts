import type { Result } from 'neverthrow'
import type { Clock } from '../../types/clock.js'
import type { RequestId, WorkspaceId } from '../../types/ids.js'
import type { EnqueueFailure, QueueEntry, WeightedFairQueue } from './weighted-fair-queue.js'
import { createWeightedFairQueue } from './weighted-fair-queue.js'

/** A lane with entries that could start is passed over at most this often in a row, so that it gets one start in ten. */
const MAX_PASSED_OVER = 9

/** Queue that orders entries by priority, and is fair among workspaces inside a priority. */
export interface PriorityQueue<Item> {
  readonly size: number
  /** @returns number of queued entries of each priority that has any */
  sizes: () => ReadonlyMap<number, number>
  /** @param priority - entries with a lower number are served first */
  enqueue: (priority: number, entry: QueueEntry<Item>) => Result<void, EnqueueFailure>
  /** Removes the next entry to serve. @returns null when none can run */
  dequeue: (canRun: (entry: QueueEntry<Item>) => boolean) => QueueEntry<Item> | null
  /** Removes a queued entry. @returns whether it was queued */
  cancel: (priority: number, id: RequestId) => boolean
  /** Charges a workspace for use beyond the expected cost; a negative cost corrects an estimate. */
  charge: (priority: number, workspace: WorkspaceId, cost: number) => void
  /** @returns how long a new entry would wait for those ahead of it, in milliseconds. @param capacity - cost served per millisecond */
  estimateWaitMs: (priority: number, workspace: WorkspaceId, capacity: number) => number
}

interface Lane<Item> {
  priority: number
  queue: WeightedFairQueue<Item>
  queuedCost: number
  /** Starts of other entries in a row while an entry of this lane could have started. */
  passedOver: number
}

/** @returns an empty queue, with one weighted fair queue for each priority */
export function createPriorityQueue<Item> (clock: Clock): PriorityQueue<Item> {
  let lanes: Lane<Item>[] = []

  function findLane (priority: number): Lane<Item> {
    const known = lanes.find((lane) => lane.priority === priority)
    if (known !== undefined) return known
    const lane: Lane<Item> = { priority, queue: createWeightedFairQueue<Item>({ clock }), queuedCost: 0, passedOver: 0 }
    lanes = [...lanes, lane].sort((left, right) => left.priority - right.priority)
    return lane
  }

  function removeCost (lane: Lane<Item>, { cost }: QueueEntry<Item>): void {
    lane.queuedCost = lane.queue.size === 0 ? 0 : lane.queuedCost - cost
    if (lane.queue.size === 0) lane.passedOver = 0
  }

  function dequeue (canRun: (entry: QueueEntry<Item>) => boolean): QueueEntry<Item> | null {
    const waiting = lanes.filter(({ queue }) => queue.size > 0)
    const overdue = waiting.filter(({ passedOver }) => passedOver >= MAX_PASSED_OVER)
    for (const lane of [...overdue, ...waiting]) {
      const entry = lane.queue.dequeue(canRun)
      if (entry === null) continue
      for (const other of waiting) if (other !== lane) other.passedOver++
      lane.passedOver = 0
      removeCost(lane, entry)
      return entry
    }
    return null
  }

  return {
    get size () { return lanes.reduce((sum, { queue }) => sum + queue.size, 0) },
    sizes: () => new Map(lanes.filter(({ queue }) => queue.size > 0).map(({ priority, queue }) => [priority, queue.size])),
    enqueue: (priority, entry) => {
      const lane = findLane(priority)
      const result = lane.queue.enqueue(entry)
      if (result.isOk()) lane.queuedCost += entry.cost
      return result
    },
    dequeue,
    cancel: (priority, id) => {
      const lane = findLane(priority)
      const entry = lane.queue.cancel(id)
      if (entry !== null) removeCost(lane, entry)
      return entry !== null
    },
    charge: (priority, workspace, cost) => { findLane(priority).queue.charge(workspace, cost) },
    estimateWaitMs: (priority, workspace, capacity) => {
      const moreUrgentCost = lanes.reduce((sum, lane) => lane.priority < priority ? sum + lane.queuedCost : sum, 0)
      return findLane(priority).queue.estimateWaitMs(workspace, capacity) + (moreUrgentCost === 0 ? 0 : moreUrgentCost / capacity)
    }
  }
}
