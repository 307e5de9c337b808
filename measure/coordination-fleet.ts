import type { Heartbeat } from '../src/types/control-message.js'
import type { Announcement } from '../src/types/database-status.js'
import { address, databaseId, failureDomainId, groupId, incarnationId, instanceId } from '../src/types/ids.js'
import type { Manifest } from '../src/types/manifest.js'
import type { ReplicatedGroup } from '../src/types/replicated-state.js'

/** A fleet of a size that the design page names. */
export interface FleetSize {
  instances: number
  groups: number
  /** Three for each group. */
  databases: number
  failureDomains: number
}

export const fleetSizes: readonly FleetSize[] = [
  { instances: 9, groups: 3, databases: 9, failureDomains: 4 },
  { instances: 710, groups: 400, databases: 1200, failureDomains: 5 }
]

const pad = (index: number) => String(index).padStart(4, '0')
const domainOf = (size: FleetSize, index: number) => failureDomainId(`domain-${index % size.failureDomains}`)

/** @returns a manifest without workspaces, and groups that serve under term 1 */
export function fleetManifest (size: FleetSize): { manifest: Manifest, groups: ReplicatedGroup[] } {
  const names = Array.from({ length: size.groups }, (_, index) => groupId(`group-${pad(index)}`))
  const failureDomains = Array.from({ length: size.failureDomains }, (_, index) => ({ id: domainOf(size, index), state: 'in' as const }))
  return {
    manifest: { formatVersion: 1, failureDomains, groups: names.map((id) => ({ id, slots: 5, connections: 30 })), workspaces: [], routes: [] },
    groups: names.map((group, index) => ({ group, term: 1, primary: databaseId(`database-${pad(index)}`), phase: 'serving' }))
  }
}

/** @returns the announcement of one database; those below the number of groups are the primaries */
export function fleetAnnouncement (size: FleetSize, index: number): Announcement {
  const database = databaseId(`database-${pad(index)}`)
  const role = index < size.groups ? 'primary' : 'replica'
  return {
    database,
    group: groupId(`group-${pad(index % size.groups)}`),
    address: address(`10.1.${index >> 8}.${index & 255}:5432`),
    failureDomain: domainOf(size, index),
    departing: false,
    status: { database, incarnation: incarnationId(`${database}-1`), role, term: 1, fencedTerm: 1, position: { term: 1, offset: 1 }, ageMs: 0 }
  }
}

/** @returns a heartbeat without shares and observations */
export function fleetHeartbeat (size: FleetSize, index: number, sequence: number): Heartbeat {
  const instance = instanceId(`instance-${pad(index)}`)
  return {
    version: 1,
    kind: 'heartbeat',
    sequence,
    instance,
    incarnation: incarnationId(`${instance}-1`),
    peerAddress: address(`10.0.${index >> 8}.${index & 255}:7000`),
    failureDomain: domainOf(size, index),
    draining: false,
    leaderTerm: 1,
    manifestVersion: 1,
    directoryVersion: { leaderTerm: 1, counter: 1 },
    held: [],
    demand: [],
    observations: [],
    releasedTerms: []
  }
}
