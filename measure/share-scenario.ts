import { instanceId, workspaceId } from '../src/types/ids.js'
import type { FleetInstance, FleetOutcome, FleetWorkspace, ShareFleetOptions } from './share-fleet.js'
import { createShareFleet } from './share-fleet.js'
import { createRandom, createSimulation, exponentialDelay } from './simulation.js'

export interface SkewScenario {
  seed: number
  instances: number
  workspaces: FleetWorkspace[]
  /** Demand as a part of the rate. */
  load: number
  /** Mean time between moves of a workspace's demand to other instances, in milliseconds. */
  moveEveryMs: number
  /** Measured time, after a start of 10 s that isn't counted. */
  durationMs: number
  staticParts: number | null
}

/** Counts of one workspace. */
export interface SkewCounts {
  workspace: FleetWorkspace
  requests: number
  refused: number
  /** Refused by one bucket of the whole rate and burst with the same bounded wait: nothing better is possible. */
  refusedByOneBucket: number
  /** Refusals that the instances themselves counted as wrongful. */
  countedWrongful: number
  waited: number
}

export interface SkewResult {
  counts: SkewCounts[]
  heartbeatsPerSecond: number
}

const startMs = 10_000
const oneWayMs = 1
const confirmMs = 3
const maxWaitMs = 250

/** The hottest instance gets about half of the demand of a workspace, the next a quarter, and so on. */
const skewRatio = 0.5

/** One token bucket in front of everything, as if there were a single instance without delay. */
function createOneBucket (workspace: FleetWorkspace): (now: number) => boolean {
  // Time at which the tokens handed out so far are covered; the wait of a request is the distance to it.
  let coveredAt = 0
  const intervalMs = 1000 / workspace.rate
  return (now) => {
    const next = Math.max(coveredAt, now - workspace.burst * intervalMs) + intervalMs
    if (next - now > maxWaitMs) return false
    coveredAt = next
    return true
  }
}

function shuffled (count: number, random: () => number): number[] {
  const order = Array.from({ length: count }, (_, index) => index)
  for (let index = count - 1; index > 0; index--) {
    const other = Math.floor(random() * (index + 1))
    const moved = order[index] as number
    order[index] = order[other] as number
    order[other] = moved
  }
  return order
}

/** Runs Poisson arrivals whose distribution over the instances is skewed and moves. */
export function runSkewScenario (scenario: SkewScenario): SkewResult {
  const { seed, instances, workspaces, load, moveEveryMs, durationMs, staticParts } = scenario
  const random = createRandom(seed)
  const simulation = createSimulation()
  const counts = new Map(workspaces.map((workspace) => [workspace.id, { workspace, requests: 0, refused: 0, refusedByOneBucket: 0, countedWrongful: 0, waited: 0 }]))
  const isMeasured = () => simulation.now() >= startMs

  function onOutcome ({ workspace, admitted, wrongful, waitedMs }: FleetOutcome): void {
    const count = counts.get(workspace)
    if (count === undefined || !isMeasured()) return
    if (!admitted) count.refused++
    if (wrongful) count.countedWrongful++
    if (waitedMs > 0) count.waited++
  }

  const options: ShareFleetOptions = { simulation, workspaces, onOutcome, delay: () => oneWayMs, confirmMs, staticParts }
  const fleet = createShareFleet(options)
  const members: FleetInstance[] = []
  for (let index = 0; index < instances; index++) {
    simulation.after(random() * 500, () => members.push(fleet.start(instanceId(`entry-${index}`))))
  }

  function drive (workspace: FleetWorkspace): void {
    const count = counts.get(workspace.id) as SkewCounts
    const oneBucket = createOneBucket(workspace)
    let order = shuffled(instances, random)
    const move = (): void => {
      order = shuffled(instances, random)
      simulation.after(exponentialDelay(1000 / moveEveryMs, random), move)
    }
    const arrive = (): void => {
      let rank = 0
      while (rank < instances - 1 && random() < skewRatio) rank++
      const member = members[order[rank] as number] as FleetInstance
      const admittedByOneBucket = oneBucket(simulation.now())
      if (isMeasured()) {
        count.requests++
        if (!admittedByOneBucket) count.refusedByOneBucket++
      }
      fleet.request(member, workspace.id)
      simulation.after(exponentialDelay(workspace.rate * load, random), arrive)
    }
    // Shares are granted one share lease after the election of the first leader.
    simulation.after(5000 + random() * 100, arrive)
    simulation.after(5000 + random() * moveEveryMs, move)
  }

  for (const workspace of workspaces) drive(workspace)
  simulation.runUntil(startMs)
  const heartbeatsBefore = fleet.heartbeats()
  simulation.runUntil(startMs + durationMs)
  const heartbeats = fleet.heartbeats() - heartbeatsBefore
  return { counts: [...counts.values()], heartbeatsPerSecond: heartbeats / instances / (durationMs / 1000) }
}

/** Eight workspaces, a few of them large. */
export const eightWorkspaces: FleetWorkspace[] = [2000, 1000, 500, 200, 100, 100, 50, 50].map((rate, index) => ({ id: workspaceId(`workspace-${index}`), rate, burst: rate / 2 }))
