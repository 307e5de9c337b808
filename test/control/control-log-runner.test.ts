import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import type { Test } from 'tap'
import { startControlLog } from '../../src/control/control-log-runner.js'
import type { ControlLogRunner } from '../../src/control/control-log-runner.js'
import { milliseconds } from '../../src/types/clock.js'
import type { Address } from '../../src/types/ids.js'
import { address } from '../../src/types/ids.js'
import type { LogEventName } from '../../src/types/log-event.js'
import { resultCodes } from '../../src/types/result-code.js'
import { buildManifestCommand } from '../fixtures/build-manifest-command.js'
import { createSeededRandom } from '../fixtures/simulated-cluster.js'

const SEED = 7
const TICK_MS = 25
/** Bounds a wait in ticks of simulated time, so that a hung member fails the test. */
const TICK_LIMIT = 4000

/** Lets messages and file operations finish, so that the speed of the disk has no part in the simulated time. */
async function quiet (): Promise<void> {
  for (let idleTurns = 0; idleTurns < 5; idleTurns++) {
    await new Promise((resolve) => setImmediate(resolve))
    if (process.getActiveResourcesInfo().some((name) => /^(FSReq|CloseReq)/.test(name))) idleTurns = 0
  }
}

interface RunningMember {
  own: Address
  log: ControlLogRunner
}

/** Members with real data folders, a transport in the process and a clock that the test moves. */
async function createMembers (t: Test, size: number) {
  const parent = await mkdtemp(join(tmpdir(), 'catkinrelay-control-'))
  t.teardown(() => rm(parent, { recursive: true, force: true }))
  const addresses = Array.from({ length: size }, (_, position) => address(`10.0.0.${position + 1}:7000`))
  const running = new Map<Address, ControlLogRunner>()
  const ticks = new Map<Address, () => void>()
  const events: LogEventName[] = []
  const random = createSeededRandom(SEED)
  let now = 0
  t.teardown(async () => { for (const log of running.values()) await log.stop() })

  const open = (own: Address, folder: string, memberAddresses: readonly Address[] = addresses) => startControlLog({
    ownAddress: own,
    entryAddress: address(`entry of ${own}`),
    memberAddresses,
    dataFolder: join(parent, folder),
    transport: { send: (to, message) => { setImmediate(() => running.get(to)?.receive(structuredClone(message))) } },
    clock: { now: () => milliseconds(now) },
    random,
    logEvent: (name) => { events.push(name) },
    snapshotThreshold: 100,
    repeat: (_intervalMs, task) => {
      ticks.set(own, task)
      return () => { ticks.delete(own) }
    }
  })

  async function start (position: number, folder = `data-${position}`): Promise<RunningMember> {
    const own = addresses[position] as Address
    const log = (await open(own, folder))._unsafeUnwrap()
    running.set(own, log)
    return { own, log }
  }

  async function stop (member: RunningMember): Promise<void> {
    running.delete(member.own)
    await member.log.stop()
  }

  async function until (what: string, condition: () => boolean): Promise<void> {
    for (let count = 0; count < TICK_LIMIT; count++) {
      if (condition()) return
      now += TICK_MS
      for (const tick of [...ticks.values()]) tick()
      await quiet()
    }
    throw new Error(`not reached: ${what}`)
  }

  async function settled<Value> (promise: Promise<Value>): Promise<Value> {
    const holder: { value?: Value } = {}
    promise.then((value) => { holder.value = value })
    await until('a call is settled', () => 'value' in holder)
    return holder.value as Value
  }

  const leaderOf = (members: RunningMember[]): RunningMember | undefined => members.find((member) => member.log.isLeader())
  return { parent, addresses, events, open, start, stop, until, settled, leaderOf }
}

