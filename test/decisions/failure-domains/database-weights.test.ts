// Guards against work sent to a withdrawn or departing database, and against full load on a database that has just returned.
import t from 'tap'
import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { databaseWeightsEntry, registeredDatabasesEntry, replicatedStateEntry } from '../../../src/blackboard/control-instance-entries.js'
import { createDatabaseWeights } from '../../../src/decisions/failure-domains/database-weights.js'
import { milliseconds } from '../../../src/types/clock.js'
import { databaseId, failureDomainId } from '../../../src/types/ids.js'
import { buildRegisteredDatabase } from '../failover/fixtures/group-harness.js'
import { buildStatus } from '../membership/fixtures/messages.js'

interface WeightStep { at: number, out?: boolean, departing?: boolean, weight: number }

const cases: { name: string, steps: WeightStep[] }[] = [
  { name: 'a database that was never withdrawn has full weight at once, also at a new leader', steps: [{ at: 0, weight: 1 }] },
  { name: 'a database of a withdrawn failure domain has weight 0 at once', steps: [{ at: 0, weight: 1 }, { at: 10, out: true, weight: 0 }] },
  { name: 'a departing database has weight 0', steps: [{ at: 0, departing: true, weight: 0 }] },
  { name: 'the weight rises over 10 s after a return', steps: [{ at: 0, out: true, weight: 0 }, { at: 50, weight: 0.1 }, { at: 5050, weight: 0.6 }, { at: 9049, weight: 0.9 }, { at: 9050, weight: 1 }, { at: 20_000, weight: 1 }] },
  { name: 'a second withdrawal during the rise restarts it', steps: [{ at: 0, out: true, weight: 0 }, { at: 50, weight: 0.1 }, { at: 5000, out: true, weight: 0 }, { at: 6000, weight: 0.1 }, { at: 7000, weight: 0.2 }] },
  { name: 'a database that departs from a withdrawn failure domain keeps weight 0 when the failure domain returns', steps: [{ at: 0, out: true, weight: 0 }, { at: 50, departing: true, weight: 0 }] }
]
for (const { name, steps } of cases) {
  t.test(name, async (t) => {
    const blackboard = createBlackboard()
    let now = 0
    const databases = blackboard.claim(registeredDatabasesEntry, 'test')
    const state = blackboard.claim(replicatedStateEntry, 'test')
    const weights = createDatabaseWeights({ blackboard, clock: { now: () => milliseconds(now) } })
    for (const { at, out = false, departing = false, weight } of steps) {
      now = at
      databases.write(new Map([[databaseId('d'), { ...buildRegisteredDatabase(buildStatus('d'), 0), departing }]]))
      const failureDomains = [{ id: failureDomainId('a'), state: out ? 'out' as const : 'in' as const }]
      state.write({ ...state.read(), manifest: { formatVersion: 1, failureDomains, groups: [], workspaces: [], routes: [] } })
      weights.tick()
      t.equal(blackboard.reader(databaseWeightsEntry).read().get(databaseId('d')), weight, `at ${at}`)
    }
  })
}
