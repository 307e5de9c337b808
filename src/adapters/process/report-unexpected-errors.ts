import type { LogEvent } from '../../types/log-event.js'

/** Time to write the log line before the process ends, in milliseconds. */
const FINAL_LOG_MS = 300
const EXIT_UNEXPECTED_ERROR = 1

/**
 * Logs errors that reach the top of the event loop, from a timer, a socket or a rejected promise.
 * @param policy - `continue`: only the task that failed ends, which suits a process without durable state. `exit`: the process ends, since
 * its state could be inconsistent, and is restarted from its data folder.
 */
export function reportUnexpectedErrors (logEvent: LogEvent, policy: 'continue' | 'exit'): void {
  function report (error: unknown): void {
    logEvent('unexpectedError', { message: error instanceof Error ? error.stack ?? error.message : String(error) })
    if (policy === 'exit') setTimeout(() => { process.exit(EXIT_UNEXPECTED_ERROR) }, FINAL_LOG_MS)
  }

  process.on('uncaughtException', report)
  process.on('unhandledRejection', report)
}
