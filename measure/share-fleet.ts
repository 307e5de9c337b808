import { createBlackboard } from '../src/blackboard/blackboard.js'
import type { LeasedShare } from '../src/blackboard/entry-instance-entries.js'
import { manifestEntry, sharesEntry } from '../src/blackboard/entry-instance-entries.js'
import { createShareAllocator } from '../src/decisions/limits/share-allocator.js'
import { orderRateHolders } from '../src/decisions/limits/order-rate-holders.js'
import type { RateHolderCandidate } from '../src/decisions/limits/select-rate-holders.js'
import { MAX_RATE_HOLDER_REFUSALS } from '../src/decisions/limits/select-rate-holders.js'
import type { SendHeartbeat, ShareHolder } from '../src/decisions/limits/share-holder.js'
import { createShareHolder } from '../src/decisions/limits/share-holder.js'
import type { TokenBuckets } from '../src/decisions/limits/token-buckets.js'
import { createTokenBuckets } from '../src/decisions/limits/token-buckets.js'
import type { LimiterEffect, WorkspaceLimiter } from '../src/decisions/limits/workspace-limiter.js'
import { createWorkspaceLimiter } from '../src/decisions/limits/workspace-limiter.js'
import { addTime, milliseconds } from '../src/types/clock.js'
import type { HeartbeatAnswer } from '../src/types/control-message.js'
import type { FailureDomainId, IncarnationId, InstanceId, RequestId, ResourceId, WorkspaceId } from '../src/types/ids.js'
import { address, failureDomainId, groupId, incarnationId, requestId, resourceId } from '../src/types/ids.js'
import type { ResourceSize, ShareAllocator } from '../src/types/share-allocator.js'
import type { Simulation } from './simulation.js'

/** Limits of one workspace: `rate` in requests per second, `burst` in requests. */
export interface FleetWorkspace {
  id: WorkspaceId
  rate: number
  burst: number
}

/** Result of one request: whether the limiter admitted it, and at which simulated time in milliseconds. */
export interface FleetOutcome {
  workspace: WorkspaceId
  requestId: RequestId
  isAdmitted: boolean
  /** Whether the request was refused although arrivals at the instance were within the rate and the leader had not yet reacted to the demand. */
  isWrongful: boolean
  waitedMs: number
  at: number
}

export interface ShareFleetOptions {
  simulation: Simulation
  workspaces: FleetWorkspace[]
  onOutcome: (outcome: FleetOutcome) => void
  /** @returns delay of the next message in milliseconds, or null to lose the message */
  delay: () => number | null
  /** Time that a leadership confirmation by a majority of control members takes, in milliseconds. */
  confirmMs: number
  /** Number of instances among which each rate is split into equal, fixed shares; null to use the share allocator. */
  staticParts: number | null
  /** Selects the instances that hold shares of a rate; null: all. The others request tokens of them. Default: all. */
  selectHolders?: (workspace: WorkspaceId, rate: number, instances: readonly RateHolderCandidate[]) => readonly InstanceId[] | null
  /** Whether a new leader knows which instances may hold which rates, as the control log records them. No two incarnations of an instance may overlap then. Default false. */
  recordsHolders?: boolean
  /** Time for which instances may serve without a confirmation by control, in milliseconds. Default: that of the share lease. */
  unconfirmedServiceMs?: number
  /** Resources that are shared in whole units, in addition to the rates. Default: none. */
  wholeResources?: WholeResource[]
}

/** A resource that is shared in whole units. The creator of the fleet supplies demand and use. */
export interface WholeResource {
  resource: ResourceId
  amount: number
  demandOf: (instance: InstanceId) => number
  usedOf: (instance: FleetInstance) => number
}

/** One incarnation of an entry instance. */
export interface FleetInstance {
  instance: InstanceId
  failureDomain: FailureDomainId
  incarnation: IncarnationId
  limiter: WorkspaceLimiter
  holder: ShareHolder
  buckets: TokenBuckets
  /** Shares in force at the instance. */
  shares: () => ReadonlyMap<ResourceId, LeasedShare>
  /** @returns time of the instance's own clock in milliseconds */
  now: () => number
  isAlive: boolean
  draining: boolean
  /** Whether no message passes between the instance and the leader. */
  isCutOff: boolean
  sendHeartbeat: () => void
}