t.test('a member of a cluster of one returns to the latest state after a restart with 2,000 changes', async (t) => {
  const cluster = await createMembers(t, 1)
  const member = await cluster.start(0)
  await cluster.until('it leads', member.log.isLeader)
  const changes = Array.from({ length: 2000 }, (_, base) => member.log.propose(buildManifestCommand(base, `content ${base}`)))
  const answers = await cluster.settled(Promise.all(changes))
  t.ok(answers.every((answer) => answer.isOk() && answer.value.kind === 'manifest-accepted'))
  const before = member.log.state()
  t.equal(before.manifestVersion, 2000)
  await cluster.stop(member)
  const again = await cluster.start(0)
  await cluster.until('it leads again', () => again.log.isLeader() && again.log.state().manifestVersion === 2000)
  t.same(again.log.state(), before)
  t.ok(cluster.events.includes('snapshotWritten'))
})

t.test('a member with an emptied folder rejoins, and the loss of a second member afterwards loses nothing', async (t) => {
  const cluster = await createMembers(t, 3)
  const members = [await cluster.start(0), await cluster.start(1)]
  let ticks = 0
  await cluster.until('2 s have passed', () => ticks++ > 80)
  t.notOk(cluster.events.includes('clusterFormed'), 'two of three empty members form nothing')
  members.push(await cluster.start(2))
  await cluster.until('all know the leader', () => members.every((member) => member.log.leaderAddress() === `entry of ${cluster.leaderOf(members)?.own}`))
  const leader = cluster.leaderOf(members) as RunningMember
  const [lost, kept] = members.filter((member) => member !== leader) as [RunningMember, RunningMember]
  const refused = await cluster.settled(lost.log.propose(buildManifestCommand(0, 'a')))
  t.same(refused._unsafeUnwrapErr(), { kind: 'not-leader', leaderAddress: `entry of ${leader.own}` })
  for (let base = 0; base < 150; base++) {
    const answer = await cluster.settled(leader.log.propose(buildManifestCommand(base, `content ${base}`)))
    t.match(answer._unsafeUnwrap(), { kind: 'manifest-accepted', manifestVersion: base + 1 })
  }

  await cluster.stop(lost)
  const replacement = await cluster.start(members.indexOf(lost), 'empty')
  await cluster.until('the lost member was removed', () => cluster.events.includes('memberRemoved') && replacement.log.state().manifestVersion === 150)
  // The removal must be committed before a second member may be lost.
  t.ok((await cluster.settled(leader.log.propose(buildManifestCommand(150, 'last')))).isOk())
  await cluster.stop(leader)
  const left = [replacement, kept]
  await cluster.until('the two others have a leader', () => cluster.leaderOf(left) !== undefined)
  const survivor = cluster.leaderOf(left) as RunningMember
  t.equal((await cluster.settled(survivor.log.confirmLeadership()))._unsafeUnwrap(), survivor.log.term())
  t.equal(survivor.log.state().manifestVersion, 151)

  await cluster.stop(left.find((member) => member !== survivor) as RunningMember)
  const unknown = await cluster.settled(survivor.log.propose(buildManifestCommand(151, 'after')))
  t.same(unknown._unsafeUnwrapErr(), { kind: 'unknown' }, 'no majority is left')
})

t.test('a member that can not write its folder any more stops, as nothing it promises would last', async (t) => {
  const cluster = await createMembers(t, 1)
  const member = await cluster.start(0)
  await cluster.until('it leads', member.log.isLeader)
  await rm(cluster.parent, { recursive: true })
  // The open log file still takes entries; the snapshot needs the folder.
  await cluster.settled(Promise.all(Array.from({ length: 100 }, (_, base) => member.log.propose(buildManifestCommand(base, `content ${base}`)))))
  await cluster.until('the failure is reported', () => cluster.events.includes('failed'))
  t.notOk(member.log.isLeader())
  t.same((await member.log.propose(buildManifestCommand(100, 'a')))._unsafeUnwrapErr(), { kind: 'not-leader', leaderAddress: null })
})

t.test('settings that do not name the own address once are refused', async (t) => {
  const cluster = await createMembers(t, 2)
  const [first, second] = cluster.addresses as [Address, Address]
  for (const memberAddresses of [[second], [first, first]]) {
    const started = await cluster.open(first, 'data', memberAddresses)
    t.equal(started._unsafeUnwrapErr().code, resultCodes.settingsInvalid.code)
  }
})
