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
import { createStubAllocator } from './fixtures/world.js'
import { emptyServiceLevels } from '../../src/types/service-level.js'

type Confirmation = (result: Result<number, ControlLogFailure>) => void

const settled = () => new Promise((resolve) => { setImmediate(resolve) })

function stateOf (manifestVersion: number): ReplicatedState {
  const group = { id: groupId('g'), slots: 5, connections: 30 }
  const workspace = { id: 'w' as never, group: group.id, rate: 100, burst: 20, weight: 1, keys: [] }
  return { manifestVersion, manifest: { formatVersion: 1, failureDomains: [], groups: [group], workspaces: [workspace], routes: [] }, serviceLevels: emptyServiceLevels(), acceptedDigests: [], manifestDocument: null, withdrawnDomains: [], databases: [], instances: [], groups: [] }
}

/** A coordinator whose log does what the test says. */
async function startCoordinator () {
  let now = 1000
  let leading = true
  let state = stateOf(1)
  let notify = () => {}
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
      takeChanged: () => changed.splice(0).map(instanceId),
      renew: (instance) => {
        renewed.push(instance)
        return []
      }
    },
    log: {
      isLeader: () => leading,
      memberAddresses: () => [],
      provenMsAgo: () => null,
      leaderAddress: () => leading ? null : address('other:1'),
      term: () => 7,
      state: () => state,
      propose: async (command) => {
        proposed.push(command)
        return ok({ kind: 'group-conflict', group: { group: groupId(''), term: 0, primary: null, phase: 'serving' } })
      },
      confirmLeadership: () => new Promise((resolve) => { confirmations.push(resolve) }),
      onChange: (listener) => { notify = listener }
    }
  })
  await settled()
  return {
    coordinator,
    confirmations,
    proposed,
    renewed,
    resources: () => resources,
    change: (instance: string) => changed.push(instance),
    take: () => sent.splice(0),
    wait: (durationMs: number) => {
      now += durationMs
      coordinator.tick()
    },
    commit: (version: number) => {
      state = stateOf(version)
      notify()
    },
    depose: () => {
      leading = false
      notify()
    }
  }
}

const kinds = (messages: ControlToEntry[]) => messages.map((message) => message.kind === 'heartbeat-answer' ? `answer ${message.sequence}` : message.kind)

t.test('a heartbeat is answered only after a round that began after it arrived', async (t) => {
  const { coordinator, confirmations, take, wait } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  coordinator.handle('c', buildHeartbeat(2))
  wait(50)
  t.equal(confirmations.length, 1)
  t.same(kinds(take()).filter((kind) => kind.startsWith('answer')), [])
  confirmations[0]?.(ok(7))
  await settled()
  t.same(kinds(take()).filter((kind) => kind.startsWith('answer')), ['answer 1'], 'the second heartbeat arrived during the round')
  wait(50)
  confirmations[1]?.(ok(7))
  await settled()
  t.same(kinds(take()).at(-1), 'answer 2')
})

const refusals: { name: string, result: Result<number, ControlLogFailure> }[] = [
  { name: 'a round that a majority does not confirm', result: err({ kind: 'unknown' }) },
  { name: 'a round that confirms another term', result: ok(8) }
]
for (const { name, result } of refusals) {
  t.test(`${name} gives no lease and renews no share`, async (t) => {
    const { coordinator, confirmations, renewed, take } = await startCoordinator()
    coordinator.handle('c', buildHeartbeat(1))
    confirmations[0]?.(result)
    await settled()
    t.notOk(kinds(take()).includes('answer 1'))
    t.same(renewed, [])
  })
}

t.test('the barrier of a new leader passes the checks of the other members, or the log would stop', async (t) => {
  const { proposed } = await startCoordinator()
  const entries = proposed.map((command) => ({ index: 1, term: 1, payload: { kind: 'command', command } }))
  t.equal(entries.length, 1)
  const names = { cluster: 'c', from: 'a', fromAddress: 'a:1', to: 'b', entryAddress: 'a:2' }
  const append = { ...names, version: 1, kind: 'append', term: 1, round: 1, previousIndex: 0, previousTerm: 0, commitIndex: 0 }
  t.not(checkConsensusMessage({ ...append, entries }), null)
  t.equal(checkConsensusMessage({ ...append, entries: [{ index: 1 }] }), null, 'the check refuses what is malformed')
})

t.test('a deposed leader refers its instances to the new one at once and does not answer a round that ends later', async (t) => {
  const { coordinator, confirmations, depose, take } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  take()
  depose()
  t.match(take(), [{ kind: 'not-leader', leaderAddress: 'other:1' }])
  confirmations[0]?.(ok(7))
  await settled()
  t.same(take(), [])
  coordinator.handle('c', buildHeartbeat(2))
  t.same(kinds(take()), ['not-leader'])
})

t.test('the manifest and the directory are sent before the answer that names them, and again when a later heartbeat lacks them', async (t) => {
  const { coordinator, confirmations, take, wait } = await startCoordinator()
  wait(2000)
  coordinator.handle('c', buildHeartbeat(1))
  wait(50)
  confirmations[0]?.(ok(7))
  await settled()
  t.same(kinds(take()), ['manifest', 'directory', 'answer 1'])
  for (const [sequence, pauseMs, expected] of [[2, 100, ['answer 2']], [3, 400, ['manifest', 'directory', 'answer 3']]] as const) {
    wait(pauseMs)
    take()
    coordinator.handle('c', buildHeartbeat(sequence))
    confirmations.at(-1)?.(ok(7))
    await settled()
    t.same(kinds(take()), expected, `heartbeat ${sequence}`)
  }
})

t.test('a committed manifest is pushed at once, so that a withdrawn key stops within the target', async (t) => {
  const { coordinator, commit, take } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1, { manifestVersion: 1 }))
  take()
  commit(2)
  t.match(take().filter(({ kind }) => kind === 'manifest'), [{ kind: 'manifest', manifestVersion: 2 }])
})

t.test('an instance whose shares changed is asked for a heartbeat at once, as shares are granted in answers only', async (t) => {
  const { coordinator, change, take, wait } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  take()
  change('i')
  wait(50)
  t.ok(kinds(take()).includes('heartbeat-request'))
})

t.test('status watches and control keep connections that are not shared out; slots and connections go to holders only', async (t) => {
  const { coordinator, resources, wait } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1))
  coordinator.handle('c', { version: 1, kind: 'announcement', ageMs: 0, announcement: buildAnnouncement(buildStatus('d')) })
  for (let time = 0; time < 2000; time += 500) {
    wait(500)
    coordinator.handle('c', buildHeartbeat(time))
  }
  t.same(Object.fromEntries(resources()), {
    'rate:w': { amount: 100, burst: 20, whole: false, eligible: null },
    'slots:d': { amount: 5, burst: 0, whole: true, eligible: ['i'] },
    'connections:d': { amount: 25, burst: 0, whole: true, eligible: ['i'] }
  })
})

t.test('the summary tells of a lost instance what it proved last, so that a report does not claim more', async (t) => {
  const { coordinator, wait } = await startCoordinator()
  coordinator.handle('c', buildHeartbeat(1, { manifestVersion: 1 }))
  wait(1600)
  t.match(coordinator.summary().instances, [{ instance: 'i', manifestVersion: 1, provenMsAgo: 1600 }])
})
