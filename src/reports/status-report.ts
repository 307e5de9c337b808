import type { ControlSummary, FailoverSummary } from '../types/control-summary.js'
import type { GroupRow, ReportHead, StatusReport } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { buildInstanceRows, MAX_OBSERVATION_AGE_MS } from './in-force-report.js'
import { formatAge, formatReportHead, wrapLine } from './text-lines.js'

const SHOWN_DIGEST_DIGITS = 12

/** Builds the overview of the deployment. It is empty unless the head states a leadership confirmation. */
export function buildStatusReport (head: ReportHead, state: ReplicatedState, summary: ControlSummary): StatusReport {
  const zeroCounts = { 'in-force': 0, behind: 0, unknown: 0 }
  if (!head.freshness.proven) {
    return { report: 'status', ...head, manifestVersion: null, manifestDigest: null, committedBy: null, instances: zeroCounts, groups: [], silentDatabases: [] }
  }
  const rows = buildInstanceRows(summary.instances, state.manifestVersion)
  const accepted = state.acceptedDigests.find(({ version }) => version === state.manifestVersion)
  const counts = rows.reduce((sum, row) => ({ ...sum, [row.state]: sum[row.state] + 1 }), zeroCounts)
  return {
    report: 'status',
    ...head,
    manifestVersion: state.manifestVersion,
    manifestDigest: accepted?.digest ?? null,
    committedBy: accepted?.operator ?? null,
    instances: counts,
    groups: summary.groups.map(({ group, phase, term, primary, holders, lastFailover }) => ({ group, phase, term, primary, holders, lastFailover })),
    silentDatabases: summary.databases.filter((database) => database.silentForMs > MAX_OBSERVATION_AGE_MS).map((database) => database.database)
  }
}

function isServing (group: GroupRow): boolean {
  return group.phase === 'serving' && group.primary !== null && group.holders.length > 0
}

function formatGroup (group: GroupRow): string[] {
  const { lastFailover } = group
  const failoverLines = lastFailover === null
    ? []
    : wrapLine(formatLastFailover(lastFailover))
  const primary = group.primary === null ? 'NO PRIMARY' : `primary ${group.primary}`
  const holders = group.holders.length === 0 ? 'NO HOLDER' : `${group.holders.length} holders`
  return [
    ...wrapLine(`${isServing(group) ? '' : 'NOT SERVING '}${group.group}: ${group.phase}, term ${group.term}`),
    ...wrapLine(`  ${primary}, ${holders}`),
    ...failoverLines
  ]
}

/** @returns the report as lines of text, problems first */
export function formatStatusReport (report: StatusReport): string[] {
  const lines = formatReportHead(report)
  if (report.manifestVersion === null) return lines
  const { instances } = report
  if (instances.unknown > 0) lines.push(...wrapLine(`UNKNOWN: ${instances.unknown} instances`))
  if (instances.behind > 0) lines.push(...wrapLine(`BEHIND: ${instances.behind} instances`))
  lines.push(...report.silentDatabases.flatMap((database) => wrapLine(`SILENT: database ${database}`)))
  lines.push(...report.groups.filter((group) => !isServing(group)).flatMap(formatGroup))
  lines.push(...wrapLine(`${instances['in-force']} instances have version ${report.manifestVersion} in force`))
  if (report.manifestDigest !== null) lines.push(...wrapLine(`  content ${report.manifestDigest.slice(0, SHOWN_DIGEST_DIGITS)}, committed by ${report.committedBy ?? 'an unknown operator'}`))
  return [...lines, ...report.groups.filter(isServing).flatMap(formatGroup)]
}

function formatLastFailover ({ planned, gapMs, endedMsAgo }: FailoverSummary): string {
  if (gapMs === null) return `  first started ${formatAge(endedMsAgo)} ago`
  return `  last ${planned ? 'switchover' : 'failover'} ${formatAge(endedMsAgo)} ago, gap ${formatAge(gapMs)}`
}
