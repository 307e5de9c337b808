import t from 'tap'
import { createSimulatedDeployment } from './fixtures/simulated-deployment.js'
import type { SimulatedDeployment } from './fixtures/simulated-deployment.js'

// Each test causes one fault in a simulated deployment: a primary, a connection holder or the control leader crashes, departs or is
// partitioned. The tests fail when the failover takes longer than its target, loses a write or lets two databases accept writes.

const FAULT_AT_MS = 8000
const OBSERVED_MS = 12_000
/** Longest time without an acknowledged write after a fault: target `failover_gap_ms`. */
const FAILOVER_GAP_MS = 3000
/** Time after which a departing or withdrawn database must get no new work: targets P8 and P12. */
const NEW_WORK_DEADLINE_MS = 3000
const SEEDS = [1, 2, 3, 4, 5]

interface FaultCase {
  name: string
  fault: (deployment: SimulatedDeployment) => void
}

function findPrimary (deployment: SimulatedDeployment) {
  const name = deployment.cluster.state().groups.find(({ group }) => group === 'g1')?.primary
  const primary = deployment.databases.all.find((database) => database.name === name)
  if (primary === undefined) throw new Error('g1 has no primary')
  return primary
}

function isolateLeader (deployment: SimulatedDeployment): void {
  deployment.network.cutOff.add(`control-${deployment.coordinators.indexOf(deployment.leader() as never)}`)
}

async function startDeployment (seed: number): Promise<SimulatedDeployment> {
  const deployment = createSimulatedDeployment(seed)
  deployment.cluster.changeManifest(deployment.manifest())
  await deployment.runUntil(FAULT_AT_MS)
  return deployment
}

/** @returns the longest time without an acknowledged write of g1 after the fault, in ms */
async function measureLongestGap (deployment: SimulatedDeployment): Promise<number> {
  let last = FAULT_AT_MS
  let longest = 0
  for (let time = FAULT_AT_MS; time < FAULT_AT_MS + OBSERVED_MS; time += 50) {
    await deployment.runUntil(time)
    longest = Math.max(longest, time - last)
    last = Math.max(last, ...deployment.entries.map((entry) => entry.acknowledgedAt.get('g1') ?? 0))
  }
  return longest
}

t.test('an empty cluster starts: every group gets a primary and every instance a lease, so that writes are acknowledged', async (t) => {
  const deployment = createSimulatedDeployment(1)
  deployment.cluster.changeManifest(deployment.manifest())
  await deployment.runUntil(8000)
  t.same(deployment.violations(), [])
  const summary = deployment.leader()?.summary()
  t.same(summary?.groups.map(({ group, phase, term }) => ({ group, phase, term })), [{ group: 'g1', phase: 'serving', term: 1 }, { group: 'g2', phase: 'serving', term: 1 }])
  t.ok(deployment.entries.every((entry) => entry.isFresh()))
  for (const group of ['g1', 'g2']) t.ok(deployment.entries.some((entry) => (entry.acknowledgedAt.get(group) ?? 0) > 7000), `${group} acknowledges writes`)
})

const unplanned: FaultCase[] = [
  { name: 'crash of the primary', fault: (deployment) => { findPrimary(deployment).up = false } },
  { name: 'running primary partitioned from everything', fault: (deployment) => { deployment.network.cutOff.add(findPrimary(deployment).name) } },
  {
    name: 'primary partitioned from all entry and control instances but not from its replicas',
    fault: (deployment) => {
      const { name } = findPrimary(deployment)
      const processes = [...deployment.entries.map((entry) => entry.name), ...deployment.coordinators.map((_, index) => `control-${index}`)]
      for (const process of processes) deployment.network.cutLinks.add(`${process}|${name}`)
    }
  },
  {
    name: 'primary partitioned from the entry instances only',
    fault: (deployment) => { for (const entry of deployment.entries) deployment.network.cutLinks.add(`${entry.name}|${findPrimary(deployment).name}`) }
  },
  {
    name: 'failure domain of the primary lost with its instances',
    fault: (deployment) => {
      const { domain, name } = findPrimary(deployment)
      for (const entry of deployment.entries) if (entry.domain === domain) deployment.network.cutOff.add(entry.name)
      deployment.network.cutOff.add(name)
    }
  },
  { name: 'crash of a connection holder', fault: (deployment) => { for (const entry of deployment.entries.slice(0, 1)) entry.up = false } },
  { name: 'crash of the primary and change of control leader', fault: (deployment) => { findPrimary(deployment).up = false; deployment.cluster.changeLeader() } },
  { name: 'control leader isolated', fault: isolateLeader }
]

