import type { Brand } from './brand.js'

/** A point in time of a `Clock`, or a duration, in milliseconds. */
export type Milliseconds = Brand<number, 'Milliseconds'>

export const milliseconds = (value: number): Milliseconds => value as Milliseconds

/** Clock of one process, which never goes backwards. Its values can't be compared with those of another process or another clock. */
export interface Clock {
  /** @returns the time in milliseconds since an arbitrary start */
  now: () => Milliseconds
}

/** @returns the latest of some points in time */
export const latest = (first: Milliseconds, ...others: Milliseconds[]): Milliseconds => Math.max(first, ...others) as Milliseconds

/** @returns the point in time `duration` after `start` */
export const addTime = (start: Milliseconds, duration: number): Milliseconds => (start + duration) as Milliseconds
