// Runs random schedules of faults against the executor: lost connections, restarts, failovers, changes of shares, keys and
// leases. Guards against acknowledged writes that are lost, requests answered twice or wrongly as not run, reads behind
// their session, and operations or connections beyond the shares, which only some orders of events cause.
import fc from 'fast-check'
import t from 'tap'
import { createExecutorSimulation, type Tally } from './executor-simulation.js'
import type { Step } from './executor-step.js'

const SEED = 20261204
const RUNS = 400

const which = fc.nat(30)
const database = fc.nat(2)
const from = fc.nat(1)

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 14, arbitrary: fc.record({ kind: fc.constant('request' as const), access: fc.constantFrom('read', 'write', 'begin', 'begin' as const), session: fc.nat(2), from, remainingMs: fc.constantFrom(60, 400, 3000, 3000) }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('transaction' as const), what: fc.constantFrom('statement', 'statement', 'commit', 'rollback' as const), which, from }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('deliver' as const), which }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('progress' as const), heals: fc.boolean() }) },
  { weight: 10, arbitrary: fc.record({ kind: fc.constantFrom('open', 'open-fails', 'apply', 'refuse', 'connection-ends', 'repeat-result', 'cancel' as const), which }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('lose' as const), which, phase: fc.constantFrom('before-commit', 'commit-sent' as const) }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constantFrom('replicate', 'replicate', 'observe', 'observe', 'follow' as const), database }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('restart', 'fail-over' as const), database }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('directory' as const), phase: fc.constantFrom('serving', 'serving', 'electing', 'switching' as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(1, 25, 60, 500) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('key' as const), valid: fc.constantFrom(true, true, false) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lease' as const), valid: fc.constantFrom(true, true, false) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('requester-lost' as const), from }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('share' as const), database, slots: fc.constantFrom(0, 1, 2, 3), connections: fc.constantFrom(0, 1, 3, 6) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('weight' as const), database, weight: fc.constantFrom(0, 0.5, 1, 1) }) }
)

t.test(`no schedule of faults breaks a guarantee of the executor (seed ${SEED})`, async (t) => {
  const total: Tally = { reads: 0, writes: 0, commits: 0, notRun: 0, unknown: 0 }
  fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 120, size: 'max' }), (steps) => {
    const simulation = createExecutorSimulation()
    for (const next of steps) simulation.run(next)
    const tally = simulation.finish()
    for (const kind of Object.keys(total) as (keyof Tally)[]) total[kind] += tally[kind]
  }), { seed: SEED, numRuns: RUNS })
  for (const [kind, count] of Object.entries(total)) t.ok(count > 50, `the schedules reached ${kind} ${count} times`)
  t.comment(JSON.stringify(total))
})