for (const { name, fault } of unplanned) {
  t.test(`${name}: writes are acknowledged again within the failover target and none is lost`, async (t) => {
    for (const seed of SEEDS) {
      const deployment = await startDeployment(seed)
      fault(deployment)
      const gap = await measureLongestGap(deployment)
      t.same(deployment.violations(), [], `seed ${seed}`)
      t.ok(gap <= FAILOVER_GAP_MS, `seed ${seed}: ${gap} ms`)
    }
  })
}

const planned: FaultCase[] = [
  { name: 'failure domain of the primary withdrawn', fault: (deployment) => deployment.cluster.changeManifest(deployment.manifest([findPrimary(deployment).domain])) },
  { name: 'departing primary', fault: (deployment) => { findPrimary(deployment).departing = true } }
]

for (const { name, fault } of planned) {
  t.test(`${name}: another database is primary before the deadline for new work, and no write is lost`, async (t) => {
    for (const seed of SEEDS) {
      const deployment = await startDeployment(seed)
      const formerPrimary = findPrimary(deployment)
      fault(deployment)
      await deployment.runUntil(FAULT_AT_MS + NEW_WORK_DEADLINE_MS)
      const directory = deployment.leader()?.summary()
      t.same(directory?.groups.map(({ phase }) => phase), ['serving', 'serving'], `seed ${seed}`)
      t.not(findPrimary(deployment).name, formerPrimary.name)
      t.equal(directory?.databases.find(({ database }) => database === formerPrimary.name)?.weight, 0)
      t.equal(directory?.groups.find(({ group }) => group === 'g1')?.lastFailover?.planned, true)
      await deployment.runUntil(FAULT_AT_MS + OBSERVED_MS)
      t.equal(formerPrimary.status().role, 'replica', 'the former primary follows the new one')
      t.same(deployment.violations(), [])
    }
  })
}

t.test('a switchover ends when a connection holder does not release its term, so that writes do not wait for long; the leader attempts it again', async (t) => {
  const deployment = await startDeployment(1)
  const formerPrimary = findPrimary(deployment)
  for (const entry of deployment.entries) entry.isStuck = true
  formerPrimary.departing = true
  const gap = await measureLongestGap(deployment)
  t.equal(findPrimary(deployment).name, formerPrimary.name)
  t.ok(gap <= FAILOVER_GAP_MS, `${gap} ms`)
  for (const entry of deployment.entries) entry.isStuck = false
  await deployment.runUntil(FAULT_AT_MS + OBSERVED_MS + 20_000)
  t.not(findPrimary(deployment).name, formerPrimary.name)
  t.same(deployment.violations(), [])
})

t.test('a slow primary stays primary', async (t) => {
  const deployment = await startDeployment(1)
  const { name } = findPrimary(deployment)
  const { deliver } = deployment.network
  deployment.network.deliver = (from, to, action) => { deployment.network.time.after(to === name ? 300 : 0, () => deliver(from, to, action)) }
  await deployment.runUntil(FAULT_AT_MS + OBSERVED_MS)
  t.equal(findPrimary(deployment).name, name)
  t.equal(deployment.cluster.state().groups.find(({ group }) => group === 'g1')?.term, 1)
})
