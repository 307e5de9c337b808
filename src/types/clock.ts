import type { Brand } from './brand.js'

/** A point in monotonic time or a duration, in milliseconds. */
export type Milliseconds = Brand<number, 'Milliseconds'>

export const milliseconds = (value: number): Milliseconds => value as Milliseconds

/** Monotonic time of one process. Values of different processes can't be compared. */
export interface Clock {
  /** @returns monotonic time in milliseconds */
  now: () => Milliseconds
}

/** @returns the point in time `duration` after `start` */
export const addTime = (start: Milliseconds, duration: number): Milliseconds => (start + duration) as Milliseconds
