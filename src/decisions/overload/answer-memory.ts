/** One answer that a database sends, or that a caller has not read yet. */
export interface AnswerAccount {
  /** Counts bytes that were received or that wait for the caller. */
  add: (bytes: number) => void
  /** Counts bytes that were handed on. */
  remove: (bytes: number) => void
  /** Ends the account and removes all its bytes. */
  close: () => void
}

/** Counts the memory of all answers of a process, and decides when answers are not read any more. */
export interface AnswerMemory {
  /** Opens the account of an answer that a database sends. @param setReading - called when reading from the database has to stop or to go on */
  openReceived: (setReading: (isReading: boolean) => void) => AnswerAccount
  /** Opens the account of answers that a caller has not read. @param closeConnection - called when the connection of the caller has to be closed */
  openUnread: (closeConnection: () => void) => AnswerAccount
  /** Closes the connection that holds most unread bytes if the memory has been full since the last call. Called at intervals of about a second. */
  tick: () => void
}

interface Entry {
  bytes: number
  isReading: boolean
  setReading: (isReading: boolean) => void
}

/**
 * Handles answers that callers do not read. When the memory is full, answers of databases are not read further, except for the oldest one, which
 * completes so that its memory can be freed. When unread answers alone fill the memory, none is read, and the caller that holds most is
 * closed unless the memory is freed within an interval.
 * @param limitBytes - memory for all answers in bytes
 */
export function createAnswerMemory (limitBytes: number): AnswerMemory {
  const received = new Set<Entry>()
  const unread = new Set<{ bytes: number, closeConnection: () => void }>()
  let receivedBytes = 0
  let unreadBytes = 0
  let wasFull = false
  let isPausing = false

  function updateReading (): void {
    const isFull = receivedBytes + unreadBytes >= limitBytes
    if (!isFull && !isPausing) return
    isPausing = isFull
    let isOldest = true
    for (const entry of received) {
      const isReading = !isFull || (isOldest && unreadBytes < limitBytes)
      isOldest = false
      if (isReading === entry.isReading) continue
      entry.isReading = isReading
      entry.setReading(isReading)
    }
  }

  function openReceived (setReading: (isReading: boolean) => void): AnswerAccount {
    const entry: Entry = { bytes: 0, isReading: true, setReading }
    function add (bytes: number): void {
      entry.bytes += bytes
      receivedBytes += bytes
      received.add(entry)
      updateReading()
    }
    function close (): void {
      receivedBytes -= entry.bytes
      entry.bytes = 0
      received.delete(entry)
      if (!entry.isReading) {
        entry.isReading = true
        setReading(true)
      }
      updateReading()
    }
    return { add, remove: (bytes) => { add(-bytes) }, close }
  }

  function openUnread (closeConnection: () => void): AnswerAccount {
    const entry = { bytes: 0, closeConnection }
    function add (bytes: number): void {
      entry.bytes += bytes
      unreadBytes += bytes
      if (entry.bytes > 0) unread.add(entry)
      else unread.delete(entry)
      updateReading()
    }
    return { add, remove: (bytes) => { add(-bytes) }, close: () => { add(-entry.bytes) } }
  }

  function tick (): void {
    const isFull = unreadBytes >= limitBytes
    if (isFull && wasFull) [...unread].reduce((most, entry) => entry.bytes > most.bytes ? entry : most).closeConnection()
    wasFull = isFull
  }

  return { openReceived, openUnread, tick }
}
