/** Statements that run at a time; more wait in arrival order. */
export interface Slots {
  run: <Value>(work: () => Promise<Value>) => Promise<Value>
  counts: () => SlotCounts
}

export interface SlotCounts {
  running: number
  waiting: number
  highestRunning: number
  highestWaiting: number
  /** Highest number of statements running and waiting at the same moment. */
  highestTotal: number
}

/** @returns `size` free slots */
export function createSlots (size: number): Slots {
  const queue: (() => void)[] = []
  const counts: SlotCounts = { running: 0, waiting: 0, highestRunning: 0, highestWaiting: 0, highestTotal: 0 }

  function count (): void {
    counts.waiting = queue.length
    counts.highestRunning = Math.max(counts.highestRunning, counts.running)
    counts.highestWaiting = Math.max(counts.highestWaiting, counts.waiting)
    counts.highestTotal = Math.max(counts.highestTotal, counts.running + counts.waiting)
  }

  async function take (): Promise<void> {
    if (counts.running < size) {
      counts.running++
      count()
      return
    }
    await new Promise<void>((resolve) => {
      queue.push(resolve)
      count()
    })
  }

  function give (): void {
    const next = queue.shift()
    if (next === undefined) counts.running--
    else next()
    count()
  }

  async function run<Value> (work: () => Promise<Value>): Promise<Value> {
    await take()
    try {
      return await work()
    } finally {
      give()
    }
  }

  return { run, counts: () => ({ ...counts }) }
}
