import type { RegisteredDatabase } from '../blackboard/control-instance-entries.js'
import { MAX_HOLDERS_PER_GROUP } from '../decisions/membership/holder-placement.js'
import { resourceId } from '../types/ids.js'
import type { DatabaseId, GroupId, InstanceId, ResourceId, WorkspaceId } from '../types/ids.js'
import type { Manifest } from '../types/manifest.js'
import type { ResourceSize } from '../types/share-allocator.js'

/**
 * Connections of a database that are not shared out: one for the status watch of each holder. It is the largest number of holders
 * and not the present one, so that naming a holder does not shrink the shares of the others.
 */
const STATUS_WATCH_CONNECTIONS = MAX_HOLDERS_PER_GROUP
/** Connections of a database that stay free for the control leader: one for the running order and one for a repeated or new leader's order. */
const CONTROL_CONNECTIONS = 2

export interface ShareResourceSources {
  manifest: Manifest | null
  databases: ReadonlyMap<DatabaseId, RegisteredDatabase>
  holders: ReadonlyMap<GroupId, readonly InstanceId[]>
  /** Whether slots and connections of databases are shared out; otherwise only rates are. */
  databaseShares: boolean
  /** @returns instances that may hold a share of the rate; null: all. Default: all. */
  rateHolders?: (workspace: WorkspaceId) => readonly InstanceId[] | null
  /** What a workspace may get above its rate and burst; default: nothing. */
  rateTolerance?: RateTolerance | undefined
}

/** Excess over the rate and burst of a workspace that the operators tolerate. */
export interface RateTolerance {
  /** Part of rate and burst. */
  share: number
  /** Requests that may come at once besides. */
  requests: number
}

const NO_TOLERANCE: RateTolerance = { share: 0, requests: 0 }

/** @returns everything that the share allocator divides: rates of workspaces, slots and connections of databases */
export function shareResources ({ manifest, databases, holders, databaseShares, rateHolders = () => null, rateTolerance = NO_TOLERANCE }: ShareResourceSources): Map<ResourceId, ResourceSize> {
  const resources = new Map<ResourceId, ResourceSize>()
  if (manifest === null) return resources
  for (const { id, rate, burst } of manifest.workspaces) {
    resources.set(resourceId('rate', id), { amount: rate * (1 + rateTolerance.share), burst: burst * (1 + rateTolerance.share) + rateTolerance.requests, whole: false, eligible: rateHolders(id) })
  }
  if (!databaseShares) return resources
  const groups = new Map(manifest.groups.map((group) => [group.id, group]))
  for (const [database, { announcement }] of databases) {
    const group = groups.get(announcement.group)
    if (group === undefined) continue
    const eligible = holders.get(group.id) ?? []
    const connections = Math.max(0, group.connections - STATUS_WATCH_CONNECTIONS - CONTROL_CONNECTIONS)
    resources.set(resourceId('slots', database), { amount: group.slots, burst: 0, whole: true, eligible })
    resources.set(resourceId('connections', database), { amount: connections, burst: 0, whole: true, eligible })
  }
  return resources
}
