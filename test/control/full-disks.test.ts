import fc from 'fast-check'
import t from 'tap'
import type { MemberOnDisk, MembersOnDisks } from '../fixtures/members-on-disks.js'
import { createMembersOnDisks } from '../fixtures/members-on-disks.js'

// Guards against a control member that stays away from the control log, or whose process ends, because its disk was full for a few seconds.
// Once the disks of a majority have been full, one after another, such members would leave the log without a majority for good.

const SEED = 20261205
const RUNS = 25

async function startMembers (size: number, seed: number): Promise<MembersOnDisks> {
  const cluster = createMembersOnDisks(size, seed)
  cluster.members.forEach(cluster.start)
  await cluster.waitUntil('all members hold the membership', () => cluster.members.every(({ log }) => log?.memberAddresses().length === size))
  await cluster.waitUntil('a leader is elected', () => cluster.leader() !== undefined)
  return cluster
}

const fill = (member: MemberOnDisk, freeBytes = 0): void => member.disk.setSize(member.disk.usedBytes() + freeBytes)
const giveRoom = (member: MemberOnDisk): void => member.disk.setSize(Infinity)
const wasUnavailable = (cluster: MembersOnDisks, member: MemberOnDisk): boolean => cluster.events.some((event) => event.member === member.own && event.name === 'storageUnavailable')

t.test('a follower whose disk was full acknowledges nothing meanwhile, and catches up without a restart of its process', async (t) => {
  const cluster = await startMembers(3, SEED)
  await cluster.commit(0)
  const full = cluster.members.find((member) => member !== cluster.leader()) as MemberOnDisk
  const other = cluster.members.find((member) => member !== cluster.leader() && member !== full) as MemberOnDisk
  fill(full)
  await cluster.commit(1)
  await cluster.waitUntil('the follower notices', () => wasUnavailable(cluster, full))
  t.equal(full.log?.leaderAddress(), null)
  fill(other)
  const unanswered = cluster.propose(2)
  await cluster.waitUntil('the leader finds no majority', () => cluster.leader() === undefined)
  t.same(unanswered.answer, { kind: 'unknown' }, 'the two full disks hold nothing of the change')

  giveRoom(full)
  await cluster.commit(2)
  giveRoom(other)
  await cluster.waitUntil('all have applied the change', () => cluster.members.every((member) => cluster.versionOf(member) === 3))
  t.same(cluster.ends, [])
  await cluster.stopAll()
})

t.test('a leader whose disk is full answers its callers at once and another member leads', async (t) => {
  const cluster = await startMembers(3, SEED)
  await cluster.commit(0)
  const full = cluster.leader() as MemberOnDisk
  fill(full)
  const proposal = cluster.propose(1)
  await cluster.tick()
  t.not(proposal.answer, null, 'the proposal is answered within a tick, although its outcome is unknown')
  t.notOk(full.log?.isLeader())
  t.equal(full.log?.state().manifestVersion, 1, 'the state that it has applied stays visible')
  t.same((await full.log?.propose({ kind: 'barrier' }))?._unsafeUnwrapErr(), { kind: 'not-leader', leaderAddress: null })
  await cluster.commit(1)
  t.not(cluster.leader(), full)

  giveRoom(full)
  await cluster.waitUntil('it has applied the change', () => cluster.versionOf(full) === 2)
  t.same(cluster.ends, [])
  await cluster.stopAll()
})

t.test('a member that starts on a full disk waits for room instead of ending its process', async (t) => {
  const cluster = createMembersOnDisks(3, SEED)
  const [first, second, full] = cluster.members as [MemberOnDisk, MemberOnDisk, MemberOnDisk]
  full.disk.setSize(40)
  cluster.members.forEach(cluster.start)
  await cluster.run(3000)
  t.ok(wasUnavailable(cluster, full))
  t.equal(full.log, null)
  giveRoom(full)
  await cluster.commit(0)
  await cluster.waitUntil('all have applied the change', () => [first, second, full].every((member) => cluster.versionOf(member) === 1))
  t.same(cluster.ends, [])
  t.same(full.disk.names(), ['/data/control.log', '/data/member-id'], 'no temporary file is left')
  await cluster.stopAll()
})

t.test('the log recovers after the disks of all members were full one after another', async (t) => {
  const cluster = await startMembers(5, SEED)
  let version = 0
  for (const member of cluster.members) {
    fill(member, 100)
    const roomAt = version + 15
    while (version < roomAt) await cluster.commit(version++)
    giveRoom(member)
  }
  await cluster.commit(version++)
  await cluster.waitUntil('all have applied every change', () => cluster.members.every((member) => cluster.versionOf(member) === version))
  t.ok(cluster.members.every((member) => wasUnavailable(cluster, member)), 'each disk was full')
  t.same(cluster.ends, [])
  await cluster.stopAll()
})

const fullDiskArbitrary = fc.record({
  position: fc.nat({ max: 4 }),
  isLeader: fc.boolean(),
  freeBytes: fc.constantFrom(0, 1, 40, 300, 1500, 4000),
  fullMs: fc.integer({ min: 25, max: 2500 }),
  pauseMs: fc.integer({ min: 0, max: 300 }),
  /** A process that is killed while its disk is full starts on it again. */
  isRestarted: fc.boolean()
})

t.test('changes are accepted and all members catch up after disks were full one after another at random times', async (t) => {
  const coverage = { accepted: 0, unavailable: 0, restarted: 0, snapshots: 0 }
  await fc.assert(fc.asyncProperty(fc.integer(), fc.constantFrom(3, 5), fc.array(fullDiskArbitrary, { minLength: 2, maxLength: 6 }), async (seed, size, steps) => {
    const cluster = await startMembers(size, seed)
    let version = 0
    let proposal = cluster.propose(version)
    const proposeNext = (): void => {
      if (proposal.answer === null) return
      if (proposal.answer.kind === 'manifest-accepted') version++
      proposal = cluster.propose(version)
    }
    const runProposing = async (durationMs: number): Promise<void> => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 25) {
        proposeNext()
        await cluster.tick()
      }
    }
    for (const step of steps) {
      const member = (step.isLeader ? cluster.leader() : null) ?? cluster.members[step.position % size] as MemberOnDisk
      fill(member, step.freeBytes)
      await runProposing(step.fullMs)
      if (step.isRestarted && member.log !== null) {
        const { log } = member
        member.log = null
        await log.stop()
        cluster.start(member)
        coverage.restarted++
        await runProposing(step.fullMs)
      }
      giveRoom(member)
      await runProposing(step.pauseMs)
    }
    await cluster.waitUntil('the last proposal is answered', () => proposal.answer !== null)
    if (proposal.answer?.kind === 'manifest-accepted') version++
    await cluster.commit(version++)
    await cluster.waitUntil('all have applied every change', () => cluster.members.every((member) => cluster.versionOf(member) === version))
    if (cluster.ends.length > 0) throw new Error(`processes ended by themselves: ${cluster.ends.join(', ')}`)
    coverage.accepted += version
    coverage.unavailable += cluster.events.filter(({ name }) => name === 'storageUnavailable').length
    coverage.snapshots += cluster.events.filter(({ name }) => name === 'snapshotWritten').length
    await cluster.stopAll()
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  t.comment(`seed ${SEED}, ${RUNS} schedules: ${JSON.stringify(coverage)}`)
  for (const [caseName, count] of Object.entries(coverage)) {
    t.ok(count >= RUNS / 4, `the schedules contain enough cases of: ${caseName}`)
  }
})
