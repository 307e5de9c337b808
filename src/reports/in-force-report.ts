import type { ControlSummary, InstanceSummary } from '../types/control-summary.js'
import type { InForceReport, InstanceRow, InstanceState, ReportHead } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { formatAge, formatReportHead, wrapLine } from './text-lines.js'

/**
 * Age in milliseconds above which a report does not rely on the last heartbeat of an instance or the last status of a database.
 * It equals the default length of the freshness lease. With that length, an instance without a heartbeat for longer has lost its
 * connection or accepts no work.
 */
export const MAX_OBSERVATION_AGE_MS = 1500

const STATE_ORDER: InstanceState[] = ['unknown', 'behind', 'in-force']

function classifyInstance (instance: InstanceSummary, manifestVersion: number): InstanceState {
  if (instance.provenMsAgo > MAX_OBSERVATION_AGE_MS) return 'unknown'
  return instance.manifestVersion === manifestVersion ? 'in-force' : 'behind'
}

/** @returns one row per instance with its state as the control leader knows it, worst states first */
export function buildInstanceRows (instances: readonly InstanceSummary[], manifestVersion: number): InstanceRow[] {
  const rows = instances.map((summary): InstanceRow => {
    const { instance, failureDomain, draining, provenMsAgo } = summary
    const state = classifyInstance(summary, manifestVersion)
    return { instance, failureDomain, state, manifestVersion: state === 'unknown' ? null : summary.manifestVersion, provenMsAgo, draining }
  })
  return rows.sort((left, right) => STATE_ORDER.indexOf(left.state) - STATE_ORDER.indexOf(right.state) || left.instance.localeCompare(right.instance))
}

/** Builds the report on the manifest version that each instance holds. It is empty unless the head states a leadership confirmation. */
export function buildInForceReport (head: ReportHead, state: ReplicatedState, summary: ControlSummary): InForceReport {
  const { proven } = head.freshness
  return {
    report: 'in-force',
    ...head,
    manifestVersion: proven ? state.manifestVersion : null,
    instances: proven ? buildInstanceRows(summary.instances, state.manifestVersion) : []
  }
}

/** @returns lines of text on one instance */
export function formatInstance ({ instance, state, manifestVersion, provenMsAgo, draining }: InstanceRow): string[] {
  const proven = `${instance}: last proven ${formatAge(provenMsAgo)} ago${draining ? ', draining' : ''}`
  if (state === 'unknown') return wrapLine(`UNKNOWN ${proven}`)
  return wrapLine(`${state === 'behind' ? 'BEHIND ' : ''}v${manifestVersion} ${proven}`)
}

/** @returns the report as lines of text */
export function formatInForceReport (report: InForceReport): string[] {
  const lines = formatReportHead(report)
  if (report.manifestVersion === null) return lines
  const unconfirmedCount = report.instances.filter((row) => row.state !== 'in-force').length
  const total = report.instances.length
  lines.push(...wrapLine(`Committed: version ${report.manifestVersion}`))
  lines.push(...wrapLine(total === 0
    ? 'No instance has reported to this leader.'
    : unconfirmedCount === 0 ? `In force on all ${total} known instances.` : `NOT known in force on ${unconfirmedCount} of ${total} instances.`))
  return [...lines, ...report.instances.flatMap(formatInstance)]
}
