import type { WeightedFairQueue } from '../src/decisions/fairness/weighted-fair-queue.js'
import { createWeightedFairQueue } from '../src/decisions/fairness/weighted-fair-queue.js'
import { milliseconds } from '../src/types/clock.js'
import type { RequestId, WorkspaceId } from '../src/types/ids.js'
import { requestId, workspaceId } from '../src/types/ids.js'
import type { Simulation } from './simulation.js'
import { createRandom, createSimulation, exponentialDelay } from './simulation.js'

export type QueuePolicy = 'fair' | 'first-in-first-out' | 'round-robin'

export interface QueueScenario {
  seed: number
  policy: QueuePolicy
  /** Demand of the first workspace as a multiple of its fair share; the others send a little less than theirs. */
  excess: number
  durationMs: number
}

interface Job {
  id: RequestId
  workspace: WorkspaceId
  deadline: number
  serviceMs: number
}

/** The part of a queue that the scenario uses. */
interface JobQueue {
  add: (job: Job) => void
  /** @returns the next job to serve, or null when none waits */
  take: () => Job | null
  /** Tells how long a job held its slot. */
  finished: (job: Job) => void
}

const slots = 5
const workspaceCount = 4
const maxPerWorkspace = 200
const deadlineMs = 1000
const startMs = 2000

/** The others send this part of their fair share. */
const modestLoad = 0.97

/** Statements of the workspace that sends too much take longer, so that counting requests is not enough. */
const serviceMs = 5
const heavyServiceMs = 15

/** Cost that the queue expects of any request; the difference is charged when the request ends. */
const expectedCost = 5

function createFairJobs (simulation: Simulation): JobQueue {
  const clock = { now: () => milliseconds(simulation.now()) }
  const queue: WeightedFairQueue<Job> = createWeightedFairQueue<Job>({ clock, maxPerWorkspace })
  return {
    add: (job) => { queue.enqueue({ id: job.id, workspace: job.workspace, cost: expectedCost, deadline: milliseconds(job.deadline), item: job }) },
    take: () => {
      queue.drainExpired()
      return queue.dequeue()?.item ?? null
    },
    finished: (job) => { queue.charge(job.workspace, job.serviceMs - expectedCost) }
  }
}

function createArrivalOrderJobs (simulation: Simulation): JobQueue {
  const jobs: Job[] = []
  return {
    add: (job) => { if (jobs.length < maxPerWorkspace * workspaceCount) jobs.push(job) },
    take: () => {
      while (jobs[0] !== undefined && jobs[0].deadline <= simulation.now()) jobs.shift()
      return jobs.shift() ?? null
    },
    finished: () => {}
  }
}

function createRoundRobinJobs (simulation: Simulation): JobQueue {
  const queues = new Map<WorkspaceId, Job[]>()
  const takeFrom = (workspace: WorkspaceId, jobs: Job[]): Job | null => {
    while (jobs[0] !== undefined && jobs[0].deadline <= simulation.now()) jobs.shift()
    const job = jobs.shift()
    if (job === undefined) return null
    // The served workspace goes to the end of the order.
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
    take: () => {
      for (const [workspace, jobs] of queues) {
        const job = takeFrom(workspace, jobs)
        if (job !== null) return job
      }
      return null
    },
    finished: () => {}
  }
}

const queueMakers: Record<QueuePolicy, (simulation: Simulation) => JobQueue> = {
  fair: createFairJobs,
  'first-in-first-out': createArrivalOrderJobs,
  'round-robin': createRoundRobinJobs
}

/**
 * Serves four workspaces of equal weight from five slots, one of which sends too much.
 * @returns slot time that the worst-served workspace got, as a part of its fair share or of its demand if that is less
 */
export function runQueueScenario (scenario: QueueScenario): number {
  const { seed, policy, excess, durationMs } = scenario
  const random = createRandom(seed)
  const simulation = createSimulation()
  const queue = queueMakers[policy](simulation)
  const demanded = new Map<WorkspaceId, number>()
  const served = new Map<WorkspaceId, number>()
  const fairMsPerSecond = slots * 1000 / workspaceCount
  let free = slots
  let jobs = 0

  const count = (times: Map<WorkspaceId, number>, { workspace, serviceMs }: Job): void => {
    if (simulation.now() >= startMs) times.set(workspace, (times.get(workspace) ?? 0) + serviceMs)
  }

  function serveNext (): void {
    if (free === 0) return
    const job = queue.take()
    if (job === null) return
    free--
    simulation.after(job.serviceMs, () => {
      free++
      count(served, job)
      queue.finished(job)
      serveNext()
    })
    serveNext()
  }

  function drive (index: number): void {
    const workspace = workspaceId(`workspace-${index}`)
    const meanMs = index === 0 ? heavyServiceMs : serviceMs
    const load = index === 0 ? excess : modestLoad
    const perSecond = load * fairMsPerSecond / meanMs
    const arrive = (): void => {
      const job: Job = { id: requestId(`r${jobs++}`), workspace, deadline: simulation.now() + deadlineMs, serviceMs: exponentialDelay(1000 / meanMs, random) }
      count(demanded, job)
      queue.add(job)
      serveNext()
      simulation.after(exponentialDelay(perSecond, random), arrive)
    }
    simulation.after(exponentialDelay(perSecond, random), arrive)
  }

  for (let index = 0; index < workspaceCount; index++) drive(index)
  simulation.runUntil(startMs + durationMs)
  const fairMs = fairMsPerSecond * durationMs / 1000
  const shares = [...demanded].map(([workspace, demand]) => (served.get(workspace) ?? 0) / Math.min(demand, fairMs))
  return Math.min(...shares)
}
