import type { ControlSummary, InstanceSummary } from '../types/control-summary.js'
import type { InForceReport, InstanceRow, InstanceState, ReportHead } from '../types/operator-report.js'
import type { ReplicatedState } from '../types/replicated-state.js'
import { ageText, headLines, wrapLine } from './text-lines.js'

/** Length of the freshness lease: an instance not proven within it has stopped taking work or lost its connection. */
export const PROOF_MS = 1500

const ORDER: InstanceState[] = ['unknown', 'behind', 'in-force']

function stateOf (instance: InstanceSummary, manifestVersion: number): InstanceState {
  if (instance.provenMsAgo > PROOF_MS) return 'unknown'
  return instance.manifestVersion === manifestVersion ? 'in-force' : 'behind'
}

/** @returns what the control leader can say of an instance, worst states first */
export function instanceRows (instances: readonly InstanceSummary[], manifestVersion: number): InstanceRow[] {
  const rows = instances.map((summary): InstanceRow => {
    const { instance, failureDomain, draining, provenMsAgo } = summary
    const state = stateOf(summary, manifestVersion)
    return { instance, failureDomain, state, manifestVersion: state === 'unknown' ? null : summary.manifestVersion, provenMsAgo, draining }
  })
  return rows.sort((left, right) => ORDER.indexOf(left.state) - ORDER.indexOf(right.state) || left.instance.localeCompare(right.instance))
}

/** @returns which version each instance holds and when that was last proven */
export function inForceReport (head: ReportHead, state: ReplicatedState, summary: ControlSummary): InForceReport {
  const { proven } = head.freshness
  return {
    report: 'in-force',
    ...head,
    manifestVersion: proven ? state.manifestVersion : null,
    instances: proven ? instanceRows(summary.instances, state.manifestVersion) : []
  }
}

/** @returns one instance as text */
export function instanceLines ({ instance, state, manifestVersion, provenMsAgo, draining }: InstanceRow): string[] {
  const proven = `${instance}: last proven ${ageText(provenMsAgo)} ago${draining ? ', draining' : ''}`
  if (state === 'unknown') return wrapLine(`UNKNOWN ${proven}`)
  return wrapLine(`${state === 'behind' ? 'BEHIND ' : ''}v${manifestVersion} ${proven}`)
}

/** @returns the report as text */
export function inForceText (report: InForceReport): string[] {
  const lines = headLines(report)
  if (report.manifestVersion === null) return lines
  const unproven = report.instances.filter((row) => row.state !== 'in-force').length
  const total = report.instances.length
  lines.push(...wrapLine(`Committed: version ${report.manifestVersion}`))
  lines.push(...wrapLine(total === 0
    ? 'No instance has reported to this leader.'
    : unproven === 0 ? `In force on all ${total} known instances.` : `NOT known in force on ${unproven} of ${total} instances.`))
  return [...lines, ...report.instances.flatMap(instanceLines)]
}
