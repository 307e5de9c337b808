import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { InstanceId, WorkspaceId } from '../../types/ids.js'
import type { Random } from '../../utils/create-random.js'

/** Longest time for which a refusal stays in force, in milliseconds: a heartbeat interval, after which the leader may have moved shares to the holder. */
const MAX_REFUSAL_MS = 500
/** The same for a holder whose share the leader may still raise, in milliseconds: a heartbeat of the holder and its answer. */
const MAX_UNSETTLED_REFUSAL_MS = 50
/** Smallest range of the random part of a retry time, in milliseconds. Tokens return one at a time, also where the next one is due at once. */
const MIN_SPREAD_MS = 20

/** A refusal by rate, as a rate holder gave it. */
export interface HolderRefusal {
  /** Time until the holder has the next token, in milliseconds. */
  retryAfterMs: number
  /** Whether the rate is used up over all holders: the share of this holder is all that the rate leaves for it. */
  isUsedUp: boolean
}

/**
 * Refusals by rate that an instance has received from the rate holders of each workspace. It handles workspaces far above their rate, whose
 * operations would otherwise cause calls to the holders only to be refused there.
 */
export interface RateRefusals {
  /** Records a refusal. It stays in force until the holder has a token again at the latest. */
  record: (workspace: WorkspaceId, holder: InstanceId, refusal: HolderRefusal) => void
  /** @returns the refusal in force with its remaining time; null when the holder should be asked */
  find: (workspace: WorkspaceId, holder: InstanceId) => HolderRefusal | null
  /** Adds a random part of the same length to the retry time of a caller, so that refused callers do not return together. */
  spreadRetryMs: (retryAfterMs: number) => number
  /** Drops the refusals that have ended. */
  tick: () => void
}

/** @returns a record without refusals */
export function createRateRefusals (clock: Clock, random: Random): RateRefusals {
  const byWorkspace = new Map<WorkspaceId, Map<InstanceId, { until: Milliseconds, isUsedUp: boolean }>>()

  function record (workspace: WorkspaceId, holder: InstanceId, { retryAfterMs, isUsedUp }: HolderRefusal): void {
    const refusals = byWorkspace.get(workspace) ?? new Map<InstanceId, { until: Milliseconds, isUsedUp: boolean }>()
    byWorkspace.set(workspace, refusals)
    const limitMs = isUsedUp ? MAX_REFUSAL_MS : MAX_UNSETTLED_REFUSAL_MS
    refusals.set(holder, { until: addTime(clock.now(), Math.min(retryAfterMs, limitMs)), isUsedUp })
  }

  function find (workspace: WorkspaceId, holder: InstanceId): HolderRefusal | null {
    const refusal = byWorkspace.get(workspace)?.get(holder)
    if (refusal === undefined || clock.now() >= refusal.until) return null
    return { retryAfterMs: refusal.until - clock.now(), isUsedUp: refusal.isUsedUp }
  }

  function tick (): void {
    for (const [workspace, refusals] of byWorkspace) {
      for (const [holder, { until }] of refusals) if (clock.now() >= until) refusals.delete(holder)
      if (refusals.size === 0) byWorkspace.delete(workspace)
    }
  }

  return {
    record,
    find,
    spreadRetryMs: (retryAfterMs) => Math.ceil(retryAfterMs + random() * Math.max(retryAfterMs, MIN_SPREAD_MS)),
    tick
  }
}
