import type { WeightedFairQueue } from '../src/decisions/fairness/weighted-fair-queue.js'
import { createWeightedFairQueue } from '../src/decisions/fairness/weighted-fair-queue.js'
import { milliseconds } from '../src/types/clock.js'
import type { RequestId, WorkspaceId } from '../src/types/ids.js'
import { requestId, workspaceId } from '../src/types/ids.js'
import type { Simulation } from './simulation.js'
import { createSimulationRandom, createSimulation, drawExponentialDelayMs } from './simulation.js'

/** Order in which a queue serves requests. `fair` is the weighted fair queue of the entry instance. */
export type QueuePolicy = 'fair' | 'first-in-first-out' | 'round-robin'

/** A simulation of one queue in front of the slots of a database. */
export interface QueueScenario {
  seed: number
  policy: QueuePolicy
  /** Demand of the first workspace as a multiple of its fair share. The others demand slightly less than theirs. */
  excess: number
  durationMs: number
}

interface Job {
  id: RequestId
  workspace: WorkspaceId
  deadline: number
  serviceMs: number
}

/** Queue of simulated jobs. Each compared policy implements it. */
interface JobQueue {
  add: (job: Job) => void
  /** Removes the next job to serve. @returns null if no job is queued */
  popNext: () => Job | null
  /** Corrects the cost of a job after it has left its slot. Only the fair queue charges the workspace; the others do nothing. */
  correctCost: (job: Job) => void
}

const SLOTS = 5
const WORKSPACE_COUNT = 4
/** Jobs that a queue holds for each workspace. The first-in-first-out queue has one limit for all workspaces together. */
const maxPerWorkspace = 200
const TIMEOUT_MS = 1000
const WARM_UP_MS = 2000

/** Demand of each other workspace as a ratio of its fair share. */
const MODEST_LOAD_RATIO = 0.97

/** Statements of the workspace with excess demand take longer, so a queue that only counts requests is not fair. */
const SERVICE_MS = 5
const HEAVY_SERVICE_MS = 15

/** Cost that the fair queue expects of each job. It charges the difference to the real cost when the job has left its slot. */
const EXPECTED_COST_MS = 5

function createFairQueue (simulation: Simulation): JobQueue {
  const clock = { now: () => milliseconds(simulation.now()) }
  const queue: WeightedFairQueue<Job> = createWeightedFairQueue<Job>({ clock, maxPerWorkspace })
  return {
    add: (job) => { queue.enqueue({ id: job.id, workspace: job.workspace, cost: EXPECTED_COST_MS, deadline: milliseconds(job.deadline), item: job }) },
    popNext: () => {
      queue.drainExpired()
      return queue.dequeue()?.item ?? null
    },
    correctCost: (job) => { queue.charge(job.workspace, job.serviceMs - EXPECTED_COST_MS) }
  }
}

function createFirstInFirstOutQueue (simulation: Simulation): JobQueue {
  const jobs: Job[] = []
  return {
    add: (job) => { if (jobs.length < maxPerWorkspace * WORKSPACE_COUNT) jobs.push(job) },
    popNext: () => {
      while (jobs[0] !== undefined && jobs[0].deadline <= simulation.now()) jobs.shift()
      return jobs.shift() ?? null
    },
    correctCost: () => {}
  }
}

function createRoundRobinQueue (simulation: Simulation): JobQueue {
  const queues = new Map<WorkspaceId, Job[]>()
  const popFrom = (workspace: WorkspaceId, jobs: Job[]): Job | null => {
    while (jobs[0] !== undefined && jobs[0].deadline <= simulation.now()) jobs.shift()
    const job = jobs.shift()
    if (job === undefined) return null
    // Move the served workspace to the end of the round.
    queues.delete(workspace)
    queues.set(workspace, jobs)
    return job
  }
  return {
    add: (job) => {
      const jobs = queues.get(job.workspace) ?? []
      queues.set(job.workspace, jobs)
      if (jobs.length < maxPerWorkspace) jobs.push(job)
    },
    popNext: () => {
      for (const [workspace, jobs] of queues) {
        const job = popFrom(workspace, jobs)
        if (job !== null) return job
      }
      return null
    },
    correctCost: () => {}
  }
}

const queueFactories: Record<QueuePolicy, (simulation: Simulation) => JobQueue> = {
  fair: createFairQueue,
  'first-in-first-out': createFirstInFirstOutQueue,
  'round-robin': createRoundRobinQueue
}

/**
 * Simulates five slots that serve four workspaces of equal weight, one of which has excess demand.
 * @returns slot time of the worst-served workspace, as a ratio of its fair share, or of its demand if that is less
 */
export function runQueueScenario (scenario: QueueScenario): number {
  const { seed, policy, excess, durationMs } = scenario
  const random = createSimulationRandom(seed)
  const simulation = createSimulation()
  const queue = queueFactories[policy](simulation)
  const demandedMs = new Map<WorkspaceId, number>()
  const servedMs = new Map<WorkspaceId, number>()
  const fairMsPerSecond = SLOTS * 1000 / WORKSPACE_COUNT
  let freeSlots = SLOTS
  let jobCount = 0

  const addServiceTime = (times: Map<WorkspaceId, number>, { workspace, serviceMs }: Job): void => {
    if (simulation.now() >= WARM_UP_MS) times.set(workspace, (times.get(workspace) ?? 0) + serviceMs)
  }

  function serveNext (): void {
    if (freeSlots === 0) return
    const job = queue.popNext()
    if (job === null) return
    freeSlots--
    simulation.after(job.serviceMs, () => {
      freeSlots++
      addServiceTime(servedMs, job)
      queue.correctCost(job)
      serveNext()
    })
    serveNext()
  }

  function startArrivals (index: number): void {
    const workspace = workspaceId(`workspace-${index}`)
    const meanMs = index === 0 ? HEAVY_SERVICE_MS : SERVICE_MS
    const load = index === 0 ? excess : MODEST_LOAD_RATIO
    const perSecond = load * fairMsPerSecond / meanMs
    const arrive = (): void => {
      const job: Job = { id: requestId(`r${jobCount++}`), workspace, deadline: simulation.now() + TIMEOUT_MS, serviceMs: drawExponentialDelayMs(1000 / meanMs, random) }
      addServiceTime(demandedMs, job)
      queue.add(job)
      serveNext()
      simulation.after(drawExponentialDelayMs(perSecond, random), arrive)
    }
    simulation.after(drawExponentialDelayMs(perSecond, random), arrive)
  }

  for (let index = 0; index < WORKSPACE_COUNT; index++) startArrivals(index)
  simulation.runUntil(WARM_UP_MS + durationMs)
  const fairMs = fairMsPerSecond * durationMs / 1000
  const shares = [...demandedMs].map(([workspace, demand]) => (servedMs.get(workspace) ?? 0) / Math.min(demand, fairMs))
  return Math.min(...shares)
}
