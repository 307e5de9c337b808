import { createBlackboard } from '../src/blackboard/blackboard.js'
import type { LeasedShare } from '../src/blackboard/entry-instance-entries.js'
import { manifestEntry, sharesEntry } from '../src/blackboard/entry-instance-entries.js'
import { createShareAllocator } from '../src/decisions/limits/share-allocator.js'
import type { SendHeartbeat, ShareHolder } from '../src/decisions/limits/share-holder.js'
import { createShareHolder } from '../src/decisions/limits/share-holder.js'
import type { TokenBuckets } from '../src/decisions/limits/token-buckets.js'
import { createTokenBuckets } from '../src/decisions/limits/token-buckets.js'
import type { LimiterEffect, WorkspaceLimiter } from '../src/decisions/limits/workspace-limiter.js'
import { createWorkspaceLimiter } from '../src/decisions/limits/workspace-limiter.js'
import { addTime, milliseconds } from '../src/types/clock.js'
import type { HeartbeatAnswer } from '../src/types/control-message.js'
import type { IncarnationId, InstanceId, RequestId, ResourceId, WorkspaceId } from '../src/types/ids.js'
import { groupId, incarnationId, requestId, resourceId } from '../src/types/ids.js'
import type { ResourceSize, ShareAllocator } from '../src/types/share-allocator.js'
import type { Simulation } from './simulation.js'

export interface FleetWorkspace {
  id: WorkspaceId
  rate: number
  burst: number
}

/** What happened to one request. */
export interface FleetOutcome {
  workspace: WorkspaceId
  requestId: RequestId
  admitted: boolean
  wrongful: boolean
  waitedMs: number
  at: number
}

export interface ShareFleetOptions {
  simulation: Simulation
  workspaces: FleetWorkspace[]
  onOutcome: (outcome: FleetOutcome) => void
  /** Delay of one message in milliseconds; null: the message is lost. */
  delay: () => number | null
  /** Time that a majority of control members needs to confirm the leader, in milliseconds. */
  confirmMs: number
  /** Equal shares among this many instances that never move, in place of the allocator; null: the allocator. */
  staticParts: number | null
  /** Resources of whole units besides the rates. Default: none. */
  wholeResources?: WholeResource[]
}

/** A resource of whole units whose use is driven from outside. */
export interface WholeResource {
  resource: ResourceId
  amount: number
  demandOf: (instance: InstanceId) => number
  usedOf: (instance: FleetInstance) => number
}

/** One run of an instance. */
export interface FleetInstance {
  instance: InstanceId
  incarnation: IncarnationId
  limiter: WorkspaceLimiter
  holder: ShareHolder
  buckets: TokenBuckets
  /** Shares in force at the instance. */
  shares: () => ReadonlyMap<ResourceId, LeasedShare>
  /** Milliseconds of the instance's clock. */
  now: () => number
  alive: boolean
  draining: boolean
  sendHeartbeat: () => void
}

interface Leader {
  term: number
  allocator: ShareAllocator
}

/** Entry instances and a control leader in simulated time. */
export interface ShareFleet {
  start: (instance: InstanceId, clockSpeed?: number) => FleetInstance
  stop: (instance: FleetInstance) => void
  /** Elects a new leader; answers that the former one has confirmed are still delivered. */
  electLeader: () => void
  setWorkspaces: (workspaces: FleetWorkspace[]) => void
  request: (instance: FleetInstance, workspace: WorkspaceId, timeoutMs?: number) => void
  leader: () => ShareAllocator
  /** @returns heartbeats sent so far */
  heartbeats: () => number
}

const heartbeatMs = 500
const tickMs = 50
const timerSlackMs = 0.01

function sizesOf (workspaces: readonly FleetWorkspace[], wholeResources: readonly WholeResource[]): Map<ResourceId, ResourceSize> {
  const sizes = new Map<ResourceId, ResourceSize>()
  for (const { id, rate, burst } of workspaces) sizes.set(resourceId('rate', id), { amount: rate, burst, whole: false, eligible: null })
  for (const { resource, amount } of wholeResources) sizes.set(resource, { amount, burst: 0, whole: true, eligible: null })
  return sizes
}

