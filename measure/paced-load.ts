import type { Random } from '../src/utils/create-random.js'

const POLL_INTERVAL_MS = 2
const MS_PER_SECOND = 1000

export interface PacedLoadOptions {
  random: Random
  /** Arrivals per second. */
  rate: number
  durationMs: number
  /** Called once for each arrival, even while earlier calls are in flight. */
  call: () => Promise<void>
}

/** Starts calls as a Poisson process. Resolves when all calls have ended. */
export async function runPacedLoad ({ random, rate, durationMs, call }: PacedLoadOptions): Promise<void> {
  const startedAt = performance.now()
  const calls: Promise<void>[] = []
  const drawPauseMs = (): number => -Math.log(1 - random()) * MS_PER_SECOND / rate
  let nextAt = startedAt + drawPauseMs()
  while (nextAt < startedAt + durationMs) {
    while (nextAt <= performance.now() && nextAt < startedAt + durationMs) {
      calls.push(call())
      nextAt += drawPauseMs()
    }
    await new Promise((resolve) => { setTimeout(resolve, POLL_INTERVAL_MS) })
  }
  await Promise.all(calls)
}
