import type { PrimaryChangeReport, RegisteredDatabase, RegisteredInstance } from '../blackboard/control-instance-entries.js'
import type { Milliseconds } from '../types/clock.js'
import type { Directory, DirectoryVersion, GroupPhase } from '../types/directory.js'
import type { DatabaseId, FailureDomainId, GroupId, InstanceId } from '../types/ids.js'

export interface InstanceSummary {
  instance: InstanceId
  failureDomain: FailureDomainId
  draining: boolean
  /** No heartbeat for one lease; the other fields tell what it proved last. */
  lost: boolean
  /** Manifest version that its last heartbeat proved. */
  manifestVersion: number
  /** Age of that proof, in ms. */
  provenAgoMs: number
}

export interface GroupSummary {
  group: GroupId
  term: number
  primary: DatabaseId | null
  phase: GroupPhase
  holders: InstanceId[]
  /** Last change of primary that this leader made. */
  lastChange: { planned: boolean, gapMs: number | null, endedAgoMs: number } | null
}

export interface DatabaseSummary {
  database: DatabaseId
  group: GroupId
  failureDomain: FailureDomainId
  departing: boolean
  weight: number
  /** Age of the last announcement or answer, in ms. */
  lastSignOfLifeAgoMs: number
}

/** What the control leader knows, for reports. A member that does not lead knows nothing of instances and databases. */
export interface CoordinatorSummary {
  /** Null: this member does not lead. */
  leaderTerm: number | null
  manifestVersion: number
  directoryVersion: DirectoryVersion | null
  instances: InstanceSummary[]
  groups: GroupSummary[]
  databases: DatabaseSummary[]
}

export interface SummarySources {
  now: Milliseconds
  leaderTerm: number | null
  manifestVersion: number
  directory: Directory | null
  instances: Iterable<RegisteredInstance>
  lostInstances: Iterable<RegisteredInstance>
  databases: ReadonlyMap<DatabaseId, RegisteredDatabase>
  weights: ReadonlyMap<DatabaseId, number>
  changes: ReadonlyMap<GroupId, PrimaryChangeReport>
}

/** @returns a copy that does not change any more */
export function summarize (sources: SummarySources): CoordinatorSummary {
  const { now, leaderTerm, manifestVersion, directory, databases, weights, changes } = sources
  const instances = [...[...sources.instances].map(summarizeInstance(now, false)), ...[...sources.lostInstances].map(summarizeInstance(now, true))]
  return {
    leaderTerm,
    manifestVersion,
    directoryVersion: directory?.version ?? null,
    instances: instances.sort((left, right) => left.instance < right.instance ? -1 : 1),
    groups: (directory?.groups ?? []).map(({ group, term, primary, phase, holders }) => {
      const change = changes.get(group)
      const lastChange = change === undefined ? null : { planned: change.planned, gapMs: change.gapMs, endedAgoMs: now - change.endedAt }
      return { group, term, primary, phase, holders: [...holders], lastChange }
    }),
    databases: [...databases].sort(([left], [right]) => left < right ? -1 : 1).map(([database, { announcement, departing, statusAt }]) => ({
      database, group: announcement.group, failureDomain: announcement.failureDomain, departing, weight: weights.get(database) ?? 0, lastSignOfLifeAgoMs: now - statusAt
    }))
  }
}

function summarizeInstance (now: Milliseconds, lost: boolean): (instance: RegisteredInstance) => InstanceSummary {
  return ({ instance, failureDomain, draining, manifestVersion, lastHeartbeatAt }) => ({ instance, failureDomain, draining, lost, manifestVersion, provenAgoMs: now - lastHeartbeatAt })
}
