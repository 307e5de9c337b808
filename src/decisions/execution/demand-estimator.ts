import type { Milliseconds } from '../../types/clock.js'
import { resourceId, type DatabaseId } from '../../types/ids.js'
import type { ShareDemand } from '../../types/share.js'
import type { ExecutorParts } from './executor-parts.js'
import { laneOf } from './queue-lanes.js'

/** Estimates how many slots and connections of each database the executor could use. */
export interface DemandEstimator {
  /** Records the current load. Called at each tick. */
  sample: () => void
  /** @returns the demand for slots and connections of each database of the group */
  demand: () => ShareDemand[]
}

/**
 * Slots that an idle connection holder demands of each database that receives work, so that the first request need not
 * wait for a grant.
 */
const MIN_SLOTS = 1

/** Connections demanded beyond slots and open transactions. A database can need connections of both modes at once. */
const SPARE_CONNECTIONS = 1

/**
 * Time in which a recorded peak of the load decays by half. The instance reports demand every 500 ms. A peak must last over
 * several reports; otherwise shares would shrink at every short pause in the load.
 */
const PEAK_HALF_LIFE_MS = 2000

interface Peak {
  slots: number
  at: Milliseconds
}

export function createDemandEstimator (parts: ExecutorParts): DemandEstimator {
  const { view, slots, pool, transactions, requests, options } = parts
  const peaks = new Map<DatabaseId, Peak>()

  function countWaitingByDatabase (): Map<DatabaseId, number> {
    const waiting = requests.all().filter((record) => record.stage === 'queued' || record.stage === 'waiting-for-slot')
    const waitingForReplicas = waiting.filter((record) => laneOf(record) === 'replica').length
    const primary = view.group()?.primary
    const replicas = view.databases().filter(({ database, weight }) => database !== primary && weight > 0)
    const perReplica = Math.ceil(waitingForReplicas / Math.max(1, replicas.length))
    const counts = new Map<DatabaseId, number>(replicas.map(({ database }) => [database, perReplica]))
    const waitingForPrimary = waiting.length - (replicas.length > 0 ? waitingForReplicas : 0)
    if (primary !== undefined && primary !== null) counts.set(primary, waitingForPrimary)
    return counts
  }

  function computeDecayedPeak (database: DatabaseId): number {
    const peak = peaks.get(database)
    if (peak === undefined) return 0
    return peak.slots * 2 ** (-(options.clock.now() - peak.at) / PEAK_HALF_LIFE_MS)
  }

  function sample (): void {
    const waiting = countWaitingByDatabase()
    for (const { database } of view.databases()) {
      const load = slots.countInFlight(database) + (waiting.get(database) ?? 0)
      if (load >= computeDecayedPeak(database)) peaks.set(database, { slots: load, at: options.clock.now() })
    }
    for (const database of peaks.keys()) {
      if (view.database(database) === null) peaks.delete(database)
    }
  }

  function computeDemand (database: DatabaseId, weight: number): ShareDemand[] {
    const openTransactions = transactions.countAt(database)
    const canReceiveWork = view.isHolder() && weight > 0
    const slotDemand = canReceiveWork ? Math.max(MIN_SLOTS, Math.ceil(computeDecayedPeak(database))) : slots.countUsed(database)
    // A transaction keeps its connection between statements, also while no operation of it is in flight.
    const connectionDemand = canReceiveWork ? slotDemand + openTransactions + SPARE_CONNECTIONS : pool.count(database)
    return [
      { resource: resourceId('slots', database), amount: slotDemand },
      { resource: resourceId('connections', database), amount: connectionDemand }
    ]
  }

  function demand (): ShareDemand[] {
    sample()
    return view.databases().flatMap(({ database, weight }) => computeDemand(database, weight))
  }

  return { sample, demand }
}
