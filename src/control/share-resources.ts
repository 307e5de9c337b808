import type { RegisteredDatabase } from '../blackboard/control-instance-entries.js'
import { MAX_HOLDERS_PER_GROUP } from '../decisions/membership/holder-placement.js'
import { resourceId } from '../types/ids.js'
import type { DatabaseId, GroupId, InstanceId, ResourceId, WorkspaceId } from '../types/ids.js'
import type { Manifest } from '../types/manifest.js'
import type { ResourceSize } from '../types/share-allocator.js'

/**
 * Connections of a database that the leader does not grant: one for the status poll of each connection holder. They are counted for
 * the maximum number of holders and not for the present one, so that a new holder does not shrink the shares of the others.
 */
const STATUS_POLL_CONNECTIONS = MAX_HOLDERS_PER_GROUP
/** Connections of a database that are reserved for the control leader: one for the order in flight and one for a retry or an order of a new leader. */
const CONTROL_CONNECTIONS = 2

export interface ShareResourceSources {
  manifest: Manifest | null
  databases: ReadonlyMap<DatabaseId, RegisteredDatabase>
  holders: ReadonlyMap<GroupId, readonly InstanceId[]>
  /** Whether the leader divides slots and connections of databases; otherwise it divides only rates. */
  hasDatabaseShares: boolean
  /** @returns instances that may hold a share of the rate; null: all. Default: all. */
  rateHolders?: (workspace: WorkspaceId, rate: number) => readonly InstanceId[] | null
  /** Excess that a workspace may get over its rate and burst; default: none. */
  rateTolerance?: RateTolerance | undefined
}

/** Excess over the rate and burst of a workspace that the operators tolerate. */
export interface RateTolerance {
  /** Excess as a fraction of rate and burst. */
  share: number
  /** Number of requests that are added to the burst besides. */
  requests: number
}

const NO_TOLERANCE: RateTolerance = { share: 0, requests: 0 }

/** @returns the resources that the share allocator divides: rates of workspaces, slots and connections of databases */
export function buildShareResources ({ manifest, databases, holders, hasDatabaseShares, rateHolders = () => null, rateTolerance = NO_TOLERANCE }: ShareResourceSources): Map<ResourceId, ResourceSize> {
  const resources = new Map<ResourceId, ResourceSize>()
  if (manifest === null) return resources
  for (const { id, rate, burst } of manifest.workspaces) {
    resources.set(resourceId('rate', id), { amount: rate * (1 + rateTolerance.share), burst: burst * (1 + rateTolerance.share) + rateTolerance.requests, whole: false, eligible: rateHolders(id, rate) })
  }
  if (!hasDatabaseShares) return resources
  const groups = new Map(manifest.groups.map((group) => [group.id, group]))
  for (const [database, { announcement }] of databases) {
    const group = groups.get(announcement.group)
    if (group === undefined) continue
    const eligible = holders.get(group.id) ?? []
    const connections = Math.max(0, group.connections - STATUS_POLL_CONNECTIONS - CONTROL_CONNECTIONS)
    resources.set(resourceId('slots', database), { amount: group.slots, burst: 0, whole: true, eligible })
    resources.set(resourceId('connections', database), { amount: connections, burst: 0, whole: true, eligible })
  }
  return resources
}
