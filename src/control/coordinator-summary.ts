import type { PrimaryChangeReport, RegisteredDatabase, RegisteredInstance } from '../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../types/clock.js'
import type { ControlSummary, DatabaseSummary, GroupSummary, InstanceSummary } from '../types/control-summary.js'
import type { Directory, DirectoryGroup } from '../types/directory.js'
import type { DatabaseId, GroupId } from '../types/ids.js'

export interface SummarySources {
  now: Milliseconds
  /** Null: this member does not lead. */
  leaderTerm: number | null
  manifestVersion: number
  directory: Directory | null
  instances: Iterable<RegisteredInstance>
  /** Instances without a heartbeat for one lease. The summary lists them with the values of their last heartbeat. */
  lostInstances: Iterable<RegisteredInstance>
  databases: ReadonlyMap<DatabaseId, RegisteredDatabase>
  weights: ReadonlyMap<DatabaseId, number>
  changes: ReadonlyMap<GroupId, PrimaryChangeReport>
}

/** @returns a summary of the control state: instances, groups and databases. It is a copy, which later changes do not affect. */
export function buildControlSummary (sources: SummarySources): ControlSummary {
  const { now, leaderTerm, manifestVersion, directory } = sources
  const instances = [...sources.instances, ...sources.lostInstances].map((instance) => summarizeInstance(instance, now))
  const groups = directory?.groups ?? []
  const primaries = new Set(groups.map(({ primary }) => primary))
  return {
    leaderTerm: leaderTerm ?? 0,
    manifestVersion,
    instances: instances.sort((left, right) => left.instance < right.instance ? -1 : 1),
    groups: groups.map((group) => summarizeGroup(group, sources.changes.get(group.group), now)),
    databases: [...sources.databases]
      .sort(([left], [right]) => left < right ? -1 : 1)
      .map(([database, registered]) => summarizeDatabase(registered, primaries.has(database), sources.weights.get(database) ?? 0, now))
  }
}

function summarizeInstance ({ instance, failureDomain, draining, manifestVersion, lastHeartbeatAt }: RegisteredInstance, now: Milliseconds): InstanceSummary {
  return { instance, failureDomain, draining, manifestVersion, provenMsAgo: now - lastHeartbeatAt }
}

function summarizeGroup ({ group, term, primary, phase, holders }: DirectoryGroup, change: PrimaryChangeReport | undefined, now: Milliseconds): GroupSummary {
  const lastFailover = change === undefined ? null : { planned: change.planned, gapMs: change.gapMs, endedMsAgo: now - change.endedAt }
  return { group, term, primary, phase, holders: [...holders], lastFailover }
}

function summarizeDatabase ({ announcement, departing, statusAt }: RegisteredDatabase, isPrimary: boolean, weight: number, now: Milliseconds): DatabaseSummary {
  const { database, group, failureDomain } = announcement
  return { database, group, failureDomain, role: isPrimary ? 'primary' : 'replica', departing, weight, silentForMs: now - statusAt }
}
