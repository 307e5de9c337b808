import type { Clock, Milliseconds } from '../../types/clock.js'
import type { WorkspaceId } from '../../types/ids.js'

/** One waiting request. */
export interface QueueEntry<Item> {
  /** Unique among the waiting entries of the queue. */
  id: string
  workspace: WorkspaceId
  deadline: Milliseconds
  /** Slot time that `take` charges to the workspace, in milliseconds. What is used beyond it is charged later. */
  expectedSlotMs: number
  item: Item
}

/** Weighted fair queue over workspaces, as the executor sees it. */
export interface RequestQueue<Item> {
  /** @returns false when the queue is full for the workspace; the entry is then not kept */
  enqueue: (entry: QueueEntry<Item>) => boolean
  /**
   * Removes the next item in fair order for which the predicate holds.
   * An item that is passed over keeps its place. The predicate is not called again after it held.
   */
  pop: (canRun: (item: Item) => boolean) => Item | null
  /** Removes an entry. @returns whether it was waiting */
  cancel: (id: string) => boolean
  /** Charges time that a workspace used, in milliseconds; it lowers the place of its next requests. */
  charge: (workspace: WorkspaceId, usedMs: number) => void
  /** Removes the entries whose deadline has passed. */
  drainExpired: () => Item[]
  /** @returns how long a new request of the workspace would wait, in milliseconds */
  estimateWaitMs: (workspace: WorkspaceId) => number
  /** @returns the number of waiting entries */
  size: () => number
}

export interface RequestQueueOptions {
  clock: Clock
  /** Weight of a workspace by the manifest in force. */
  weightOf: (workspace: WorkspaceId) => number
  /** Slots that serve the queue at this moment. */
  slots: () => number
}

export type CreateRequestQueue = <Item>(options: RequestQueueOptions) => RequestQueue<Item>
