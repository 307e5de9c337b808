import log from 'loglevel'
import type { LogDetails, LogEvent, LogEventName, LogLevel } from '../../types/log-event.js'
import { logEvents } from '../../types/log-event.js'

export interface LoggerOptions {
  /** Name of the instance, included in each line. */
  instance: string
  level: LogLevel
  /** Writes one finished line. Default: to standard error. */
  write?: (line: string) => void
  /** @returns wall clock time; default: the clock of the host */
  timeOfDay?: () => Date
}

/** @returns a function that writes numbered events as JSON lines */
export function createLogger (options: LoggerOptions): LogEvent {
  const write = options.write ?? ((line) => { process.stderr.write(line + '\n') })
  const timeOfDay = options.timeOfDay ?? (() => new Date())
  const logger = log.getLogger(`catkinrelay ${options.instance}`)
  logger.methodFactory = () => (line: string) => { write(line) }
  logger.setLevel(options.level, false)

  return (name: LogEventName, details: LogDetails = {}) => {
    const { event, level, name: eventName } = logEvents[name]
    logger[level](JSON.stringify({ time: timeOfDay().toISOString(), level, event, name: eventName, instance: options.instance, ...details }))
  }
}
