import type { Incident, IncidentsReport } from '../types/operator-report.js'
import type { LogLevel } from '../types/log-event.js'
import { logEvents } from '../types/log-event.js'
import { formatReportHead, wrapLine } from './text-lines.js'

const LEVEL_ORDER: LogLevel[] = ['error', 'warn', 'info', 'debug']

function formatIncident ({ event, name, level, firstAt, lastAt, count, details }: Incident): string[] {
  const timeText = count === 1 ? lastAt.slice(0, 19) + 'Z' : `${count} times, ${firstAt.slice(0, 19)}Z to ${lastAt.slice(0, 19)}Z`
  const values = Object.entries(details).map(([field, value]) => `${field} ${String(value)}`).join(', ')
  return [
    ...wrapLine(`${level.toUpperCase()} ${event} ${logEvents[name].name}`),
    ...wrapLine(`  ${timeText}`),
    ...(values === '' ? [] : wrapLine(`  ${values}`))
  ]
}

/** @returns the report as lines of text: errors first, then warnings, newest first within a level */
export function formatIncidentsReport (report: IncidentsReport): string[] {
  const lines = formatReportHead(report)
  lines.push(...wrapLine(`Seen by ${report.madeBy} since it started:`))
  const ordered = [...report.incidents].sort((left, right) => LEVEL_ORDER.indexOf(left.level) - LEVEL_ORDER.indexOf(right.level) || right.lastAt.localeCompare(left.lastAt))
  lines.push(...(ordered.length === 0 ? ['no incidents'] : ordered.flatMap(formatIncident)))
  if (report.dropped > 0) lines.push(...wrapLine(`${report.dropped} older incidents are not kept`))
  return lines
}
