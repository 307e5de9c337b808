import type { Blackboard } from '../../blackboard/blackboard.js'
import { holdersEntry, leadershipEntry, registeredDatabasesEntry, registeredInstancesEntry, replicatedStateEntry } from '../../blackboard/control-instance-entries.js'
import type { Clock } from '../../types/clock.js'
import type { GroupId, InstanceId } from '../../types/ids.js'
import { withdrawnFailureDomains } from '../failure-domains/database-weights.js'
import { MAX_HOLDERS, placeHolders } from './holder-placement.js'
import type { HolderCandidate, PlacementMode } from './holder-placement.js'

/** A new leader names holders for groups without any after this time, in ms: every instance had time for one heartbeat. */
export const ADOPT_MODE_END_MS = 500
/** A new leader names further holders after this time, in ms: instances that were cut off from the old leader have moved by then. */
export const FILL_EMPTY_MODE_END_MS = 1500

export interface HolderAssignmentOptions {
  blackboard: Blackboard
  clock: Clock
}

/** Names the holders of all groups. */
export interface HolderAssignment {
  /** Asks for a new placement at the next tick, after a change of instances or of the manifest. */
  invalidate: () => void
  /** @returns the groups whose holders changed */
  tick: () => GroupId[]
  /** Forgets everything; called at each change of leadership. */
  reset: () => void
}

/** Creates the controller; it writes `holdersEntry`. A new leader first takes over the holders that hold shares of databases. */
export function createHolderAssignment (options: HolderAssignmentOptions): HolderAssignment {
  const { blackboard, clock } = options
  const entry = blackboard.claim(holdersEntry, 'holder-placement')
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
    const out = withdrawnFailureDomains(state.read())
    return [...instances.read().values()].filter(({ draining, failureDomain }) => !draining && !out.has(failureDomain))
  }

  /** Holders so far, and while a new leader learns of them, those that report shares of databases. */
  function collectCurrentHolders (placement: PlacementMode): ReadonlyMap<GroupId, readonly InstanceId[]> {
    if (placement === 'full') return entry.read()
    const current = new Map([...entry.read()].map(([group, holders]) => [group, [...holders]]))
    for (const { instance, heldDatabases } of instances.read().values()) {
      for (const database of heldDatabases) {
        const group = databases.read().get(database)?.announcement.group
        if (group === undefined) continue
        const holders = current.get(group) ?? []
        current.set(group, holders)
        if (holders.length < MAX_HOLDERS && !holders.includes(instance)) holders.push(instance)
      }
    }
    return current
  }

  /** While a new leader learns, a group without a known database has holders that it can't recognize yet. */
  function selectGroups (placement: PlacementMode): GroupId[] {
    const groups = (state.read().manifest?.groups ?? []).map(({ id }) => id)
    if (placement === 'full') return groups
    const known = new Set([...databases.read().values()].map(({ announcement }) => announcement.group))
    return groups.filter((group) => known.has(group))
  }

  function tick (): GroupId[] {
    const placement = selectMode()
    if (placement === null || (placement === 'full' && !isStale)) return []
    const last = entry.read()
    const groups = selectGroups(placement)
    const placed = placeHolders({ groups, candidates: selectCandidates(), current: collectCurrentHolders(placement), mode: placement })
    const changed = [...placed.keys()].filter((group) => !isSameList(placed.get(group), last.get(group)))
    // Balancing moves one holder of a group at a time, so that a changed placement may have a next step.
    isStale = placement !== 'full' || changed.length > 0
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
