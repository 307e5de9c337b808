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

// A member that acknowledges a change and loses it later breaks what operators rely on. It can lose changes when it restarts, when its
// data folder is emptied or unwritable, or when a second member fails before a removed one has left the membership.

const SEED = 7
const TICK_MS = 25
/** Maximum number of simulated ticks that a wait lasts, so that a hung member fails the test. */
const MAX_TICKS = 4000

/** Waits until messages and file operations have finished, so that the speed of the disk does not affect the simulated time. */
async function settleWork (): Promise<void> {
  for (let idleTurns = 0; idleTurns < 5; idleTurns++) {
    await new Promise((resolve) => setImmediate(resolve))
    if (process.getActiveResourcesInfo().some((name) => /^(FSReq|CloseReq)/.test(name))) idleTurns = 0
  }
}

interface RunningMember {
  own: Address
  log: ControlLogRunner
}

/** Creates members with real data folders, a transport within the process and a clock that the test advances. */
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

  async function waitUntil (what: string, condition: () => boolean): Promise<void> {
    for (let count = 0; count < MAX_TICKS; count++) {
      if (condition()) return
      now += TICK_MS
      for (const tick of [...ticks.values()]) tick()
      await settleWork()
    }
    throw new Error(`not reached: ${what}`)
  }

  async function waitForResult<Value> (promise: Promise<Value>): Promise<Value> {
    const holder: { value?: Value } = {}
    promise.then((value) => { holder.value = value })
    await waitUntil('a call is settled', () => 'value' in holder)
    return holder.value as Value
  }

  const findLeader = (members: RunningMember[]): RunningMember | undefined => members.find((member) => member.log.isLeader())
  return { parent, addresses, events, open, start, stop, waitUntil, waitForResult, findLeader }
}

t.test('a single member restores its latest state of 2,000 changes after a restart', async (t) => {
  const cluster = await createMembers(t, 1)
  const member = await cluster.start(0)
  await cluster.waitUntil('it leads', member.log.isLeader)
  const changes = Array.from({ length: 2000 }, (_, base) => member.log.propose(buildManifestCommand(base, `content ${base}`)))
  const answers = await cluster.waitForResult(Promise.all(changes))
  t.ok(answers.every((answer) => answer.isOk() && answer.value.kind === 'manifest-accepted'))
  const before = member.log.state()
  t.equal(before.manifestVersion, 2000)
  await cluster.stop(member)
  const again = await cluster.start(0)
  await cluster.waitUntil('it leads again', () => again.log.isLeader() && again.log.state().manifestVersion === 2000)
  t.same(again.log.state(), before)
  t.ok(cluster.events.includes('snapshotWritten'))
})

t.test('a member with an emptied data folder rejoins, and the later loss of a second member loses no change', async (t) => {
  const cluster = await createMembers(t, 3)
  const members = [await cluster.start(0), await cluster.start(1)]
  let ticks = 0
  await cluster.waitUntil('2 s have passed', () => ticks++ > 80)
  t.notOk(cluster.events.includes('clusterFormed'), 'two of three empty members form no cluster')
  members.push(await cluster.start(2))
  await cluster.waitUntil('all know the leader', () => members.every((member) => member.log.leaderAddress() === `entry of ${cluster.findLeader(members)?.own}`))
  const leader = cluster.findLeader(members) as RunningMember
  const [lost, kept] = members.filter((member) => member !== leader) as [RunningMember, RunningMember]
  const refused = await cluster.waitForResult(lost.log.propose(buildManifestCommand(0, 'a')))
  t.same(refused._unsafeUnwrapErr(), { kind: 'not-leader', leaderAddress: `entry of ${leader.own}` })
  for (let base = 0; base < 150; base++) {
    const answer = await cluster.waitForResult(leader.log.propose(buildManifestCommand(base, `content ${base}`)))
    t.match(answer._unsafeUnwrap(), { kind: 'manifest-accepted', manifestVersion: base + 1 })
  }

  await cluster.stop(lost)
  const replacement = await cluster.start(members.indexOf(lost), 'empty')
  await cluster.waitUntil('the lost member was removed', () => cluster.events.includes('memberRemoved') && replacement.log.state().manifestVersion === 150)
  // The removal of the lost member must be committed before a second member may stop.
  t.ok((await cluster.waitForResult(leader.log.propose(buildManifestCommand(150, 'last')))).isOk())
  await cluster.stop(leader)
  const left = [replacement, kept]
  await cluster.waitUntil('the two others have a leader', () => cluster.findLeader(left) !== undefined)
  const survivor = cluster.findLeader(left) as RunningMember
  t.equal((await cluster.waitForResult(survivor.log.confirmLeadership()))._unsafeUnwrap(), survivor.log.term())
  t.equal(survivor.log.state().manifestVersion, 151)

  await cluster.stop(left.find((member) => member !== survivor) as RunningMember)
  const unknown = await cluster.waitForResult(survivor.log.propose(buildManifestCommand(151, 'after')))
  t.same(unknown._unsafeUnwrapErr(), { kind: 'unknown' }, 'no majority is left')
})

t.test('a member that can\'t write its data folder any more stops, as it could not keep what it acknowledges', async (t) => {
  const cluster = await createMembers(t, 1)
  const member = await cluster.start(0)
  await cluster.waitUntil('it leads', member.log.isLeader)
  await rm(cluster.parent, { recursive: true })
  // The open log file still accepts entries, but a snapshot needs the folder.
  await cluster.waitForResult(Promise.all(Array.from({ length: 100 }, (_, base) => member.log.propose(buildManifestCommand(base, `content ${base}`)))))
  await cluster.waitUntil('the failure is reported', () => cluster.events.includes('failed'))
  t.notOk(member.log.isLeader())
  t.same((await member.log.propose(buildManifestCommand(100, 'a')))._unsafeUnwrapErr(), { kind: 'not-leader', leaderAddress: null })
})

t.test('a member refuses to start when its settings do not list its own address exactly once', async (t) => {
  const cluster = await createMembers(t, 2)
  const [first, second] = cluster.addresses as [Address, Address]
  for (const memberAddresses of [[second], [first, first]]) {
    const started = await cluster.open(first, 'data', memberAddresses)
    t.equal(started._unsafeUnwrapErr().code, resultCodes.settingsInvalid.code)
  }
})
