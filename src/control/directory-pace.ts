import type { Clock, Milliseconds } from '../types/clock.js'
import { milliseconds } from '../types/clock.js'

/**
 * Interval at which the leader rebuilds the directory without a known change, in ms. Weights of databases rise with time.
 * At 710 instances and 1,200 databases, a rebuild at each tick of 50 ms would use 2% of a core.
 */
const UPDATE_INTERVAL_MS = 250
/** Time for which a new leader rebuilds the directory at each tick, in ms: the longest wait before its first directory, and one tick. */
const NEW_LEADER_PERIOD_MS = 1600

/**
 * Minimum time between two directories, in ms for each registered instance. While a fleet starts, the directory changes with each
 * instance that joins, and the leader sends each change to all instances.
 */
const DIRECTORY_PAUSE_PER_INSTANCE_MS = 2

export interface DirectoryPaceOptions {
  clock: Clock
  /** @returns when this leadership began */
  leadershipSince: () => Milliseconds
  /** @returns the number of registered instances */
  countInstances: () => number
}

/** Decides when the leader rebuilds and publishes the directory. */
export interface DirectoryPace {
  /** Records a change that can wait for the pause between two directories, such as an instance that joins. */
  markStale: () => void
  /** Records a change that instances must learn at once: the primary of a group, the manifest or a withdrawn failure domain. */
  markUrgent: () => void
  isDue: () => boolean
  /** Records that the directory was rebuilt. */
  recordUpdate: () => void
}

/** @returns a pace under which the first directory is due at once */
export function createDirectoryPace ({ clock, leadershipSince, countInstances }: DirectoryPaceOptions): DirectoryPace {
  let isStale = true
  let isUrgent = true
  let updatedAt = milliseconds(-Infinity)

  /** Returns 0 for a new leader, as each message that it receives may report another connection holder or database. */
  function computeUpdateIntervalMs (): number {
    return clock.now() - leadershipSince() < NEW_LEADER_PERIOD_MS ? 0 : UPDATE_INTERVAL_MS
  }

  return {
    markStale: () => { isStale = true },
    markUrgent: () => { isUrgent = true },
    isDue: () => {
      const sinceUpdateMs = clock.now() - updatedAt
      const isWanted = isStale || sinceUpdateMs >= computeUpdateIntervalMs()
      return isUrgent || (isWanted && sinceUpdateMs >= countInstances() * DIRECTORY_PAUSE_PER_INSTANCE_MS)
    },
    recordUpdate: () => {
      isStale = false
      isUrgent = false
      updatedAt = clock.now()
    }
  }
}
