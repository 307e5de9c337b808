import type { Clock, Milliseconds } from '../../types/clock.js'
import { milliseconds } from '../../types/clock.js'
import type { ResourceId } from '../../types/ids.js'
import type { DemandReport } from './demand-report.js'

/** Decides when unmet demand is worth an extra heartbeat. */
export interface ShareRequests {
  /**
   * @param readDemands - called only when an extra heartbeat is permitted now
   * @returns whether an extra heartbeat should be sent now; takes it from the budget
   */
  shouldAsk: (readDemands: () => readonly DemandReport[]) => boolean
  /** Notes that a heartbeat carries these demands. */
  noteSent: (demands: readonly DemandReport[]) => void
}

export interface ShareRequestsOptions {
  clock: Clock
  askGapMs: number
  asksPerSecond: number
  askBurst: number
}

interface AskedDemand {
  amount: number
  askedAt: Milliseconds
  /** Heartbeats that told of it while it was unmet. */
  times: number
}

/** Growth of an unmet demand that is told at once. */
const notableGrowth = 1.25

/** After each of this many asks, a demand that is still unmet is told again after `repeatAfterMs`. */
const maxRepeats = 5
const repeatAfterMs = 60

/** @returns requests of an instance that has asked for nothing yet */
export function createShareRequests (options: ShareRequestsOptions): ShareRequests {
  const { clock, askGapMs, asksPerSecond, askBurst } = options
  const asked = new Map<ResourceId, AskedDemand>()
  let savedAsks = askBurst
  let countedAt = clock.now()
  let lastSentAt = milliseconds(-Infinity)

  function isNews ({ resource, amount, unmet }: DemandReport): boolean {
    if (!unmet) return false
    const last = asked.get(resource)
    if (last === undefined) return true
    if (amount > last.amount * notableGrowth) return true
    return last.times < maxRepeats && clock.now() - last.askedAt >= repeatAfterMs
  }

  function shouldAsk (readDemands: () => readonly DemandReport[]): boolean {
    const now = clock.now()
    savedAsks = Math.min(askBurst, savedAsks + (now - countedAt) * asksPerSecond / 1000)
    countedAt = now
    if (now - lastSentAt < askGapMs || savedAsks < 1) return false
    if (!readDemands().some(isNews)) return false
    savedAsks--
    return true
  }

  function noteSent (demands: readonly DemandReport[]): void {
    const now = clock.now()
    lastSentAt = now
    const unmet = demands.filter((demand) => demand.unmet)
    const unmetResources = new Set(unmet.map(({ resource }) => resource))
    for (const resource of asked.keys()) {
      if (!unmetResources.has(resource)) asked.delete(resource)
    }
    for (const { resource, amount } of unmet) {
      asked.set(resource, { amount, askedAt: now, times: (asked.get(resource)?.times ?? 0) + 1 })
    }
  }

  return { shouldAsk, noteSent }
}
