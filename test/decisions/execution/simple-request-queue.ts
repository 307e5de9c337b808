import type { RequestQueueEntry, RequestQueue, RequestQueueOptions } from '../../../src/decisions/execution/request-queue.js'
import type { WorkspaceId } from '../../../src/types/ids.js'

/** Serves the workspace with the least charged time first. */
export function createSimpleQueue<Item> ({ clock, weightOf }: RequestQueueOptions, capacity = 100): RequestQueue<Item> {
  let entries: RequestQueueEntry<Item>[] = []
  const charged = new Map<WorkspaceId, number>()
  const chargedTo = (workspace: WorkspaceId): number => charged.get(workspace) ?? 0
  const charge = (workspace: WorkspaceId, usedMs: number): void => { charged.set(workspace, chargedTo(workspace) + usedMs / weightOf(workspace)) }

  function remove (matches: (entry: RequestQueueEntry<Item>) => boolean): RequestQueueEntry<Item>[] {
    const removed = entries.filter(matches)
    entries = entries.filter((entry) => !removed.includes(entry))
    return removed
  }

  function pop (canRun: (item: Item) => boolean): Item | null {
    const ordered = [...entries].sort((left, right) => chargedTo(left.workspace) - chargedTo(right.workspace))
    const next = ordered.find((entry) => canRun(entry.item))
    if (next === undefined) return null
    remove((entry) => entry === next)
    charge(next.workspace, next.expectedSlotMs)
    return next.item
  }

  return {
    enqueue: (entry) => entries.length < capacity && entries.push(entry) > 0,
    pop,
    cancel: (id) => remove((entry) => entry.id === id).length > 0,
    charge,
    drainExpired: () => remove((entry) => entry.deadline <= clock.now()).map((entry) => entry.item),
    estimateWaitMs: () => entries.length,
    size: () => entries.length
  }
}
