import type { Milliseconds } from '../../types/clock.js'

/** Estimates the rate of arrivals. */
export interface ArrivalWindow {
  add: (now: Milliseconds) => void
  /** @returns arrivals per second at present */
  rate: (now: Milliseconds) => number
}

export interface ArrivalWindowOptions {
  /** Shortest time that is looked back, in milliseconds. */
  minLengthMs: number
  /** Longest time that is looked back, in milliseconds. */
  maxLengthMs: number
}

/** Arrivals that are enough for an estimate; looking further back would only make it slower to follow a change. */
const enoughArrivals = 20

/** Parts of the shortest window. */
const partsPerMinLength = 4

/** @returns a window without arrivals */
export function createArrivalWindow (options: ArrivalWindowOptions): ArrivalWindow {
  const partMs = options.minLengthMs / partsPerMinLength
  const partCount = Math.ceil(options.maxLengthMs / partMs)
  const counts = new Array<number>(partCount + 1).fill(0)
  let lastPart = 0

  function advance (now: Milliseconds): void {
    const part = Math.floor(now / partMs)
    for (let next = Math.max(lastPart + 1, part - partCount); next <= part; next++) counts[next % counts.length] = 0
    lastPart = Math.max(lastPart, part)
  }

  function add (now: Milliseconds): void {
    advance(now)
    const index = lastPart % counts.length
    counts[index] = (counts[index] as number) + 1
  }

  function rate (now: Milliseconds): number {
    advance(now)
    let arrivals = 0
    let back = 0
    while (back <= partCount && (back <= partsPerMinLength || arrivals < enoughArrivals)) {
      arrivals += counts[(lastPart - back + counts.length) % counts.length] as number
      back++
    }
    const lengthMs = (back - 1) * partMs + (now - lastPart * partMs)
    return arrivals * 1000 / lengthMs
  }

  return { add, rate }
}
