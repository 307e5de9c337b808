import type { FailureDomainId, GroupId, InstanceId } from '../../types/ids.js'

/** Largest number of connection holders that are named for a group. */
export const MAX_HOLDERS_PER_GROUP = 3

/** An instance that can become a connection holder: it is not draining, and its failure domain is not withdrawn. */
export interface HolderCandidate {
  instance: InstanceId
  failureDomain: FailureDomainId
}

/**
 * - `adopt`: keeps reported holders and adds none
 * - `fill-empty`: also names holders for groups without any
 * - `full`: names up to three holders and balances them
 */
export type PlacementMode = 'adopt' | 'fill-empty' | 'full'

export interface PlacementRequest {
  groups: readonly GroupId[]
  candidates: readonly HolderCandidate[]
  /** Holders so far; groups that are absent had none. */
  current: ReadonlyMap<GroupId, readonly InstanceId[]>
  mode: PlacementMode
}

interface PlacedInstance extends HolderCandidate {
  groups: number
}

/**
 * Names up to three connection holders for each group, in different failure domains as long as there are enough.
 * Holders stay wherever possible. Afterwards, balancing moves holders from an instance to another one with at least two groups fewer.
 * It moves at most one holder of a group in one call, so that each group keeps most of its holders.
 *
 * Cost: the choice of each holder scans all instances, so the first placement takes groups x 3 x instances steps. A call without a
 * change takes one pass over groups and instances. With 710 instances and 400 groups, `node dist/measure/coordination-cost.js` shows
 * 54 ms of processor time for the first placement and 8 ms for one without a change, on a machine under load. The placement runs only
 * after a change of instances or of the manifest.
 * @returns holders per group, in a stable order
 */
export function placeHolders (request: PlacementRequest): Map<GroupId, readonly InstanceId[]> {
  const { mode, current } = request
  const groups = [...request.groups].sort(compareNames)
  const pool = createPool(request.candidates)
  const placed = new Map<GroupId, PlacedInstance[]>()
  const refilledGroups = new Set<GroupId>()
  for (const group of groups) placed.set(group, retainHolders(current.get(group) ?? [], pool))
  for (const group of groups) {
    const holders = placed.get(group) ?? []
    if (mode === 'full' ? addHolders(holders, pool, MAX_HOLDERS_PER_GROUP) : mode === 'fill-empty' && holders.length === 0 && addHolders(holders, pool, 1)) refilledGroups.add(group)
  }
  if (mode === 'full') balance(placed, pool, refilledGroups)
  return new Map([...placed].map(([group, holders]) => [group, holders.map(({ instance }) => instance)]))
}

interface CandidatePool {
  byId: ReadonlyMap<InstanceId, PlacedInstance>
  /** Ordered by name, so that ties break the same way at every leader. */
  ordered: readonly PlacedInstance[]
  failureDomainCount: number
}

function createPool (candidates: readonly HolderCandidate[]): CandidatePool {
  const ordered = [...candidates].sort((left, right) => compareNames(left.instance, right.instance)).map((candidate) => ({ ...candidate, groups: 0 }))
  return { ordered, byId: new Map(ordered.map((instance) => [instance.instance, instance])), failureDomainCount: new Set(ordered.map(({ failureDomain }) => failureDomain)).size }
}

/** Keeps holders that are still candidates. A second holder in a failure domain stays only if there are too few failure domains. */
function retainHolders (current: readonly InstanceId[], pool: CandidatePool): PlacedInstance[] {
  const remaining = current.map((instance) => pool.byId.get(instance)).filter((instance) => instance !== undefined)
  const firstOfDomain = remaining.filter((instance, index) => remaining.findIndex(({ failureDomain }) => failureDomain === instance.failureDomain) === index)
  const others = remaining.filter((instance) => !firstOfDomain.includes(instance))
  const spare = Math.max(0, MAX_HOLDERS_PER_GROUP - Math.max(pool.failureDomainCount, firstOfDomain.length))
  const kept = [...firstOfDomain.slice(0, MAX_HOLDERS_PER_GROUP), ...others.slice(0, spare)]
  for (const holder of kept) holder.groups++
  return kept
}

/** Adds the least loaded candidates, preferably of further failure domains. @returns whether a holder was added */
function addHolders (holders: PlacedInstance[], pool: CandidatePool, targetCount: number): boolean {
  let filled = false
  while (holders.length < targetCount) {
    const chosen = findLeastLoaded(pool, (instance) => !holders.some(({ failureDomain }) => failureDomain === instance.failureDomain)) ??
      findLeastLoaded(pool, (instance) => !holders.includes(instance))
    if (chosen === undefined) return filled
    chosen.groups++
    holders.push(chosen)
    filled = true
  }
  return filled
}

function findLeastLoaded (pool: CandidatePool, allowed: (instance: PlacedInstance) => boolean): PlacedInstance | undefined {
  let best: PlacedInstance | undefined
  for (const instance of pool.ordered) {
    if (best !== undefined && instance.groups >= best.groups) continue
    if (allowed(instance)) best = instance
  }
  return best
}

function balance (placed: Map<GroupId, PlacedInstance[]>, pool: CandidatePool, refilledGroups: Set<GroupId>): void {
  let lowest = Math.min(...pool.ordered.map(({ groups }) => groups))
  for (const [group, holders] of placed) {
    if (refilledGroups.has(group)) continue
    const from = holders.reduce<PlacedInstance | undefined>((most, holder) => most === undefined || holder.groups > most.groups ? holder : most, undefined)
    if (from === undefined || from.groups - lowest < 2) continue
    const to = findLeastLoaded(pool, (instance) => canReplace(instance, from, holders))
    if (to === undefined || from.groups - to.groups < 2) continue
    from.groups--
    to.groups++
    holders[holders.indexOf(from)] = to
    lowest = Math.min(...pool.ordered.map(({ groups }) => groups))
  }
}

function canReplace (instance: PlacedInstance, from: PlacedInstance, holders: readonly PlacedInstance[]): boolean {
  if (holders.includes(instance)) return false
  if (instance.failureDomain === from.failureDomain) return true
  return !holders.some((holder) => holder !== from && holder.failureDomain === instance.failureDomain)
}

function compareNames (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
