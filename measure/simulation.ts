import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { createIndexedHeap } from '../src/utils/indexed-heap.js'

/** Simulated time and the events that are due in it. */
export interface Simulation {
  /** @returns simulated time in milliseconds */
  now: () => number
  /** Runs an action after a delay. */
  after: (delayMs: number, action: () => void) => void
  /** Runs all events up to a point in time. */
  runUntil: (time: number) => void
}

/** @returns a simulation at time 0 */
export function createSimulation (): Simulation {
  const events = createIndexedHeap<() => void>()
  let time = 0

  function after (delayMs: number, action: () => void): void {
    // A new function, since one action may be due several times.
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

const randomSteps = 2 ** 30

/** @returns a generator of numbers from 0 up to, but not including, 1 */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformInt(generator, 0, randomSteps - 1) / randomSteps
}

/** @returns a time between two events of a Poisson process, in milliseconds */
export function exponentialDelay (perSecond: number, random: () => number): number {
  return -Math.log(1 - random()) * 1000 / perSecond
}
