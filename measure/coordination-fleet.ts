import type { Heartbeat } from '../src/types/control-message.js'
import type { Announcement } from '../src/types/database-status.js'
import { address, databaseId, failureDomainId, groupId, incarnationId, instanceId } from '../src/types/ids.js'
import type { Manifest } from '../src/types/manifest.js'
import type { ReplicatedGroup } from '../src/types/replicated-state.js'

/** Size of a deployment, as listed in the design document. */
export interface FleetSize {
  instances: number
  groups: number
  /** Three per group. */
  databases: number
  failureDomains: number
}

export const fleetSizes: readonly FleetSize[] = [
  { instances: 9, groups: 3, databases: 9, failureDomains: 4 },
  { instances: 710, groups: 400, databases: 1200, failureDomains: 5 }
]

const padNumber = (index: number) => String(index).padStart(4, '0')
const failureDomainOf = (size: FleetSize, index: number) => failureDomainId(`domain-${index % size.failureDomains}`)

/** @returns a manifest without workspaces, and its groups, each with a primary that serves under term 1 */
export function buildFleetManifest (size: FleetSize): { manifest: Manifest, groups: ReplicatedGroup[] } {
  const groupIds = Array.from({ length: size.groups }, (_, index) => groupId(`group-${padNumber(index)}`))
  const failureDomains = Array.from({ length: size.failureDomains }, (_, index) => ({ id: failureDomainOf(size, index), state: 'in' as const }))
  return {
    manifest: { formatVersion: 1, failureDomains, groups: groupIds.map((id) => ({ id, slots: 5, connections: 30 })), workspaces: [], routes: [] },
    groups: groupIds.map((group, index) => ({ group, term: 1, primary: databaseId(`database-${padNumber(index)}`), phase: 'serving' }))
  }
}

/** @returns the announcement of database number `index`; one with an index below the number of groups is the primary of its group */
export function buildFleetAnnouncement (size: FleetSize, index: number): Announcement {
  const database = databaseId(`database-${padNumber(index)}`)
  const role = index < size.groups ? 'primary' : 'replica'
  return {
    database,
    group: groupId(`group-${padNumber(index % size.groups)}`),
    address: address(`10.1.${index >> 8}.${index & 255}:5432`),
    failureDomain: failureDomainOf(size, index),
    departing: false,
    status: { database, incarnation: incarnationId(`${database}-1`), role, term: 1, fencedTerm: 1, position: { term: 1, offset: 1 }, ageMs: 0 }
  }
}

/** @returns a heartbeat of instance number `index` without shares or observations */
export function buildFleetHeartbeat (size: FleetSize, index: number, sequence: number): Heartbeat {
  const instance = instanceId(`instance-${padNumber(index)}`)
  return {
    version: 1,
    kind: 'heartbeat',
    sequence,
    instance,
    incarnation: incarnationId(`${instance}-1`),
    peerAddress: address(`10.0.${index >> 8}.${index & 255}:7000`),
    failureDomain: failureDomainOf(size, index),
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
