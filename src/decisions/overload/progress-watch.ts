import type { Clock } from '../../types/clock.js'

/** Bytes that a transfer has to move within each time limit. The slowest link of a target deployment moves hundreds of times as many. */
const MIN_PROGRESS_BYTES = 1024
/** Time limit while others wait for the memory of the transfer, in milliseconds. */
const CONTENDED_LIMIT_MS = 5000

/** Watches the transfer of one message or answer. */
export interface ProgressWatch {
  /** Begins to watch a transfer, unless one is watched. */
  start: () => void
  /** Ends the watch; the transfer is complete, or waits for this process. */
  stop: () => void
  /** Counts bytes that the transfer has moved. */
  add: (bytes: number) => void
  /** @returns whether the transfer has made too little progress. @param isContended - whether others wait for its memory */
  isStalled: (isContended: boolean) => boolean
}

/**
 * Handles clients that send or read a byte now and then, or stop halfway, and so keep a connection and its memory.
 * @param limitMs - time within which a transfer has to move the least number of bytes, or to end
 */
export function createProgressWatch (clock: Clock, limitMs: number): ProgressWatch {
  let since: number | null = null
  let moved = 0

  return {
    start: () => {
      if (since !== null) return
      since = clock.now()
      moved = 0
    },
    stop: () => { since = null },
    add: (bytes) => {
      moved += bytes
      if (since === null || moved < MIN_PROGRESS_BYTES) return
      since = clock.now()
      moved = 0
    },
    isStalled: (isContended) => since !== null && clock.now() - since > (isContended ? Math.min(limitMs, CONTENDED_LIMIT_MS) : limitMs)
  }
}
