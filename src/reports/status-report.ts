import type { ControlSummary, FailoverSummary } from '../types/control-summary.js'
import type { GroupRow, ReportHead, StatusReport } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { instanceRows, PROOF_MS } from './in-force-report.js'
import { ageText, headLines, wrapLine } from './text-lines.js'

const DIGEST_SHOWN = 12

/** @returns an overview of the deployment */
export function statusReport (head: ReportHead, state: ReplicatedState, summary: ControlSummary): StatusReport {
  const none = { 'in-force': 0, behind: 0, unknown: 0 }
  if (!head.freshness.proven) {
    return { report: 'status', ...head, manifestVersion: null, manifestDigest: null, committedBy: null, instances: none, groups: [], silentDatabases: [] }
  }
  const rows = instanceRows(summary.instances, state.manifestVersion)
  const accepted = state.acceptedDigests.find(({ version }) => version === state.manifestVersion)
  const counts = rows.reduce((sum, row) => ({ ...sum, [row.state]: sum[row.state] + 1 }), none)
  return {
    report: 'status',
    ...head,
    manifestVersion: state.manifestVersion,
    manifestDigest: accepted?.digest ?? null,
    committedBy: accepted?.operator ?? null,
    instances: counts,
    groups: summary.groups.map(({ group, phase, term, primary, holders, lastFailover }) => ({ group, phase, term, primary, holders, lastFailover })),
    silentDatabases: summary.databases.filter((database) => database.silentForMs > PROOF_MS).map((database) => database.database)
  }
}

function isServing (group: GroupRow): boolean {
  return group.phase === 'serving' && group.primary !== null && group.holders.length > 0
}

function groupLines (group: GroupRow): string[] {
  const { lastFailover } = group
  const last = lastFailover === null
    ? []
    : wrapLine(lastFailoverText(lastFailover))
  const primary = group.primary === null ? 'NO PRIMARY' : `primary ${group.primary}`
  const holders = group.holders.length === 0 ? 'NO HOLDER' : `${group.holders.length} holders`
  return [
    ...wrapLine(`${isServing(group) ? '' : 'NOT SERVING '}${group.group}: ${group.phase}, term ${group.term}`),
    ...wrapLine(`  ${primary}, ${holders}`),
    ...last
  ]
}

/** @returns the report as text, worst news first */
export function statusText (report: StatusReport): string[] {
  const lines = headLines(report)
  if (report.manifestVersion === null) return lines
  const { instances } = report
  if (instances.unknown > 0) lines.push(...wrapLine(`UNKNOWN: ${instances.unknown} instances`))
  if (instances.behind > 0) lines.push(...wrapLine(`BEHIND: ${instances.behind} instances`))
  lines.push(...report.silentDatabases.flatMap((database) => wrapLine(`SILENT: database ${database}`)))
  lines.push(...report.groups.filter((group) => !isServing(group)).flatMap(groupLines))
  lines.push(...wrapLine(`${instances['in-force']} instances have version ${report.manifestVersion} in force`))
  if (report.manifestDigest !== null) lines.push(...wrapLine(`  content ${report.manifestDigest.slice(0, DIGEST_SHOWN)}, committed by ${report.committedBy ?? 'an unknown operator'}`))
  return [...lines, ...report.groups.filter(isServing).flatMap(groupLines)]
}

function lastFailoverText ({ planned, gapMs, endedMsAgo }: FailoverSummary): string {
  if (gapMs === null) return `  first started ${ageText(endedMsAgo)} ago`
  return `  last ${planned ? 'switchover' : 'failover'} ${ageText(endedMsAgo)} ago, gap ${ageText(gapMs)}`
}
