import type { Random } from '../src/utils/create-random.js'

/** Time between looks at the arrivals that are due, in milliseconds. */
const STEP_MS = 2
const MS_PER_SECOND = 1000

export interface PacedLoadOptions {
  random: Random
  /** Arrivals per second. */
  rate: number
  durationMs: number
  /** Called once for each arrival, whether or not earlier ones have ended. */
  call: () => Promise<void>
}

/** Sends calls with exponentially distributed pauses. Resolves once the last call has ended. */
export async function runPacedLoad ({ random, rate, durationMs, call }: PacedLoadOptions): Promise<void> {
  const startedAt = performance.now()
  const calls: Promise<void>[] = []
  const pause = (): number => -Math.log(1 - random()) * MS_PER_SECOND / rate
  let nextAt = startedAt + pause()
  while (nextAt < startedAt + durationMs) {
    while (nextAt <= performance.now() && nextAt < startedAt + durationMs) {
      calls.push(call())
      nextAt += pause()
    }
    await new Promise((resolve) => { setTimeout(resolve, STEP_MS) })
  }
  await Promise.all(calls)
}
