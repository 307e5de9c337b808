import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { createIndexedHeap } from '../src/utils/indexed-heap.js'

/** A discrete-event simulation: a simulated clock and the actions scheduled on it. */
export interface Simulation {
  /** @returns simulated time in milliseconds */
  now: () => number
  /** Schedules an action. A negative delay counts as 0. */
  after: (delayMs: number, action: () => void) => void
  /** Runs all actions that are due up to `time` (milliseconds, inclusive), in order, and sets the clock to it. */
  runUntil: (time: number) => void
}

/** @returns a simulation at time 0 */
export function createSimulation (): Simulation {
  const events = createIndexedHeap<() => void>()
  let time = 0

  function after (delayMs: number, action: () => void): void {
    // The heap is keyed by function, so the same action scheduled twice needs two functions.
    events.set(() => action(), time + Math.max(0, delayMs))
  }

  function runUntil (end: number): void {
    for (let next = events.peek(); next !== undefined && next.priority <= end; next = events.peek()) {
      events.remove(next.key)
      time = next.priority
      next.key()
    }
    time = end
  }

  return { now: () => time, after, runUntil }
}

const RANDOM_STEPS = 2 ** 30

/** @returns a random number generator that yields the same numbers from 0 (inclusive) to 1 (exclusive) for the same seed */
export function createSimulationRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS
}

/** @returns a random time between two events of a Poisson process with a mean of `perSecond` events per second, in milliseconds */
export function drawExponentialDelayMs (perSecond: number, random: () => number): number {
  return -Math.log(1 - random()) * 1000 / perSecond
}
