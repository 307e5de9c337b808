import type { Blackboard } from '../../blackboard/blackboard.js'
import { databaseWeightsEntry, registeredDatabasesEntry, replicatedStateEntry } from '../../blackboard/control-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { DatabaseId, FailureDomainId } from '../../types/ids.js'
import type { ReplicatedState } from '../../types/replicated-state.js'

/** Duration of all steps in which the weight of a returning database rises. The weight is 1 from the start of the last step. */
export const WEIGHT_RAMP_UP_MS = 10_000
/** Number of steps in which a weight rises. It does not rise continuously, because each change is published to every instance. */
export const WEIGHT_STEPS = 10

export interface DatabaseWeightsOptions {
  blackboard: Blackboard
  clock: Clock
}

/** Weights of the databases: 0 while a database departs or its failure domain is withdrawn, rising to 1 after its return. */
export interface DatabaseWeights {
  /** Computes and publishes the weights. @returns whether a weight changed */
  tick: () => boolean
  /** Clears all weights and ends rises in progress. The coordinator calls it at each change of leadership. */
  reset: () => void
}

/** @returns the failure domains that the manifest marks `out`, and those that an operator withdrew by a separate command */
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
  /** Since when the weight of each returning database rises; absent for databases at full weight and withdrawn ones. */
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
