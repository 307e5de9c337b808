/** Values and prepared statements of one session, as far as their memory is concerned. */
export interface SessionMemoryAccount {
  /**
   * Counts a text that the session keeps, in place of the former text of the same name.
   * @returns false when there is no memory for it; the former text then still counts
   */
  keep: (name: string, bytes: number) => boolean
  /** Ends the count of a text. */
  drop: (name: string) => void
  /** Ends the count of the whole session. */
  close: () => void
}

export interface SessionMemory {
  open: () => SessionMemoryAccount
}

/** Largest part of the memory that one session gets. */
const MAX_SESSION_SHARE = 0.25
/** Memory of a kept text besides its characters, in bytes: about that of its name and its place in a map. */
const TEXT_OVERHEAD_BYTES = 128

/**
 * Handles sessions that keep ever more values and prepared statements, which no rate limits since they need no database.
 * @param limitBytes - memory for all sessions in bytes; one session gets a quarter at most
 */
export function createSessionMemory (limitBytes: number): SessionMemory {
  let usedBytes = 0

  function open (): SessionMemoryAccount {
    const sizes = new Map<string, number>()
    let sessionBytes = 0

    function count (name: string, bytes: number): void {
      const change = bytes - (sizes.get(name) ?? 0)
      sessionBytes += change
      usedBytes += change
      if (bytes === 0) sizes.delete(name)
      else sizes.set(name, bytes)
    }

    return {
      keep: (name, textBytes) => {
        const bytes = textBytes + name.length + TEXT_OVERHEAD_BYTES
        const change = bytes - (sizes.get(name) ?? 0)
        if (change > 0 && (usedBytes + change > limitBytes || sessionBytes + change > limitBytes * MAX_SESSION_SHARE)) return false
        count(name, bytes)
        return true
      },
      drop: (name) => { count(name, 0) },
      close: () => {
        usedBytes -= sessionBytes
        sessionBytes = 0
        sizes.clear()
      }
    }
  }

  return { open }
}
