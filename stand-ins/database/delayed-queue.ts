/** Hands items on in order, each not before its time. */
export interface DelayedQueue<Item> {
  push: (item: Item, delayMs: number) => void
  /** Tries again after `held` may have changed. */
  pump: () => void
  clear: () => void
}

interface Waiting<Item> {
  item: Item
  dueAt: number
}

/**
 * @param held - whether items are kept back for now
 * @param deliver - takes one item
 */
export function createDelayedQueue<Item> (held: () => boolean, deliver: (item: Item) => void): DelayedQueue<Item> {
  const waiting: Waiting<Item>[] = []
  let timer: NodeJS.Timeout | null = null
  let lastDueAt = 0

  function clear (): void {
    waiting.length = 0
    if (timer !== null) clearTimeout(timer)
    timer = null
  }

  function pump (): void {
    while (!held()) {
      const next = waiting[0]
      if (next === undefined) return
      const remaining = next.dueAt - performance.now()
      if (remaining > 0) {
        timer ??= setTimeout(() => {
          timer = null
          pump()
        }, Math.ceil(remaining))
        return
      }
      waiting.shift()
      deliver(next.item)
    }
  }

  function push (item: Item, delayMs: number): void {
    if (delayMs <= 0 && waiting.length === 0 && !held()) {
      deliver(item)
      return
    }
    lastDueAt = Math.max(lastDueAt, performance.now() + delayMs)
    waiting.push({ item, dueAt: lastDueAt })
    pump()
  }

  return { push, pump, clear }
}