interface Leader {
  term: number
  allocator: ShareAllocator
}

/** Entry instances and a control leader in simulated time. */
export interface ShareFleet {
  /** @param clockSpeed - speed of the instance's clock relative to simulated time; default 1. @param listensAt - address; default: the name */
  start: (instance: InstanceId, clockSpeed?: number, listensAt?: string) => FleetInstance
  stop: (instance: FleetInstance) => void
  /** Elects a new leader. Answers that the former leader has already sent are still delivered. */
  electLeader: () => void
  setWorkspaces: (workspaces: FleetWorkspace[]) => void
  request: (instance: FleetInstance, workspace: WorkspaceId, timeoutMs?: number) => void
  getLeaderAllocator: () => ShareAllocator
  /** @returns number of heartbeats sent so far by all instances */
  countHeartbeats: () => number
}

const HEARTBEAT_INTERVAL_MS = 500
const TICK_INTERVAL_MS = 50
/** Longest wait for a token at one rate holder. */
const TOKEN_REQUEST_MS = 150
/** Keeps a rounding error from running a limiter tick just before its request is due. */
const TIMER_SLACK_MS = 0.01

function buildResourceSizes (workspaces: readonly FleetWorkspace[], wholeResources: readonly WholeResource[], holdersOf: (workspace: WorkspaceId) => readonly InstanceId[] | null): Map<ResourceId, ResourceSize> {
  const sizes = new Map<ResourceId, ResourceSize>()
  for (const { id, rate, burst } of workspaces) sizes.set(resourceId('rate', id), { amount: rate, burst, whole: false, eligible: holdersOf(id) })
  for (const { resource, amount } of wholeResources) sizes.set(resource, { amount, burst: 0, whole: true, eligible: null })
  return sizes
}

