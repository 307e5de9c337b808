import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a number at or above 0 and below 1. */
export type Random = () => number

/** @returns a random source that repeats its sequence for the same seed */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
