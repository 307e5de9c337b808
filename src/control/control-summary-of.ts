import type { ControlSummary } from '../types/control-summary.js'
import type { CoordinatorSummary } from './coordinator-summary.js'

/** @returns the summary of the coordinator in the form that reports take */
export function controlSummaryOf (summary: CoordinatorSummary): ControlSummary {
  return {
    leaderTerm: summary.leaderTerm ?? 0,
    manifestVersion: summary.manifestVersion,
    instances: summary.instances.map(({ provenAgoMs, instance, failureDomain, draining, manifestVersion }) => ({ instance, failureDomain, draining, manifestVersion, provenMsAgo: provenAgoMs })),
    groups: summary.groups.map(({ lastChange, ...group }) => ({
      ...group,
      lastFailover: lastChange === null ? null : { planned: lastChange.planned, gapMs: lastChange.gapMs ?? 0, endedMsAgo: lastChange.endedAgoMs }
    })),
    databases: summary.databases.map(({ database, group, failureDomain, departing, weight, lastSignOfLifeAgoMs }) => {
      const isPrimary = summary.groups.some((entry) => entry.primary === database)
      return { database, group, failureDomain, departing, weight, role: isPrimary ? 'primary' : 'replica', silentForMs: lastSignOfLifeAgoMs }
    })
  }
}
