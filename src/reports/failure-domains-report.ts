import type { ControlSummary } from '../types/control-summary.js'
import { failureDomainId } from '../types/ids.js'
import type { FailureDomainId } from '../types/ids.js'
import type { FailureDomainDatabase, FailureDomainRow, FailureDomainsReport, ReportHead } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { buildInstanceRows, formatInstance, MAX_OBSERVATION_AGE_MS } from './in-force-report.js'
import { formatAge, formatReportHead, wrapLine } from './text-lines.js'

/** @returns the failure domains that the manifest, an instance or a database names, sorted by name */
function listFailureDomains (state: ReplicatedState, summary: ControlSummary): FailureDomainId[] {
  const names = [
    ...(state.manifest?.failureDomains ?? []).map((domain) => domain.id),
    ...summary.instances.map((instance) => instance.failureDomain),
    ...summary.databases.map((database) => database.failureDomain)
  ]
  return [...new Set<string>(names)].sort().map(failureDomainId)
}

/** Builds the report on each failure domain with its instances and databases. It is empty unless the head states a leadership confirmation. */
export function buildFailureDomainsReport (head: ReportHead, state: ReplicatedState, summary: ControlSummary): FailureDomainsReport {
  if (!head.freshness.proven) return { report: 'failure-domains', ...head, manifestVersion: null, failureDomains: [] }
  const instances = buildInstanceRows(summary.instances, state.manifestVersion)
  const failureDomains = listFailureDomains(state, summary).map((name): FailureDomainRow => ({
    failureDomain: name,
    state: state.manifest?.failureDomains.find((domain) => domain.id === name)?.state ?? null,
    instances: instances.filter((row) => row.failureDomain === name),
    databases: summary.databases.filter((row) => row.failureDomain === name).map(({ failureDomain, ...database }) => database)
  }))
  return { report: 'failure-domains', ...head, manifestVersion: state.manifestVersion, failureDomains }
}

/** @returns the problem of a database as text, in capitals if it is severe; null: none */
function findDatabaseProblem (database: FailureDomainDatabase, isOut: boolean): string | null {
  if (database.silentForMs > MAX_OBSERVATION_AGE_MS) return `SILENT ${formatAge(database.silentForMs)}`
  if (isOut && database.role === 'primary') return 'STILL PRIMARY'
  if (isOut && database.weight > 0) return 'STILL GETS WORK'
  if (database.departing) return 'departing'
  if (!isOut && database.weight < 1) return `at ${Math.round(database.weight * 100)}% of its work`
  return null
}

/** @returns 0: a severe problem; 1: out or not in the manifest; 2: in */
function computeSeverityRank (row: FailureDomainRow): number {
  const hasSevereProblem = row.databases.some((database) => /^[A-Z]/.test(findDatabaseProblem(database, row.state === 'out') ?? '')) || row.instances.some((instance) => instance.state === 'unknown')
  if (hasSevereProblem) return 0
  return row.state === 'in' ? 2 : 1
}

function formatFailureDomain (row: FailureDomainRow): string[] {
  const state = row.state === null ? 'NOT IN THE MANIFEST' : row.state.toUpperCase()
  const lines = wrapLine(`${row.failureDomain}: ${state}`)
  const notInForce = row.instances.filter((instance) => instance.state !== 'in-force')
  lines.push(...wrapLine(`  ${row.instances.length - notInForce.length} of ${row.instances.length} instances up to date`))
  lines.push(...notInForce.flatMap((instance) => formatInstance(instance)))
  const problems = row.databases.flatMap((database) => {
    const problem = findDatabaseProblem(database, row.state === 'out')
    return problem === null ? [] : wrapLine(`  ${problem}: ${database.database} (${database.role} of ${database.group})`)
  })
  lines.push(...wrapLine(`  ${row.databases.length} databases known`), ...problems)
  return lines
}

/** @returns the report as lines of text, the failure domains with the worst state first */
export function formatFailureDomainsReport (report: FailureDomainsReport): string[] {
  const lines = formatReportHead(report)
  if (report.manifestVersion === null) return lines
  const ordered = [...report.failureDomains].sort((left, right) => computeSeverityRank(left) - computeSeverityRank(right))
  return [...lines, ...wrapLine(`Manifest version ${report.manifestVersion}`), ...ordered.flatMap(formatFailureDomain)]
}
