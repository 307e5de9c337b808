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

t.test('members that only know three seeds find the cluster and become voters', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  t.same(voterAddresses(cluster), addressesOf(cluster.members))
  cluster.commit(barrier)
})

t.test('a member that is lost for good and replaced at another address counts for no majority any more', async (t) => {
  const cluster = create(6)
  const [lost, successor] = [cluster.members[3] as SimulatedMember, cluster.members[5] as SimulatedMember]
  cluster.crash(successor)
  cluster.runUntil('the first five vote', () => voterAddresses(cluster).length === 5 && cluster.leader() !== null)
  cluster.crash(lost)
  cluster.start(successor)
  cluster.runUntil('the successor has taken the place', () => {
    const voters = voterAddresses(cluster)
    return voters.length === 5 && voters.includes(successor.address) && !voters.includes(lost.address)
  })
  // Two more losses leave three of five.
  for (const member of cluster.members.filter((other) => other !== lost && other !== cluster.leader()).slice(0, 2)) cluster.crash(member)
  cluster.commit(barrier)
  t.pass()
})

t.test('a silent voter stays while there is nobody in its place', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  const silent = cluster.members.find((member) => member !== cluster.leader()) as SimulatedMember
  cluster.crash(silent)
  cluster.run(10_000)
  t.ok(voterAddresses(cluster).includes(silent.address))
})

t.test('a member finds the leader through a seed that is not the leader', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  const seeds = cluster.members.slice(0, 3)
  // Another member leads once all seeds were down.
  for (const seed of seeds.slice(0, 2)) cluster.crash(seed)
  cluster.runUntil('one of the others leads', () => cluster.leader() !== null)
  for (const seed of seeds.slice(0, 2)) cluster.start(seed)
  const joining = cluster.members.find((member) => member !== cluster.leader() && !seeds.includes(member)) ?? cluster.members[4] as SimulatedMember
  cluster.wipe(joining)
  cluster.start(joining)
  cluster.runUntil('the emptied member votes again', cluster.isWhole)
  t.pass()
})

t.test('a member that may not form a cluster waits for one', async (t) => {
  const cluster = createSimulatedCluster(3, SEED, 8, { consensus: { mayForm: false } })
  cluster.run(5000)
  t.equal(cluster.leader(), null)
})

t.test('the age of a proof of leadership grows while no majority answers', async (t) => {
  const cluster = create(5)
  cluster.runUntil('all five vote', cluster.isWhole)
  cluster.run(500)
  const leader = cluster.leader() as SimulatedMember
  const fresh = leader.controller?.view().provenMsAgo ?? Infinity
  t.ok(fresh < 200, `${fresh} ms`)
  cluster.isolate(leader)
  cluster.run(300)
  const cutOff = leader.controller?.view().provenMsAgo ?? Infinity
  t.ok(cutOff >= 300, `${cutOff} ms`)
})
