import type { Clock, Milliseconds } from '../../types/clock.js'
import type { WorkspaceId } from '../../types/ids.js'

/** One queued request. */
export interface RequestQueueEntry<Item> {
  /** Unique among the entries of the queue. */
  id: string
  workspace: WorkspaceId
  deadline: Milliseconds
  /** Slot time that `pop` charges to the workspace, in milliseconds. The executor charges time beyond it with `charge`. */
  expectedSlotMs: number
  item: Item
}

/** A queue that shares slot time between workspaces by their weights. */
export interface RequestQueue<Item> {
  /** Adds an entry. @returns false when the queue is full for the workspace; the entry is then not added */
  enqueue: (entry: RequestQueueEntry<Item>) => boolean
  /**
   * Removes the first item in fair order for which the predicate returns true; items before it keep their places.
   * The predicate is not called again once it has returned true.
   * @returns the item, or null when there is none
   */
  pop: (canRun: (item: Item) => boolean) => Item | null
  /** Removes an entry. @returns whether the entry was in the queue */
  cancel: (id: string) => boolean
  /** Charges used time, in milliseconds, to a workspace, which moves its next requests back in the fair order. */
  charge: (workspace: WorkspaceId, usedMs: number) => void
  /** Removes the entries whose deadline has passed. @returns their items */
  drainExpired: () => Item[]
  /** @returns the estimated wait of a new request of the workspace, in milliseconds */
  estimateWaitMs: (workspace: WorkspaceId) => number
  /** @returns the number of entries */
  size: () => number
}

export interface RequestQueueOptions {
  clock: Clock
  /** @returns the weight of a workspace in the current manifest */
  weightOf: (workspace: WorkspaceId) => number
  /** @returns the number of slots that serve the queue now */
  slots: () => number
}

export type CreateRequestQueue = <Item>(options: RequestQueueOptions) => RequestQueue<Item>
