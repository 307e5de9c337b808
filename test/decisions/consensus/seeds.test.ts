// Members that replace lost members start at new addresses and know only a few seed addresses. Guards against a cluster that such a
// member cannot find, and against lost voters that still count for the majority, so that later losses leave no majority.
import t from 'tap'
import type { Command } from '../../../src/types/replicated-state.js'
import type { SimulatedCluster, SimulatedMember } from '../../fixtures/simulated-cluster.js'
import { createSimulatedCluster } from '../../fixtures/simulated-cluster.js'

const SEED = 20261204
const barrier: Command = { kind: 'barrier' }

const create = (size: number): SimulatedCluster => createSimulatedCluster(size, SEED, 8, { seeds: 3, consensus: { openMembership: true, targetVoters: 5 } })

function voterAddresses (cluster: SimulatedCluster): string[] {
  const members = cluster.leader()?.controller?.view().log.members() ?? []
  return members.filter(({ role }) => role === 'voter').map(({ address }) => address).sort()
}

const addressesOf = (members: readonly SimulatedMember[]): string[] => members.map(({ address }) => address).sort()

t.test('members that know only three seeds find the cluster and become voters', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  t.same(voterAddresses(cluster), addressesOf(cluster.members))
  cluster.commit(barrier)
})

t.test('a lost member that was replaced at another address no longer counts for the majority', async (t) => {
  const cluster = create(6)
  const [lost, successor] = [cluster.members[3] as SimulatedMember, cluster.members[5] as SimulatedMember]
  cluster.crash(successor)
  cluster.runUntil('the first five vote', () => voterAddresses(cluster).length === 5 && cluster.leader() !== null)
  cluster.crash(lost)
  cluster.start(successor)
  cluster.runUntil('the successor has replaced the lost voter', () => {
    const voters = voterAddresses(cluster)
    return voters.length === 5 && voters.includes(successor.address) && !voters.includes(lost.address)
  })
  // After two more losses, three of the five voters run.
  for (const member of cluster.members.filter((other) => other !== lost && other !== cluster.leader()).slice(0, 2)) cluster.crash(member)
  cluster.commit(barrier)
  t.pass()
})

t.test('an unresponsive voter stays while no successor has joined', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  const unresponsive = cluster.members.find((member) => member !== cluster.leader()) as SimulatedMember
  cluster.crash(unresponsive)
  cluster.run(10_000)
  t.ok(voterAddresses(cluster).includes(unresponsive.address))
})

t.test('a member finds the leader through a seed that is not the leader', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  const seeds = cluster.members.slice(0, 3)
  // With two seeds down, the leader may be a member that is not a seed.
  for (const seed of seeds.slice(0, 2)) cluster.crash(seed)
  cluster.runUntil('one of the running members leads', () => cluster.leader() !== null)
  for (const seed of seeds.slice(0, 2)) cluster.start(seed)
  const joining = cluster.members.find((member) => member !== cluster.leader() && !seeds.includes(member)) ?? cluster.members[4] as SimulatedMember
  cluster.wipe(joining)
  cluster.start(joining)
  cluster.runUntil('the member with the emptied folder votes again', cluster.isWhole)
  t.pass()
})

t.test('a member that is not allowed to form a cluster waits for one', async (t) => {
  const cluster = createSimulatedCluster(3, SEED, 8, { consensus: { canFormCluster: false } })
  cluster.run(5000)
  t.equal(cluster.leader(), null)
})

t.test('the age of the leadership confirmation grows while no majority answers', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  cluster.run(500)
  const leader = cluster.leader() as SimulatedMember
  const connectedAgeMs = leader.controller?.view().provenMsAgo ?? Infinity
  t.ok(connectedAgeMs < 200, `${connectedAgeMs} ms`)
  cluster.isolate(leader)
  cluster.run(300)
  const isolatedAgeMs = leader.controller?.view().provenMsAgo ?? Infinity
  t.ok(isolatedAgeMs >= 300, `${isolatedAgeMs} ms`)
})
