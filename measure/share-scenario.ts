import { selectRateHolders } from '../src/decisions/limits/select-rate-holders.js'
import { instanceId, workspaceId } from '../src/types/ids.js'
import type { FleetInstance, FleetOutcome, FleetWorkspace, ShareFleetOptions } from './share-fleet.js'
import { createShareFleet } from './share-fleet.js'
import { createSimulationRandom, createSimulation, drawExponentialDelayMs } from './simulation.js'

/** A simulation of workspaces whose demand is skewed between instances. */
export interface SkewScenario {
  seed: number
  instances: number
  workspaces: FleetWorkspace[]
  /** Demand of each workspace as a ratio of its rate. */
  load: number
  /** Mean interval at which the demand of a workspace moves to other instances, in milliseconds. */
  moveEveryMs: number
  /** Measured time in milliseconds. A warm-up of 10 s before it is not counted. */
  durationMs: number
  /** Number of instances among which each rate is split into equal, fixed shares; null to use the share allocator. */
  staticParts: number | null
  /** Selects the instances that hold shares of a rate; null: all. Default: the selection of the product. */
  selectHolders?: ShareFleetOptions['selectHolders']
}

/** Request counts of one workspace. */
export interface SkewCounts {
  workspace: FleetWorkspace
  requests: number
  refused: number
  /** Refusals by a single bucket with the whole rate and burst and the same maximum wait. No distributed limiter can refuse less. */
  refusedByOneBucket: number
  /** Refusals that the instances counted as wrongful. */
  countedWrongful: number
  waited: number
}

/** Result of a skew scenario. `heartbeatsPerSecond` is the mean per instance. */
export interface SkewResult {
  counts: SkewCounts[]
  heartbeatsPerSecond: number
}

const WARM_UP_MS = 10_000
const ONE_WAY_DELAY_MS = 1
/** Time that a leadership confirmation takes. */
const confirmMs = 3
const MAX_WAIT_MS = 250

/** The busiest instance receives about half of the demand of a workspace, the next a quarter, and so on. */
const SKEW_RATIO = 0.5

/**
 * Creates a token bucket that receives all requests of a workspace, as a single instance would.
 * @returns a function that takes the time in milliseconds and returns whether the bucket admits a request at that time
 */
function createSingleBucket (workspace: FleetWorkspace): (now: number) => boolean {
  // Time at which the refill covers all tokens taken so far. A request waits until that time.
  let tokensCoveredAt = 0
  const intervalMs = 1000 / workspace.rate
  return (now) => {
    const nextCoveredAt = Math.max(tokensCoveredAt, now - workspace.burst * intervalMs) + intervalMs
    if (nextCoveredAt - now > MAX_WAIT_MS) return false
    tokensCoveredAt = nextCoveredAt
    return true
  }
}

function shuffleIndexes (count: number, random: () => number): number[] {
  const order = Array.from({ length: count }, (_, index) => index)
  for (let index = count - 1; index > 0; index--) {
    const other = Math.floor(random() * (index + 1))
    const moved = order[index] as number
    order[index] = order[other] as number
    order[other] = moved
  }
  return order
}

/** Simulates Poisson arrivals that are skewed towards a few instances and move between instances. */
export function runSkewScenario (scenario: SkewScenario): SkewResult {
  const { seed, instances, workspaces, load, moveEveryMs, durationMs, staticParts } = scenario
  const random = createSimulationRandom(seed)
  const simulation = createSimulation()
  const counts = new Map(workspaces.map((workspace) => [workspace.id, { workspace, requests: 0, refused: 0, refusedByOneBucket: 0, countedWrongful: 0, waited: 0 }]))
  const isMeasured = () => simulation.now() >= WARM_UP_MS

  function onOutcome ({ workspace, isAdmitted, isWrongful, waitedMs }: FleetOutcome): void {
    const count = counts.get(workspace)
    if (count === undefined || !isMeasured()) return
    if (!isAdmitted) count.refused++
    if (isWrongful) count.countedWrongful++
    if (waitedMs > 0) count.waited++
  }

  const options: ShareFleetOptions = { simulation, workspaces, onOutcome, delay: () => ONE_WAY_DELAY_MS, confirmMs, staticParts, selectHolders: scenario.selectHolders ?? (staticParts === null ? selectRateHolders : () => null) }
  const fleet = createShareFleet(options)
  const fleetInstances: FleetInstance[] = []
  for (let index = 0; index < instances; index++) {
    simulation.after(random() * 500, () => fleetInstances.push(fleet.start(instanceId(`entry-${index}`))))
  }

  function startArrivals (workspace: FleetWorkspace): void {
    const count = counts.get(workspace.id) as SkewCounts
    const admitInSingleBucket = createSingleBucket(workspace)
    let order = shuffleIndexes(instances, random)
    const move = (): void => {
      order = shuffleIndexes(instances, random)
      simulation.after(drawExponentialDelayMs(1000 / moveEveryMs, random), move)
    }
    const arrive = (): void => {
      let rank = 0
      while (rank < instances - 1 && random() < SKEW_RATIO) rank++
      const instance = fleetInstances[order[rank] as number] as FleetInstance
      const isAdmittedInSingleBucket = admitInSingleBucket(simulation.now())
      if (isMeasured()) {
        count.requests++
        if (!isAdmittedInSingleBucket) count.refusedByOneBucket++
      }
      fleet.request(instance, workspace.id)
      simulation.after(drawExponentialDelayMs(workspace.rate * load, random), arrive)
    }
    // The first leader grants shares one share lease after its election, so requests start later.
    simulation.after(5000 + random() * 100, arrive)
    simulation.after(5000 + random() * moveEveryMs, move)
  }

  for (const workspace of workspaces) startArrivals(workspace)
  simulation.runUntil(WARM_UP_MS)
  const heartbeatsBefore = fleet.countHeartbeats()
  simulation.runUntil(WARM_UP_MS + durationMs)
  const heartbeats = fleet.countHeartbeats() - heartbeatsBefore
  return { counts: [...counts.values()], heartbeatsPerSecond: heartbeats / instances / (durationMs / 1000) }
}

/** Eight workspaces with rates from 50 to 2,000 requests per second. */
export const eightWorkspaces: FleetWorkspace[] = [2000, 1000, 500, 200, 100, 100, 50, 50].map((rate, index) => ({ id: workspaceId(`workspace-${index}`), rate, burst: rate / 2 }))