/** @returns a fleet without instances, whose first leader was just elected */
export function createShareFleet (options: ShareFleetOptions): ShareFleet {
  const { simulation, onOutcome, delay, confirmMs, staticParts } = options
  const wholeResources = options.wholeResources ?? []
  const instances = new Set<FleetInstance>()
  const wakeTimes = new Map<FleetInstance, number>()
  let workspaces = options.workspaces
  let leader: Leader = { term: 0, allocator: createLeader(0) }
  let heartbeats = 0
  let runs = 0
  let requests = 0

  function createLeader (term: number): ShareAllocator {
    const allocator = createShareAllocator({ clock: { now: () => milliseconds(simulation.now()) } })
    allocator.setResources(sizesOf(workspaces, wholeResources))
    allocator.becomeLeader(term)
    return allocator
  }

  function deliver (action: () => void): void {
    const delayMs = delay()
    if (delayMs !== null) simulation.after(delayMs, action)
  }

  function electLeader (): void {
    const term = leader.term + 1
    leader = { term, allocator: createLeader(term) }
  }

  function askChanged (): void {
    const changed = new Set(leader.allocator.takeChanged())
    for (const instance of instances) {
      if (changed.has(instance.instance)) deliver(instance.sendHeartbeat)
    }
  }

  function answerHeartbeat (instance: FleetInstance, sequence: number, asked: Leader): void {
    if (asked !== leader) return
    const answer: HeartbeatAnswer = {
      version: 1,
      kind: 'heartbeat-answer',
      sequence,
      leaderTerm: asked.term,
      manifestVersion: 1,
      directoryVersion: { leaderTerm: asked.term, counter: 1 },
      shares: asked.allocator.renew(instance.instance, instance.incarnation)
    }
    deliver(() => {
      if (!instance.alive) return
      carryOut(instance, instance.holder.handle({ kind: 'heartbeat-answer', answer }))
      carryOut(instance, instance.limiter.tick())
    })
  }

  function carryOut (instance: FleetInstance, effects: (LimiterEffect | SendHeartbeat)[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send-heartbeat') instance.sendHeartbeat()
      if (effect.kind === 'request-share') carryOut(instance, instance.holder.handle({ kind: 'demand-changed' }))
      if (effect.kind === 'admitted') onOutcome({ workspace: workspaceOf(effect.requestId), requestId: effect.requestId, admitted: true, wrongful: false, waitedMs: effect.waitedMs, at: simulation.now() })
      if (effect.kind === 'refused') onOutcome({ workspace: effect.workspace, requestId: effect.requestId, admitted: false, wrongful: effect.wrongful, waitedMs: 0, at: simulation.now() })
    }
  }

  function workspaceOf (id: RequestId): WorkspaceId {
    return id.slice(id.indexOf(':') + 1) as WorkspaceId
  }

  function start (id: InstanceId, clockSpeed = 1): FleetInstance {
    const startedAt = simulation.now()
    const clock = { now: () => milliseconds((simulation.now() - startedAt) * clockSpeed) }
    const blackboard = createBlackboard()
    const manifest = { formatVersion: 1 as const, failureDomains: [], groups: [], routes: [], workspaces: workspaces.map((workspace) => ({ ...workspace, group: groupId('group'), weight: 1, keys: [] })) }
    blackboard.claim(manifestEntry, 'fleet').write({ version: 1, manifest })
    const shares = blackboard.reader(sharesEntry)
    const buckets = createTokenBuckets(clock)
    const limiter = createWorkspaceLimiter({ clock, blackboard, buckets })
    const wholeDemand = () => wholeResources.map(({ resource, demandOf }) => ({ resource, amount: demandOf(id), unmet: demandOf(id) > (shares.read().get(resource)?.amount ?? 0) }))
    const holder = createShareHolder({
      clock,
      blackboard: staticParts !== null ? createBlackboard() : blackboard,
      buckets,
      demandSources: [limiter.demand, wholeDemand],
      usedOf: (resource) => wholeResources.find((whole) => whole.resource === resource)?.usedOf(instance) ?? 0
    })
    let sequence = 0
    const instance: FleetInstance = {
      instance: id,
      incarnation: incarnationId(`${id}-${runs++}`),
      limiter,
      holder,
      buckets,
      shares: shares.read,
      now: clock.now,
      alive: true,
      draining: false,
      sendHeartbeat: () => {
        if (!instance.alive || staticParts !== null) return
        heartbeats++
        sequence++
        const sent = sequence
        const held = holder.composeHeartbeat(sent)
        deliver(() => {
          const asked = leader
          asked.allocator.report({ instance: id, incarnation: instance.incarnation, draining: instance.draining, ...held })
          askChanged()
          simulation.after(confirmMs, () => answerHeartbeat(instance, sent, asked))
        })
      }
    }
    if (staticParts !== null) holdStatic(staticParts)
    instances.add(instance)
    repeat(instance, heartbeatMs, instance.sendHeartbeat)
    repeat(instance, tickMs, () => carryOut(instance, [...limiter.tick(), ...holder.tick()]))
    instance.sendHeartbeat()
    return instance

    function holdStatic (parts: number): void {
      const fixed = workspaces.map(({ id, rate, burst }) => ({ resource: resourceId('rate', id), amount: rate / parts, burst: burst / parts, grant: 1, validUntil: milliseconds(Infinity) }))
      for (const share of fixed) buckets.resize(share.resource, share, 0, share.validUntil)
      blackboard.claim(sharesEntry, 'static-shares').write(new Map(fixed.map((share) => [share.resource, share])))
    }
  }

  function repeat (instance: FleetInstance, everyMs: number, action: () => void): void {
    simulation.after(everyMs, () => {
      if (!instance.alive) return
      action()
      repeat(instance, everyMs, action)
    })
  }

  /** Ticks the limiter when its next waiting request is due, as an entry instance does with a timer. */
  function wakeLimiter (instance: FleetInstance): void {
    const next = instance.limiter.nextTickAt()
    if (next === null) return
    const at = simulation.now() + Math.max(0, next - instance.now()) + timerSlackMs
    if (at >= (wakeTimes.get(instance) ?? Infinity)) return
    wakeTimes.set(instance, at)
    simulation.after(at - simulation.now(), () => {
      if (!instance.alive || wakeTimes.get(instance) !== at) return
      wakeTimes.delete(instance)
      carryOut(instance, instance.limiter.tick())
      wakeLimiter(instance)
    })
  }

  function request (instance: FleetInstance, workspace: WorkspaceId, timeoutMs = 5000): void {
    const deadline = addTime(milliseconds(instance.now()), timeoutMs)
    carryOut(instance, instance.limiter.handle({ kind: 'admit', requestId: requestId(`${requests++}:${workspace}`), workspace, deadline }))
    wakeLimiter(instance)
  }

  function setWorkspaces (next: FleetWorkspace[]): void {
    workspaces = next
    leader.allocator.setResources(sizesOf(next, wholeResources))
  }

  function leaderTick (): void {
    leader.allocator.tick()
    askChanged()
    simulation.after(tickMs, leaderTick)
  }

  electLeader()
  leaderTick()

  return {
    start,
    stop: (instance) => {
      instance.alive = false
      instances.delete(instance)
    },
    electLeader,
    setWorkspaces,
    request,
    leader: () => leader.allocator,
    heartbeats: () => heartbeats
  }
}
