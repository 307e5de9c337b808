import type { Blackboard } from '../../blackboard/blackboard.js'
import { databaseWeightsEntry, registeredDatabasesEntry, replicatedStateEntry } from '../../blackboard/control-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { DatabaseId, FailureDomainId } from '../../types/ids.js'
import type { ReplicatedState } from '../../types/replicated-state.js'

/** Time over which a returning database gets back its full weight, in ms. */
export const WEIGHT_RAMP_UP_MS = 10_000
/** Weights rise in steps, because each change is published to every instance. */
export const WEIGHT_STEPS = 10

export interface DatabaseWeightsOptions {
  blackboard: Blackboard
  clock: Clock
}

/** Weights of the databases: 0 when departing or when the failure domain is out, rising to 1 after a return. */
export interface DatabaseWeights {
  /** @returns whether a weight changed */
  tick: () => boolean
  /** Forgets returns in progress; called at each change of leadership. */
  reset: () => void
}

/** @returns the failure domains that the manifest marks `out` or that were taken out by an order of their own */
export function withdrawnFailureDomains ({ manifest, withdrawnDomains }: Pick<ReplicatedState, 'manifest' | 'withdrawnDomains'>): ReadonlySet<FailureDomainId> {
  const marked = (manifest?.failureDomains ?? []).filter(({ state }) => state === 'out').map(({ id }) => id)
  return new Set([...marked, ...withdrawnDomains])
}

/** Creates the controller; it writes `databaseWeightsEntry`. */
export function createDatabaseWeights (options: DatabaseWeightsOptions): DatabaseWeights {
  const { blackboard, clock } = options
  const entry = blackboard.claim(databaseWeightsEntry, 'database-weights')
  const databases = blackboard.reader(registeredDatabasesEntry)
  const replicatedState = blackboard.reader(replicatedStateEntry)
  /** Since when a database may get work again; absent for those that were never withdrawn. */
  const returnedAt = new Map<DatabaseId, Milliseconds>()

  function computeWeight (database: DatabaseId, withdrawn: boolean): number {
    const last = entry.read().get(database)
    if (withdrawn) {
      returnedAt.delete(database)
      return 0
    }
    if (last === 0) returnedAt.set(database, clock.now())
    const returned = returnedAt.get(database)
    if (returned === undefined) return 1
    const step = 1 + Math.floor((clock.now() - returned) * WEIGHT_STEPS / WEIGHT_RAMP_UP_MS)
    if (step < WEIGHT_STEPS) return step / WEIGHT_STEPS
    returnedAt.delete(database)
    return 1
  }

  function tick (): boolean {
    const withdrawn = withdrawnFailureDomains(replicatedState.read())
    const last = entry.read()
    const weights = new Map<DatabaseId, number>()
    let changed = false
    for (const [database, { announcement, departing }] of databases.read()) {
      const weight = computeWeight(database, departing || withdrawn.has(announcement.failureDomain))
      weights.set(database, weight)
      if (last.get(database) !== weight) changed = true
    }
    if (!changed && weights.size === last.size) return false
    entry.write(weights)
    return true
  }

  function reset (): void {
    returnedAt.clear()
    entry.write(new Map())
  }

  return { tick, reset }
}
