/** Memory that a holder has reserved, or waits for. */
export interface Reservation {
  /** @returns whether the memory was granted */
  isGranted: () => boolean
  /** Returns the memory, or ends the wait. Further calls have no effect. */
  release: () => void
}

/** Divides a fixed amount of memory among holders, in the order of their requests. */
export interface MemoryReservations {
  /**
   * Reserves memory.
   * @param bytes - a request above the limit gets the memory once nothing else is reserved
   * @param onGranted - called once if the request has to wait, when others have released enough; not called if the memory is granted at once
   */
  reserve: (bytes: number, onGranted: () => void) => Reservation
  /** @returns whether a request waits */
  hasWaiting: () => boolean
  /** @returns bytes that are reserved */
  reservedBytes: () => number
}

/**
 * Handles the load of many large messages at once. Each reserves its memory before it is read, so that as many are read at a time as the
 * memory allows, and each of them can be read to its end. Later ones wait in the order of their requests, and are not refused.
 * @param limitBytes - memory to divide, in bytes
 */
export function createMemoryReservations (limitBytes: number): MemoryReservations {
  const waiting = new Set<{ bytes: number, grant: () => void }>()
  let reserved = 0

  function grantWaiting (): void {
    for (const request of waiting) {
      if (reserved > 0 && reserved + request.bytes > limitBytes) return
      waiting.delete(request)
      reserved += request.bytes
      request.grant()
    }
  }

  function reserve (bytes: number, onGranted: () => void): Reservation {
    let isGranted = false
    let isReleased = false
    let isWaiting = false
    const request = {
      bytes,
      grant: () => {
        isGranted = true
        if (isWaiting) onGranted()
      }
    }

    function release (): void {
      if (isReleased) return
      isReleased = true
      if (isGranted) reserved -= bytes
      waiting.delete(request)
      grantWaiting()
    }

    waiting.add(request)
    grantWaiting()
    isWaiting = !isGranted
    return { isGranted: () => isGranted, release }
  }

  return { reserve, hasWaiting: () => waiting.size > 0, reservedBytes: () => reserved }
}
