// Guards against groups whose connection holders fail together, and against holders that move without need and so close their
// connections. Both come about when a placement ignores failure domains or starts from nothing after each change of instances.
import fc from 'fast-check'
import t from 'tap'
import { placeHolders } from '../../../src/decisions/membership/holder-placement.js'
import type { HolderCandidate } from '../../../src/decisions/membership/holder-placement.js'
import { failureDomainId, groupId, instanceId } from '../../../src/types/ids.js'
import type { GroupId, InstanceId } from '../../../src/types/ids.js'

const SEED = 20261204

function candidates (domains: readonly number[]): HolderCandidate[] {
  return domains.map((domain, index) => ({ instance: instanceId(`i${index}`), failureDomain: failureDomainId(`d${domain}`) }))
}

function groups (count: number): GroupId[] {
  return Array.from({ length: count }, (_, index) => groupId(`g${index}`))
}

/** Repeats the placement often enough that no holder moves any more. */
function placeUntilStable (names: GroupId[], pool: HolderCandidate[], current: ReadonlyMap<GroupId, readonly InstanceId[]> = new Map()) {
  let placed = placeHolders({ groups: names, candidates: pool, current, mode: 'full' })
  for (let round = 0; round < 20; round++) placed = placeHolders({ groups: names, candidates: pool, current: placed, mode: 'full' })
  return placed
}

const domainsArbitrary = fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 1, maxLength: 20 })

t.test('the holders of a group are in different failure domains whenever there are enough, so that the loss of one domain costs at most one holder', async (t) => {
  t.doesNotThrow(() => fc.assert(fc.property(domainsArbitrary, fc.integer({ min: 1, max: 15 }), fc.nat(20), (domains, count, lost) => {
    const pool = candidates(domains)
    const before = placeUntilStable(groups(count), pool)
    for (const left of [pool, pool.filter((_, index) => index !== lost)]) {
      const wanted = Math.min(3, new Set(left.map(({ failureDomain }) => failureDomain)).size)
      for (const holders of placeUntilStable(groups(count), left, before).values()) {
        const used = new Set(holders.map((holder) => left.find(({ instance }) => instance === holder)?.failureDomain))
        if (used.size !== wanted || used.has(undefined) || new Set(holders).size !== Math.min(3, left.length)) throw new Error(`holders ${holders.join(' ')}`)
      }
    }
  }), { seed: SEED, numRuns: 300 }))
})

t.test('the loss of an instance replaces only that holder in its groups, and moves no more holders of other groups than were lost', async (t) => {
  t.doesNotThrow(() => fc.assert(fc.property(fc.integer({ min: 5, max: 20 }), fc.integer({ min: 1, max: 15 }), fc.nat(19), (size, count, lost) => {
    const pool = candidates(Array.from({ length: size }, (_, index) => index % 4))
    const lostInstance = instanceId(`i${lost % size}`)
    const before = placeUntilStable(groups(count), pool)
    const after = placeHolders({ groups: groups(count), candidates: pool.filter(({ instance }) => instance !== lostInstance), current: before, mode: 'full' })
    for (const [group, holders] of after) {
      const kept = (before.get(group) ?? []).filter((holder) => holder !== lostInstance)
      const isMoved = kept.some((holder) => !holders.includes(holder))
      if (isMoved && before.get(group)?.includes(lostInstance) === true) throw new Error(`${group} moved twice`)
    }
    const moved = [...after].filter(([group, holders]) => (before.get(group) ?? []).some((holder) => holder !== lostInstance && !holders.includes(holder)))
    // Replacing lost holders raises no instance above its fair number of groups by more than one, so at most as many others move.
    const held = [...before.values()].filter((holders) => holders.includes(lostInstance)).length
    if (moved.length > held) throw new Error(`${moved.length} other groups moved for ${held} that lost a holder`)
  }), { seed: SEED, numRuns: 300 }))
})

const fleets = [
  { instances: 9, domains: 4, groups: 3 },
  { instances: 9, domains: 3, groups: 3 },
  { instances: 710, domains: 5, groups: 400 }
]
for (const fleet of fleets) {
  t.test(`${fleet.groups} groups are balanced over ${fleet.instances} instances, also after one returns`, async (t) => {
    const pool = candidates(Array.from({ length: fleet.instances }, (_, index) => index % fleet.domains))
    const all = placeUntilStable(groups(fleet.groups), pool)
    const without = placeUntilStable(groups(fleet.groups), pool.slice(1), all)
    for (const placed of [all, placeUntilStable(groups(fleet.groups), pool, without)]) {
      const loads = pool.map(({ instance }) => [...placed.values()].filter((holders) => holders.includes(instance)).length)
      t.ok(Math.max(...loads) - Math.min(...loads) <= 1, `loads from ${Math.min(...loads)} to ${Math.max(...loads)}`)
    }
  })
}

t.test('a placement without a change keeps all holders, so that no connection is closed without need', async (t) => {
  const pool = candidates([0, 1, 2, 3, 0, 1, 2, 3, 0])
  const placed = placeUntilStable(groups(7), pool)
  t.same(placeHolders({ groups: groups(7), candidates: pool, current: placed, mode: 'full' }), placed)
})

t.test('a new leader adopts reported holders and adds none to them, because the others may report a moment later', async (t) => {
  const current = new Map([[groupId('g0'), [instanceId('i1')]]])
  const request = { groups: groups(2), candidates: candidates([0, 1, 2]), current }
  t.same([...placeHolders({ ...request, mode: 'adopt' })], [['g0', ['i1']], ['g1', []]])
  t.same([...placeHolders({ ...request, mode: 'fill-empty' })], [['g0', ['i1']], ['g1', ['i0']]])
})
