import t from 'tap'
import { createWorld } from './fixtures/world.js'
import type { World } from './fixtures/world.js'

// Each test causes one fault in a running deployment. Guards against a failover that takes longer than its target, loses a write or
// lets two databases accept writes: when a primary or a leader fails, is partitioned or departs.

const FAULT_AT_MS = 8000
const OBSERVED_MS = 12_000
/** Longest time without an acknowledged write after a fault: target `failover_gap_ms`. */
const FAILOVER_GAP_MS = 3000
/** Time after which a departing or withdrawn database must get no new work: targets P8 and P12. */
const NEW_WORK_DEADLINE_MS = 3000
const SEEDS = [1, 2, 3, 4, 5]

interface FaultCase {
  name: string
  fault: (world: World) => void
}

function findPrimary (world: World) {
  const name = world.cluster.state().groups.find(({ group }) => group === 'g1')?.primary
  const primary = world.databases.all.find((database) => database.name === name)
  if (primary === undefined) throw new Error('g1 has no primary')
  return primary
}

function isolateLeader (world: World): void {
  world.network.cutOff.add(`control-${world.coordinators.indexOf(world.leader() as never)}`)
}

async function startWorld (seed: number): Promise<World> {
  const world = createWorld(seed)
  world.cluster.changeManifest(world.manifest())
  await world.runUntil(FAULT_AT_MS)
  return world
}

/** @returns the longest time without an acknowledged write of g1 after the fault, in ms */
async function measureLongestGap (world: World): Promise<number> {
  let last = FAULT_AT_MS
  let longest = 0
  for (let time = FAULT_AT_MS; time < FAULT_AT_MS + OBSERVED_MS; time += 50) {
    await world.runUntil(time)
    longest = Math.max(longest, time - last)
    last = Math.max(last, ...world.entries.map((entry) => entry.acknowledgedAt.get('g1') ?? 0))
  }
  return longest
}

t.test('an empty cluster starts: every group gets a primary and every instance a lease, so that writes are acknowledged', async (t) => {
  const world = createWorld(1)
  world.cluster.changeManifest(world.manifest())
  await world.runUntil(8000)
  t.same(world.violations(), [])
  const summary = world.leader()?.summary()
  t.same(summary?.groups.map(({ group, phase, term }) => ({ group, phase, term })), [{ group: 'g1', phase: 'serving', term: 1 }, { group: 'g2', phase: 'serving', term: 1 }])
  t.ok(world.entries.every((entry) => entry.isFresh()))
  for (const group of ['g1', 'g2']) t.ok(world.entries.some((entry) => (entry.acknowledgedAt.get(group) ?? 0) > 7000), `${group} acknowledges writes`)
})

const unplanned: FaultCase[] = [
  { name: 'crash of the primary', fault: (world) => { findPrimary(world).up = false } },
  { name: 'running primary partitioned from everything', fault: (world) => { world.network.cutOff.add(findPrimary(world).name) } },
  {
    name: 'primary partitioned from all entry and control instances but not from its replicas',
    fault: (world) => {
      const { name } = findPrimary(world)
      const processes = [...world.entries.map((entry) => entry.name), ...world.coordinators.map((_, index) => `control-${index}`)]
      for (const process of processes) world.network.cutLinks.add(`${process}|${name}`)
    }
  },
  {
    name: 'primary partitioned from the entry instances only',
    fault: (world) => { for (const entry of world.entries) world.network.cutLinks.add(`${entry.name}|${findPrimary(world).name}`) }
  },
  {
    name: 'failure domain of the primary lost with its instances',
    fault: (world) => {
      const { domain, name } = findPrimary(world)
      for (const entry of world.entries) if (entry.domain === domain) world.network.cutOff.add(entry.name)
      world.network.cutOff.add(name)
    }
  },
  { name: 'crash of a connection holder', fault: (world) => { for (const entry of world.entries.slice(0, 1)) entry.up = false } },
  { name: 'crash of the primary and change of control leader', fault: (world) => { findPrimary(world).up = false; world.cluster.changeLeader() } },
  { name: 'control leader isolated', fault: isolateLeader }
]

for (const { name, fault } of unplanned) {
  t.test(`${name}: writes are acknowledged again within the failover target and none is lost`, async (t) => {
    for (const seed of SEEDS) {
      const world = await startWorld(seed)
      fault(world)
      const gap = await measureLongestGap(world)
      t.same(world.violations(), [], `seed ${seed}`)
      t.ok(gap <= FAILOVER_GAP_MS, `seed ${seed}: ${gap} ms`)
    }
  })
}

const planned: FaultCase[] = [
  { name: 'failure domain of the primary withdrawn', fault: (world) => world.cluster.changeManifest(world.manifest([findPrimary(world).domain])) },
  { name: 'departing primary', fault: (world) => { findPrimary(world).departing = true } }
]

for (const { name, fault } of planned) {
  t.test(`${name}: another database is primary before the deadline for new work, and no write is lost`, async (t) => {
    for (const seed of SEEDS) {
      const world = await startWorld(seed)
      const formerPrimary = findPrimary(world)
      fault(world)
      await world.runUntil(FAULT_AT_MS + NEW_WORK_DEADLINE_MS)
      const directory = world.leader()?.summary()
      t.same(directory?.groups.map(({ phase }) => phase), ['serving', 'serving'], `seed ${seed}`)
      t.not(findPrimary(world).name, formerPrimary.name)
      t.equal(directory?.databases.find(({ database }) => database === formerPrimary.name)?.weight, 0)
      t.equal(directory?.groups.find(({ group }) => group === 'g1')?.lastFailover?.planned, true)
      await world.runUntil(FAULT_AT_MS + OBSERVED_MS)
      t.equal(formerPrimary.status().role, 'replica', 'the former primary follows the new one')
      t.same(world.violations(), [])
    }
  })
}

t.test('a switchover ends when a connection holder does not release its term, so that writes do not wait for long; the leader attempts it again', async (t) => {
  const world = await startWorld(1)
  const formerPrimary = findPrimary(world)
  for (const entry of world.entries) entry.isStuck = true
  formerPrimary.departing = true
  const gap = await measureLongestGap(world)
  t.equal(findPrimary(world).name, formerPrimary.name)
  t.ok(gap <= FAILOVER_GAP_MS, `${gap} ms`)
  for (const entry of world.entries) entry.isStuck = false
  await world.runUntil(FAULT_AT_MS + OBSERVED_MS + 20_000)
  t.not(findPrimary(world).name, formerPrimary.name)
  t.same(world.violations(), [])
})

t.test('a slow primary stays primary', async (t) => {
  const world = await startWorld(1)
  const { name } = findPrimary(world)
  const { deliver } = world.network
  world.network.deliver = (from, to, action) => { world.network.time.after(to === name ? 300 : 0, () => deliver(from, to, action)) }
  await world.runUntil(FAULT_AT_MS + OBSERVED_MS)
  t.equal(findPrimary(world).name, name)
  t.equal(world.cluster.state().groups.find(({ group }) => group === 'g1')?.term, 1)
})
