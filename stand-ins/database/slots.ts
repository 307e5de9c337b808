/** Limits how many statements run at the same time. Further statements wait in order of arrival. */
export interface Slots {
  /** Runs the work as soon as a slot is free. @returns the result of the work */
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

/** @param size - number of slots */
export function createSlots (size: number): Slots {
  const queue: (() => void)[] = []
  const counts: SlotCounts = { running: 0, waiting: 0, highestRunning: 0, highestWaiting: 0, highestTotal: 0 }

  function recordCounts (): void {
    counts.waiting = queue.length
    counts.highestRunning = Math.max(counts.highestRunning, counts.running)
    counts.highestWaiting = Math.max(counts.highestWaiting, counts.waiting)
    counts.highestTotal = Math.max(counts.highestTotal, counts.running + counts.waiting)
  }

  async function acquireSlot (): Promise<void> {
    if (counts.running < size) {
      counts.running++
      recordCounts()
      return
    }
    await new Promise<void>((resolve) => {
      queue.push(resolve)
      recordCounts()
    })
  }

  function releaseSlot (): void {
    const next = queue.shift()
    if (next === undefined) counts.running--
    else next()
    recordCounts()
  }

  async function run<Value> (work: () => Promise<Value>): Promise<Value> {
    await acquireSlot()
    try {
      return await work()
    } finally {
      releaseSlot()
    }
  }

  return { run, counts: () => ({ ...counts }) }
}
