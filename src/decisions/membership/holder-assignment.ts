import type { Blackboard } from '../../blackboard/blackboard.js'
import { connectionHoldersEntry, leadershipEntry, registeredDatabasesEntry, registeredInstancesEntry, replicatedStateEntry } from '../../blackboard/control-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { GroupId, InstanceId } from '../../types/ids.js'
import { withdrawnFailureDomains } from '../failure-domains/database-weights.js'
import { MAX_HOLDERS_PER_GROUP, placeHolders } from './holder-placement.js'
import type { HolderCandidate, PlacementMode } from './holder-placement.js'

/** Age of a leadership from which the leader names holders for groups without any: every instance has had time for one heartbeat. */
export const ADOPT_MODE_END_MS = 500
/** Age of a leadership from which the leader names all holders: instances that were cut off from the former leader have moved by then. */
export const FILL_EMPTY_MODE_END_MS = 1500

export interface HolderAssignmentOptions {
  blackboard: Blackboard
  clock: Clock
}

/** Chooses the connection holders of all groups. */
export interface HolderAssignment {
  /** Makes the next tick compute a new placement; called after a change of instances or of the manifest. */
  invalidate: () => void
  /** Updates the placement if needed. @returns the groups whose holders changed */
  tick: () => GroupId[]
  /** Clears the placement. The coordinator calls it at each change of leadership. */
  reset: () => void
}

/** Creates the controller; it writes `connectionHoldersEntry`. A new leader first adopts the instances that report shares of databases as holders. */
export function createHolderAssignment (options: HolderAssignmentOptions): HolderAssignment {
  const { blackboard, clock } = options
  const entry = blackboard.claim(connectionHoldersEntry, 'holder-placement')
  const leadership = blackboard.reader(leadershipEntry)
  const instances = blackboard.reader(registeredInstancesEntry)
  const databases = blackboard.reader(registeredDatabasesEntry)
  const state = blackboard.reader(replicatedStateEntry)
  let isStale = true

  function selectMode (): PlacementMode | null {
    const leading = leadership.read()
    if (leading === null) return null
    const age = clock.now() - leading.since
    if (age < ADOPT_MODE_END_MS) return 'adopt'
    return age < FILL_EMPTY_MODE_END_MS ? 'fill-empty' : 'full'
  }

  function selectCandidates (): HolderCandidate[] {
    const withdrawnDomains = withdrawnFailureDomains(state.read())
    return [...instances.read().values()].filter(({ draining, failureDomain }) => !draining && !withdrawnDomains.has(failureDomain))
  }

  /** @returns the holders named so far; outside the mode `full`, also the instances that report shares of databases */
  function collectCurrentHolders (placementMode: PlacementMode): ReadonlyMap<GroupId, readonly InstanceId[]> {
    if (placementMode === 'full') return entry.read()
    const current = new Map([...entry.read()].map(([group, holders]) => [group, [...holders]]))
    for (const { instance, heldDatabases } of instances.read().values()) {
      for (const database of heldDatabases) {
        const group = databases.read().get(database)?.announcement.group
        if (group === undefined) continue
        const holders = current.get(group) ?? []
        current.set(group, holders)
        if (holders.length < MAX_HOLDERS_PER_GROUP && !holders.includes(instance)) holders.push(instance)
      }
    }
    return current
  }

  /**
   * @returns the groups to place; outside the mode `full`, only those with a known database, because a reported share can be matched to
   * its group only once the database has announced itself
   */
  function selectGroups (placementMode: PlacementMode): GroupId[] {
    const groups = (state.read().manifest?.groups ?? []).map(({ id }) => id)
    if (placementMode === 'full') return groups
    const known = new Set([...databases.read().values()].map(({ announcement }) => announcement.group))
    return groups.filter((group) => known.has(group))
  }

  function tick (): GroupId[] {
    const placementMode = selectMode()
    if (placementMode === null || (placementMode === 'full' && !isStale)) return []
    const last = entry.read()
    const groups = selectGroups(placementMode)
    const placed = placeHolders({ groups, candidates: selectCandidates(), current: collectCurrentHolders(placementMode), mode: placementMode })
    const changed = [...placed.keys()].filter((group) => !isSameList(placed.get(group), last.get(group)))
    // Balancing moves only one holder of a group per call, so a changed placement may need a further call.
    isStale = placementMode !== 'full' || changed.length > 0
    if (changed.length > 0 || placed.size !== last.size) entry.write(placed)
    return changed
  }

  function reset (): void {
    isStale = true
    entry.write(new Map())
  }

  return { invalidate: () => { isStale = true }, tick, reset }
}

function isSameList (left: readonly InstanceId[] = [], right: readonly InstanceId[] = []): boolean {
  return left.length === right.length && left.every((instance, index) => instance === right[index])
}
