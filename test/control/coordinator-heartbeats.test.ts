import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import t from 'tap'
import { checkConsensusMessage } from '../../src/control/consensus-message-schema.js'
import { createCoordinator } from '../../src/control/coordinator.js'
import { milliseconds } from '../../src/types/clock.js'
import type { ControlLogFailure } from '../../src/types/control-log.js'
import type { ControlToEntry } from '../../src/types/control-message.js'
import { address, groupId, instanceId } from '../../src/types/ids.js'
import type { ResourceId } from '../../src/types/ids.js'
import type { Command, ReplicatedState } from '../../src/types/replicated-state.js'
import type { ResourceSize } from '../../src/types/share-allocator.js'
import { buildAnnouncement, buildHeartbeat, buildStatus } from '../decisions/membership/fixtures/messages.js'
import { createStubAllocator } from './fixtures/simulated-deployment.js'
import { createEmptyServiceLevels } from '../../src/types/service-level.js'

// A leader may have lost its majority without knowing it. If it still answered heartbeats, instances would keep leases and shares that a
// new leader grants to others. So the coordinator answers a heartbeat only after a leadership confirmation that began later.

type Confirmation = (result: Result<number, ControlLogFailure>) => void

const settlePromises = () => new Promise((resolve) => { setImmediate(resolve) })

function buildState (manifestVersion: number): ReplicatedState {
  const group = { id: groupId('g'), slots: 5, connections: 30 }
  const workspace = { id: 'w' as never, group: group.id, rate: 100, burst: 20, weight: 1, keys: [] }
  return { manifestVersion, manifest: { formatVersion: 1, failureDomains: [], groups: [group], workspaces: [workspace], routes: [] }, serviceLevels: createEmptyServiceLevels(), acceptedDigests: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups: [] }
}

/** Starts a coordinator whose log, clock and leadership confirmations the test controls. */
async function startCoordinator () {
  let now = 1000
  let isLeading = true
  let state = buildState(1)
  let notifyChange = () => {}
  const confirmations: Confirmation[] = []
  const proposed: Command[] = []
  const sent: ControlToEntry[] = []
  const renewed: string[] = []
  const changed: string[] = []
  let resources: ReadonlyMap<ResourceId, ResourceSize> = new Map()
  const noOrders = () => new Promise<never>(() => {})
  const coordinator = createCoordinator({
    clock: { now: () => milliseconds(now) },
    logEvent: () => {},
    orders: { status: noOrders, fence: noOrders, promote: noOrders, follow: noOrders },
    send: (_, message) => sent.push(message),
    allocator: {
      ...createStubAllocator(),
      setResources: (sizes) => { resources = sizes },
      drainHeartbeatRequests: () => changed.splice(0).map(instanceId),
      renew: (instance) => {
        renewed.push(instance)
        return []
      }
    },
    log: {
      isLeader: () => isLeading,
      memberAddresses: () => [],
      provenMsAgo: () => null,
      leaderAddress: () => isLeading ? null : address('other:1'),
      term: () => 7,
      state: () => state,
      propose: async (command) => {
        proposed.push(command)
        return ok({ kind: 'group-conflict', group: { group: groupId(''), term: 0, primary: null, phase: 'serving' } })
      },
      confirmLeadership: () => new Promise((resolve) => { confirmations.push(resolve) }),
      onChange: (listener) => { notifyChange = listener }
    }
  })
  await settlePromises()
  return {
    coordinator,
    confirmations,
    proposed,
    renewed,
    resources: () => resources,
    markSharesChanged: (instance: string) => changed.push(instance),
    drainSent: () => sent.splice(0),
    advance: (durationMs: number) => {
      now += durationMs
      coordinator.tick()
    },
    commit: (version: number) => {
      state = buildState(version)
      notifyChange()
    },
    /** Commits the record of an instance, as the log of a fleet that starts does for each one. */
    recordInstance: (name: string) => {
      state = { ...state, instances: [...state.instances, instanceId(name)] }
      notifyChange()
    },
    /** Commits the withdrawal of the failure domain of the databases. */
    withdrawDomain: () => {
      state = { ...state, withdrawnDomains: [buildAnnouncement(buildStatus('d'), false).failureDomain] }
      notifyChange()
    },
    depose: () => {
      isLeading = false
      notifyChange()
    }
  }
}

const describeMessages = (messages: ControlToEntry[]) => messages.map((message) => message.kind === 'heartbeat-answer' ? `answer ${message.sequence}` : message.kind)

t.test('a heartbeat is answered only after a leadership confirmation that began after it arrived', async (t) => {
  const { coordinator, confirmations, drainSent, advance } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  coordinator.handle('c', buildHeartbeat(2))
  advance(50)
  t.equal(confirmations.length, 1)
  t.same(describeMessages(drainSent()).filter((kind) => kind.startsWith('answer')), [])
  confirmations[0]?.(ok(7))
  await settlePromises()
  t.same(describeMessages(drainSent()).filter((kind) => kind.startsWith('answer')), ['answer 1'], 'the second heartbeat arrived during the confirmation')
  advance(50)
  confirmations[1]?.(ok(7))
  await settlePromises()
  t.same(describeMessages(drainSent()).at(-1), 'answer 2')
})

const refusals: { name: string, result: Result<number, ControlLogFailure> }[] = [
  { name: 'a confirmation without an answer from a majority', result: err({ kind: 'unknown' }) },
  { name: 'a confirmation of another term', result: ok(8) }
]
for (const { name, result } of refusals) {
  t.test(`${name} renews neither lease nor share`, async (t) => {
    const { coordinator, confirmations, renewed, drainSent } = await startCoordinator()
    coordinator.handle('c', buildHeartbeat(1))
    confirmations[0]?.(result)
    await settlePromises()
    t.notOk(describeMessages(drainSent()).includes('answer 1'))
    t.same(renewed, [])
  })
}

