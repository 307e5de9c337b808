import type { ControlSummary } from '../types/control-summary.js'
import { failureDomainId } from '../types/ids.js'
import type { FailureDomainId } from '../types/ids.js'
import type { FailureDomainDatabase, FailureDomainRow, FailureDomainsReport, ReportHead } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { instanceRows, instanceLines, PROOF_MS } from './in-force-report.js'
import { ageText, headLines, wrapLine } from './text-lines.js'

/** @returns failure domains that the manifest lists or that instances and databases name */
function namesOf (state: ReplicatedState, summary: ControlSummary): FailureDomainId[] {
  const names = [
    ...(state.manifest?.failureDomains ?? []).map((domain) => domain.id),
    ...summary.instances.map((instance) => instance.failureDomain),
    ...summary.databases.map((database) => database.failureDomain)
  ]
  return [...new Set<string>(names)].sort().map(failureDomainId)
}

/** @returns the state of each failure domain with its instances and databases */
export function failureDomainsReport (head: ReportHead, state: ReplicatedState, summary: ControlSummary): FailureDomainsReport {
  if (!head.freshness.proven) return { report: 'failure-domains', ...head, manifestVersion: null, failureDomains: [] }
  const instances = instanceRows(summary.instances, state.manifestVersion)
  const failureDomains = namesOf(state, summary).map((name): FailureDomainRow => ({
    failureDomain: name,
    state: state.manifest?.failureDomains.find((domain) => domain.id === name)?.state ?? null,
    instances: instances.filter((row) => row.failureDomain === name),
    databases: summary.databases.filter((row) => row.failureDomain === name).map(({ failureDomain, ...database }) => database)
  }))
  return { report: 'failure-domains', ...head, manifestVersion: state.manifestVersion, failureDomains }
}

function databaseProblem (database: FailureDomainDatabase, out: boolean): string | null {
  if (database.silentForMs > PROOF_MS) return `SILENT ${ageText(database.silentForMs)}`
  if (out && database.role === 'primary') return 'STILL PRIMARY'
  if (out && database.weight > 0) return 'STILL GETS WORK'
  if (database.departing) return 'departing'
  if (!out && database.weight < 1) return `at ${Math.round(database.weight * 100)}% of its work`
  return null
}

/** Rank of the news about a failure domain; the worst is the smallest. */
function rankOf (row: FailureDomainRow): number {
  const worst = row.databases.some((database) => /^[A-Z]/.test(databaseProblem(database, row.state === 'out') ?? '')) || row.instances.some((instance) => instance.state === 'unknown')
  if (worst) return 0
  return row.state === 'in' ? 2 : 1
}

function domainLines (row: FailureDomainRow): string[] {
  const state = row.state === null ? 'NOT IN THE MANIFEST' : row.state.toUpperCase()
  const lines = wrapLine(`${row.failureDomain}: ${state}`)
  const unknown = row.instances.filter((instance) => instance.state !== 'in-force')
  lines.push(...wrapLine(`  ${row.instances.length - unknown.length} of ${row.instances.length} instances up to date`))
  lines.push(...unknown.flatMap((instance) => instanceLines(instance)))
  const problems = row.databases.flatMap((database) => {
    const problem = databaseProblem(database, row.state === 'out')
    return problem === null ? [] : wrapLine(`  ${problem}: ${database.database} (${database.role} of ${database.group})`)
  })
  lines.push(...wrapLine(`  ${row.databases.length} databases known`), ...problems)
  return lines
}

/** @returns the report as text, worst news first */
export function failureDomainsText (report: FailureDomainsReport): string[] {
  const lines = headLines(report)
  if (report.manifestVersion === null) return lines
  const ordered = [...report.failureDomains].sort((left, right) => rankOf(left) - rankOf(right))
  return [...lines, ...wrapLine(`Manifest version ${report.manifestVersion}`), ...ordered.flatMap(domainLines)]
}
