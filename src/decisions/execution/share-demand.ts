import type { Milliseconds } from '../../types/clock.js'
import { resourceId, type DatabaseId } from '../../types/ids.js'
import type { ShareDemand } from '../../types/share.js'
import type { ExecutorParts } from './executor-parts.js'
import { laneOf } from './queue-lanes.js'

/** Estimates how many slots and connections of each database the executor could use. */
export interface DemandEstimate {
  /** Notes the load of this moment. Called at each tick. */
  sample: () => void
  demand: () => ShareDemand[]
}

/** A holder always asks for this many slots of a database that gets work, so that the first request needs no grant. */
const LEAST_SLOTS = 1
const SPARE_CONNECTIONS = 1
// Demand is reported every 500 ms. A peak must stay visible over several reports, or shares would follow every gap.
const PEAK_HALF_LIFE_MS = 2000

interface Peak {
  slots: number
  at: Milliseconds
}

export function createDemandEstimate (parts: ExecutorParts): DemandEstimate {
  const { view, slots, pool, transactions, requests, options } = parts
  const peaks = new Map<DatabaseId, Peak>()

  function waitingByDatabase (): Map<DatabaseId, number> {
    const waiting = requests.all().filter((record) => record.stage === 'queued' || record.stage === 'waiting-for-slot')
    const forReplicas = waiting.filter((record) => laneOf(record) === 'replica').length
    const primary = view.group()?.primary
    const replicas = view.databases().filter(({ database, weight }) => database !== primary && weight > 0)
    const perReplica = Math.ceil(forReplicas / Math.max(1, replicas.length))
    const counts = new Map<DatabaseId, number>(replicas.map(({ database }) => [database, perReplica]))
    const atPrimary = waiting.length - (replicas.length > 0 ? forReplicas : 0)
    if (primary !== undefined && primary !== null) counts.set(primary, atPrimary)
    return counts
  }

  function decayedPeak (database: DatabaseId): number {
    const peak = peaks.get(database)
    if (peak === undefined) return 0
    return peak.slots * 2 ** (-(options.clock.now() - peak.at) / PEAK_HALF_LIFE_MS)
  }

  function sample (): void {
    const waiting = waitingByDatabase()
    for (const { database } of view.databases()) {
      const load = slots.running(database) + (waiting.get(database) ?? 0)
      if (load >= decayedPeak(database)) peaks.set(database, { slots: load, at: options.clock.now() })
    }
    for (const database of peaks.keys()) {
      if (view.database(database) === null) peaks.delete(database)
    }
  }

  function demandOf (database: DatabaseId, weight: number): ShareDemand[] {
    const open = transactions.countAt(database)
    const getsWork = view.isHolder() && weight > 0
    const wantedSlots = getsWork ? Math.max(LEAST_SLOTS, Math.ceil(decayedPeak(database))) : slots.used(database)
    // Both modes may be in use at a database, and a transaction keeps its connection between statements.
    const wantedConnections = getsWork ? wantedSlots + open + SPARE_CONNECTIONS : pool.count(database)
    return [
      { resource: resourceId('slots', database), amount: wantedSlots },
      { resource: resourceId('connections', database), amount: wantedConnections }
    ]
  }

  function demand (): ShareDemand[] {
    sample()
    return view.databases().flatMap(({ database, weight }) => demandOf(database, weight))
  }

  return { sample, demand }
}
