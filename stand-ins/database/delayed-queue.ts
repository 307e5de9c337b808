/** Delivers items in order, each after its delay. */
export interface DelayedQueue<Item> {
  push: (item: Item, delayMs: number) => void
  /** Delivers the items that are due. Call it when `isHeld` may have changed to false. */
  deliverDue: () => void
  clear: () => void
}

interface QueuedItem<Item> {
  item: Item
  dueAt: number
}

/**
 * Creates an empty queue. An item never overtakes an earlier one, even with a shorter delay.
 * @param isHeld - whether the queue keeps all items for now
 * @param deliver - receives one item
 */
export function createDelayedQueue<Item> (isHeld: () => boolean, deliver: (item: Item) => void): DelayedQueue<Item> {
  const queued: QueuedItem<Item>[] = []
  let timer: NodeJS.Timeout | null = null
  let lastDueAt = 0

  function clear (): void {
    queued.length = 0
    if (timer !== null) clearTimeout(timer)
    timer = null
  }

  function deliverDue (): void {
    while (!isHeld()) {
      const next = queued[0]
      if (next === undefined) return
      const remaining = next.dueAt - performance.now()
      if (remaining > 0) {
        timer ??= setTimeout(() => {
          timer = null
          deliverDue()
        }, Math.ceil(remaining))
        return
      }
      queued.shift()
      deliver(next.item)
    }
  }

  function push (item: Item, delayMs: number): void {
    if (delayMs <= 0 && queued.length === 0 && !isHeld()) {
      deliver(item)
      return
    }
    lastDueAt = Math.max(lastDueAt, performance.now() + delayMs)
    queued.push({ item, dueAt: lastDueAt })
    deliverDue()
  }

  return { push, deliverDue, clear }
}
