import { write } from 'node:fs'

export interface LineWriterOptions {
  /** Writes a text to the output without blocking; calls back when done. Default: standard output. */
  writeText?: (text: string, done: () => void) => void
  /** Lines per second that are written on average. Default 200. */
  linesPerSecond?: number
  /** Lines that may come at once. Default 400. */
  burst?: number
  /** Bytes that may wait for the output. Default 256 KiB. */
  maxWaitingBytes?: number
  /** Calls back once, a little later. Default: after 200 ms, without keeping the process alive. */
  callLater?: (callback: () => void) => void
  /** @returns time in milliseconds */
  now: () => number
  /** Makes the line that tells how many lines were dropped. */
  composeDropped: (dropped: number) => string
}

export interface LineWriter {
  /** Takes a line; drops it when there are too many or the output does not keep up. */
  write: (line: string) => void
  /** @returns lines dropped so far */
  droppedCount: () => number
}

const STANDARD_OUTPUT = 1
/** Lines are collected for this long, in milliseconds, since each write costs a system call. */
const COLLECT_MS = 200

function writeToStandardOutput (text: string, done: () => void): void {
  // A full or closed output must neither block nor end the process; what is not taken is lost.
  write(STANDARD_OUTPUT, text, () => { done() })
}

/** Creates a writer of bounded volume that never blocks. */
export function createLineWriter (options: LineWriterOptions): LineWriter {
  const { now, composeDropped } = options
  const callLater = options.callLater ?? ((callback) => { setTimeout(callback, COLLECT_MS).unref() })
  const writeText = options.writeText ?? writeToStandardOutput
  const linesPerSecond = options.linesPerSecond ?? 200
  const burst = options.burst ?? 400
  const maxWaitingBytes = options.maxWaitingBytes ?? 256 * 1024
  let tokens = burst
  let countedAt = now()
  let waiting: string[] = []
  let waitingBytes = 0
  let isWriting = false
  let isScheduled = false
  let dropped = 0
  let droppedTotal = 0

  function flush (): void {
    isScheduled = false
    if (isWriting || waiting.length === 0) return
    const text = waiting.join('')
    waiting = []
    waitingBytes = 0
    isWriting = true
    writeText(text, () => {
      isWriting = false
      if (waiting.length > 0) schedule()
    })
  }

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    callLater(flush)
  }

  function add (line: string): void {
    waiting.push(line + '\n')
    waitingBytes += line.length + 1
    schedule()
  }

  return {
    droppedCount: () => droppedTotal,
    write: (line) => {
      const time = now()
      tokens = Math.min(burst, tokens + (time - countedAt) * linesPerSecond / 1000)
      countedAt = time
      if (tokens < 1 || waitingBytes > maxWaitingBytes) {
        dropped++
        droppedTotal++
        return
      }
      tokens--
      if (dropped > 0) {
        const line = composeDropped(dropped)
        dropped = 0
        add(line)
      }
      add(line)
    }
  }
}