t.test('other members accept the barrier of a new leader, as the log would stop otherwise', async (t) => {
  const { proposed } = await startCoordinator()
  const entries = proposed.map((command) => ({ index: 1, term: 1, payload: { kind: 'command', command } }))
  t.equal(entries.length, 1)
  const names = { cluster: 'c', from: 'a', fromAddress: 'a:1', to: 'b', entryAddress: 'a:2' }
  const append = { ...names, version: 1, kind: 'append', term: 1, round: 1, previousIndex: 0, previousTerm: 0, commitIndex: 0 }
  t.not(checkConsensusMessage({ ...append, entries }), null)
  t.equal(checkConsensusMessage({ ...append, entries: [{ index: 1 }] }), null, 'the check drops a malformed entry')
})

t.test('a deposed leader refers its instances to the new leader at once and answers no heartbeat whose confirmation ends later', async (t) => {
  const { coordinator, confirmations, depose, drainSent } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  drainSent()
  depose()
  t.match(drainSent(), [{ kind: 'not-leader', leaderAddress: 'other:1' }])
  confirmations[0]?.(ok(7))
  await settlePromises()
  t.same(drainSent(), [])
  coordinator.handle('c', buildHeartbeat(2))
  t.same(describeMessages(drainSent()), ['not-leader'])
})

t.test('the manifest and the directory are sent before the answer that names them, and again when a later heartbeat does not report them', async (t) => {
  const { coordinator, confirmations, drainSent, advance } = await startCoordinator()
  advance(2000)
  coordinator.handle('c', buildHeartbeat(1))
  advance(50)
  confirmations[0]?.(ok(7))
  await settlePromises()
  t.same(describeMessages(drainSent()), ['manifest', 'directory', 'answer 1'])
  for (const [sequence, pauseMs, expected] of [[2, 100, ['answer 2']], [3, 400, ['manifest', 'directory', 'answer 3']]] as const) {
    advance(pauseMs)
    drainSent()
    coordinator.handle('c', buildHeartbeat(sequence))
    confirmations.at(-1)?.(ok(7))
    await settlePromises()
    t.same(describeMessages(drainSent()), expected, `heartbeat ${sequence}`)
  }
})

t.test('a committed manifest is sent at once, so that instances refuse a withdrawn key within the target', async (t) => {
  const { coordinator, commit, drainSent } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1, { manifestVersion: 1 }))
  drainSent()
  commit(2)
  t.match(drainSent().filter(({ kind }) => kind === 'manifest'), [{ kind: 'manifest', manifestVersion: 2 }])
})

t.test('the leader requests a heartbeat at once from an instance whose shares changed, as it grants shares only in answers', async (t) => {
  const { coordinator, markSharesChanged, drainSent, advance } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  drainSent()
  markSharesChanged('i')
  advance(50)
  t.ok(describeMessages(drainSent()).includes('heartbeat-request'))
})

t.test('connections for status polls and for control are not granted, and slots and connections are granted only to connection holders', async (t) => {
  const { coordinator, resources, advance } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  coordinator.handle('c', { version: 1, kind: 'announcement', ageMs: 0, announcement: buildAnnouncement(buildStatus('d')) })
  for (let time = 0; time < 2000; time += 500) {
    advance(500)
    coordinator.handle('c', buildHeartbeat(time))
  }
  t.same(Object.fromEntries(resources()), {
    'rate:w': { amount: 100, burst: 20, whole: false, eligible: null },
    'slots:d': { amount: 5, burst: 0, whole: true, eligible: ['i'] },
    'connections:d': { amount: 25, burst: 0, whole: true, eligible: ['i'] }
  })
})

t.test('the summary lists a lost instance with the values of its last heartbeat, so that a report does not claim more', async (t) => {
  const { coordinator, advance } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1, { manifestVersion: 1 }))
  advance(1600)
  t.match(coordinator.summary().instances, [{ instance: 'i', manifestVersion: 1, provenMsAgo: 1600 }])
})

t.test('while a fleet starts, the records of its instances cause few directories; a withdrawn failure domain is published at once', async (t) => {
  const instanceCount = 200
  const deployment = await startCoordinator()
  const { coordinator, confirmations, drainSent, advance, recordInstance, withdrawDomain } = deployment
  confirmations.shift()?.(ok(7))
  await settlePromises()
  coordinator.handle('d', { version: 1, kind: 'announcement', ageMs: 0, announcement: buildAnnouncement(buildStatus('d'), false) })
  drainSent()
  for (let joined = 0; joined < instanceCount; joined++) {
    coordinator.handle(`entry-${joined}`, buildHeartbeat(1, { instance: instanceId(`entry-${joined}`), incarnation: `entry-${joined}.a` as never }))
    recordInstance(`entry-${joined}`)
    advance(10)
  }
  const directories = drainSent().filter(({ kind }) => kind === 'directory').length
  // A directory goes to n instances and is followed by a pause of n times 2 ms, so 2,000 ms have room for 1,000. Each instance also gets one with its first heartbeat.
  t.ok(directories > 0)
  t.ok(directories <= 1000 + instanceCount, `${directories} directories for ${instanceCount} instances`)
  withdrawDomain()
  t.equal(drainSent().filter(({ kind }) => kind === 'directory').length, instanceCount, 'within the pause')
})
