import { write, writeSync } from 'node:fs'

export interface LineWriterOptions {
  /** Writes a text to the output without blocking; calls back when done. Default: standard output. */
  writeText?: (text: string, done: () => void) => void
  /** Lines per second accepted on average. Default 200. */
  linesPerSecond?: number
  /** Lines accepted at once above that rate. Default 400. */
  burst?: number
  /** Bytes that may be queued for the output. Default 256 KiB. */
  maxQueuedBytes?: number
  /** Schedules one callback. Default: after 200 ms, with a timer that does not keep the process alive. */
  callLater?: (callback: () => void) => void
  /** Writes a text to the output before it returns. Default: standard output. */
  writeTextNow?: (text: string) => void
  /** @returns time in milliseconds */
  now: () => number
  /** @returns the line that reports the number of dropped lines */
  composeDroppedLine: (dropped: number) => string
}

export interface LineWriter {
  /** Queues a line; drops it when lines exceed the rate or the output is too slow. */
  write: (line: string) => void
  /** Writes the queued lines at once. For the end of the process, after which no callback runs. */
  writeQueuedLines: () => void
  /** @returns number of lines dropped so far */
  countDropped: () => number
}

const STANDARD_OUTPUT = 1
/** Time in which lines are collected for one write, in milliseconds, since each write costs a system call. */
const LINE_COLLECTION_MS = 200

function writeToStandardOutput (text: string, done: () => void): void {
  // A full or closed output must neither block nor end the process, so lines that it does not accept are lost.
  write(STANDARD_OUTPUT, text, () => { done() })
}

function writeToStandardOutputNow (text: string): void {
  try {
    writeSync(STANDARD_OUTPUT, text)
  } catch {
    // The output is full or closed, and the process ends: there is no other place to report the loss.
  }
}

/** Creates a line writer that never blocks and limits the rate and the memory of its lines. */
export function createLineWriter (options: LineWriterOptions): LineWriter {
  const { now, composeDroppedLine } = options
  const callLater = options.callLater ?? ((callback) => { setTimeout(callback, LINE_COLLECTION_MS).unref() })
  const writeText = options.writeText ?? writeToStandardOutput
  const writeTextNow = options.writeTextNow ?? writeToStandardOutputNow
  const linesPerSecond = options.linesPerSecond ?? 200
  const burst = options.burst ?? 400
  const maxQueuedBytes = options.maxQueuedBytes ?? 256 * 1024
  let tokens = burst
  let lastRefillAt = now()
  let queuedLines: string[] = []
  let queuedBytes = 0
  let isWriting = false
  let isScheduled = false
  let dropped = 0
  let droppedTotal = 0

  function takeQueuedText (): string {
    const text = queuedLines.join('')
    queuedLines = []
    queuedBytes = 0
    return text
  }

  function flush (): void {
    isScheduled = false
    if (isWriting || queuedLines.length === 0) return
    isWriting = true
    writeText(takeQueuedText(), () => {
      isWriting = false
      if (queuedLines.length > 0) schedule()
    })
  }

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    callLater(flush)
  }

  function enqueue (line: string): void {
    queuedLines.push(line + '\n')
    queuedBytes += Buffer.byteLength(line) + 1
    schedule()
  }

  return {
    countDropped: () => droppedTotal,
    writeQueuedLines: () => { if (queuedLines.length > 0) writeTextNow(takeQueuedText()) },
    write: (line) => {
      const time = now()
      tokens = Math.min(burst, tokens + (time - lastRefillAt) * linesPerSecond / 1000)
      lastRefillAt = time
      if (tokens < 1 || queuedBytes > maxQueuedBytes) {
        dropped++
        droppedTotal++
        return
      }
      tokens--
      if (dropped > 0) {
        const droppedLine = composeDroppedLine(dropped)
        dropped = 0
        enqueue(droppedLine)
      }
      enqueue(line)
    }
  }
}