/** @returns a fleet without instances whose first leader has just been elected */
export function createShareFleet (options: ShareFleetOptions): ShareFleet {
  const { simulation, onOutcome, delay, confirmMs, staticParts } = options
  const wholeResources = options.wholeResources ?? []
  const lease = options.unconfirmedServiceMs === undefined ? {} : { unconfirmedServiceMs: options.unconfirmedServiceMs }
  const instances = new Set<FleetInstance>()
  const recordedHolders = new Map<ResourceId, Set<InstanceId>>()
  const limiterWakeTimes = new Map<FleetInstance, number>()
  /** Rate holders of which a request has not asked for a token yet. */
  const furtherHolders = new Map<RequestId, FleetInstance[]>()
  let workspaces = options.workspaces
  let leader: Leader = { term: 0, allocator: createLeader(0) }
  let heartbeatCount = 0
  let incarnationCount = 0
  let requestCount = 0

  function holdersOf (workspace: WorkspaceId): readonly InstanceId[] | null {
    return options.selectHolders?.(workspace, workspaces.find(({ id }) => id === workspace)?.rate ?? 0, [...instances]) ?? null
  }

  function buildSizes (): Map<ResourceId, ResourceSize> {
    const sizes = buildResourceSizes(workspaces, wholeResources, holdersOf)
    for (const [resource, { eligible }] of sizes) {
      const holders = eligible ?? [...instances].map(({ instance }) => instance)
      recordedHolders.set(resource, new Set([...recordedHolders.get(resource) ?? [], ...holders]))
    }
    return sizes
  }

  function createLeader (term: number): ShareAllocator {
    const allocator = createShareAllocator({ clock: { now: () => milliseconds(simulation.now()) }, ...lease })
    allocator.setResources(buildSizes())
    allocator.becomeLeader(term)
    return allocator
  }

  function deliver (action: () => void): void {
    const delayMs = delay()
    if (delayMs !== null) simulation.after(delayMs, action)
  }

  function electLeader (): void {
    const term = leader.term + 1
    const recorded = new Map([...recordedHolders].map(([resource, holders]) => [resource, [...holders]]))
    leader = { term, allocator: createLeader(term) }
    if (options.recordsHolders === true) leader.allocator.expectHolders(new Set([...recorded.values()].flat()), (resource) => recorded.get(resource) ?? null)
  }

  function requestHeartbeats (): void {
    const changed = new Set(leader.allocator.drainHeartbeatRequests())
    for (const instance of instances) {
      if (changed.has(instance.instance)) deliver(instance.sendHeartbeat)
    }
  }

  function answerHeartbeat (instance: FleetInstance, sequence: number, receivingLeader: Leader): void {
    if (receivingLeader !== leader) return
    const answer: HeartbeatAnswer = {
      version: 1,
      kind: 'heartbeat-answer',
      sequence,
      leaderTerm: receivingLeader.term,
      manifestVersion: 1,
      directoryVersion: { leaderTerm: receivingLeader.term, counter: 1 },
      shares: receivingLeader.allocator.renew(instance.instance, instance.incarnation)
    }
    deliver(() => {
      if (!instance.isAlive || instance.isCutOff) return
      applyEffects(instance, instance.holder.handle({ kind: 'heartbeat-answer', answer }))
      applyEffects(instance, instance.limiter.tick())
    })
  }

  function applyEffects (instance: FleetInstance, effects: (LimiterEffect | SendHeartbeat)[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send-heartbeat') instance.sendHeartbeat()
      if (effect.kind === 'request-share') applyEffects(instance, instance.holder.handle({ kind: 'demand-changed' }))
      if (effect.kind === 'refused' && requestNextHolder(effect)) continue
      if (effect.kind === 'admitted') onOutcome({ workspace: workspaceOf(effect.requestId), requestId: effect.requestId, isAdmitted: true, isWrongful: false, waitedMs: effect.waitedMs, at: simulation.now() })
      if (effect.kind === 'refused') onOutcome({ workspace: effect.workspace, requestId: effect.requestId, isAdmitted: false, isWrongful: effect.wrongful, waitedMs: 0, at: simulation.now() })
    }
  }

  function workspaceOf (id: RequestId): WorkspaceId {
    return id.slice(id.indexOf(':') + 1) as WorkspaceId
  }

  function start (id: InstanceId, clockSpeed = 1, listensAt: string = id): FleetInstance {
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
      ...lease,
      demandSources: [limiter.demand, wholeDemand],
      usedOf: (resource) => wholeResources.find((whole) => whole.resource === resource)?.usedOf(instance) ?? 0
    })
    let sequence = 0
    const instance: FleetInstance = {
      instance: id,
      // Each instance is a failure domain of its own.
      failureDomain: failureDomainId(id),
      incarnation: incarnationId(`${id}-${incarnationCount++}`),
      limiter,
      holder,
      buckets,
      shares: shares.read,
      now: clock.now,
      isAlive: true,
      draining: false,
      isCutOff: false,
      sendHeartbeat: () => {
        if (!instance.isAlive || staticParts !== null) return
        heartbeatCount++
        sequence++
        const sentSequence = sequence
        const heldShares = holder.composeHeartbeat(sentSequence)
        deliver(() => {
          if (instance.isCutOff) return
          const receivingLeader = leader
          receivingLeader.allocator.report({ instance: id, incarnation: instance.incarnation, address: address(listensAt), draining: instance.draining, ...heldShares })
          requestHeartbeats()
          simulation.after(confirmMs, () => answerHeartbeat(instance, sentSequence, receivingLeader))
        })
      }
    }
    if (staticParts !== null) installStaticShares(staticParts)
    instances.add(instance)
    leader.allocator.setResources(buildSizes())
    repeat(instance, HEARTBEAT_INTERVAL_MS, instance.sendHeartbeat)
    repeat(instance, TICK_INTERVAL_MS, () => applyEffects(instance, [...limiter.tick(), ...holder.tick()]))
    instance.sendHeartbeat()
    return instance

    function installStaticShares (instanceCount: number): void {
      const staticShares = workspaces.map(({ id, rate, burst }) => ({ resource: resourceId('rate', id), amount: rate / instanceCount, burst: burst / instanceCount, grant: 1, validUntil: milliseconds(Infinity), fullUntil: milliseconds(Infinity), renewedAt: milliseconds(0) }))
      for (const share of staticShares) buckets.resize(share.resource, share, 0, { fullUntil: share.validUntil, validUntil: share.validUntil })
      blackboard.claim(sharesEntry, 'static-shares').write(new Map(staticShares.map((share) => [share.resource, share])))
    }
  }

  function repeat (instance: FleetInstance, everyMs: number, action: () => void): void {
    simulation.after(everyMs, () => {
      if (!instance.isAlive) return
      action()
      repeat(instance, everyMs, action)
    })
  }

  /** Schedules a limiter tick for the time at which its next waiting request is due, as an entry instance does with a timer. */
  function scheduleLimiterTick (instance: FleetInstance): void {
    const next = instance.limiter.nextTickAt()
    if (next === null) return
    const at = simulation.now() + Math.max(0, next - instance.now()) + TIMER_SLACK_MS
    if (at >= (limiterWakeTimes.get(instance) ?? Infinity)) return
    limiterWakeTimes.set(instance, at)
    simulation.after(at - simulation.now(), () => {
      if (!instance.isAlive || limiterWakeTimes.get(instance) !== at) return
      limiterWakeTimes.delete(instance)
      applyEffects(instance, instance.limiter.tick())
      scheduleLimiterTick(instance)
    })
  }

  function requestFrom (instance: FleetInstance, id: RequestId, workspace: WorkspaceId, timeoutMs: number): void {
    if (!instance.isAlive) return
    const deadline = addTime(milliseconds(instance.now()), timeoutMs)
    applyEffects(instance, instance.limiter.handle({ kind: 'admit', requestId: id, workspace, deadline }))
    scheduleLimiterTick(instance)
  }

  /** Requests a token of the next rate holder after a refusal. @returns whether there is one to request it of */
  function requestNextHolder ({ requestId: id, workspace }: { requestId: RequestId, workspace: WorkspaceId }): boolean {
    const next = furtherHolders.get(id)?.shift()
    if (next === undefined) {
      furtherHolders.delete(id)
      return false
    }
    deliver(() => { requestFrom(next, id, workspace, TOKEN_REQUEST_MS) })
    return true
  }

  function request (instance: FleetInstance, workspace: WorkspaceId, timeoutMs = 5000): void {
    const id = requestId(`${requestCount++}:${workspace}`)
    const names = holdersOf(workspace)
    if (names === null) return requestFrom(instance, id, workspace, timeoutMs)
    const holders = orderRateHolders(instance, [...instances].filter((candidate) => names.includes(candidate.instance)), requestCount)
    const [first, ...others] = holders.slice(0, MAX_RATE_HOLDER_REFUSALS)
    if (first === undefined) return
    furtherHolders.set(id, others)
    if (first === instance) requestFrom(first, id, workspace, TOKEN_REQUEST_MS)
    else deliver(() => { requestFrom(first, id, workspace, TOKEN_REQUEST_MS) })
  }

  function setWorkspaces (next: FleetWorkspace[]): void {
    workspaces = next
    leader.allocator.setResources(buildSizes())
  }

  function tickLeader (): void {
    leader.allocator.tick()
    requestHeartbeats()
    simulation.after(TICK_INTERVAL_MS, tickLeader)
  }

  electLeader()
  tickLeader()

  return {
    start,
    stop: (instance) => {
      instance.isAlive = false
      instances.delete(instance)
      leader.allocator.setResources(buildSizes())
    },
    electLeader,
    setWorkspaces,
    request,
    getLeaderAllocator: () => leader.allocator,
    countHeartbeats: () => heartbeatCount
  }
}
