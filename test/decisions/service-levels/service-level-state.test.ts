import fc from 'fast-check'
import t from 'tap'
import { computeBurn } from '../../../src/decisions/service-levels/compute-burn.js'
import { applyServiceLevels } from '../../../src/decisions/service-levels/service-level-state.js'
import { createEmptyServiceLevels } from '../../../src/types/service-level.js'
import { incarnationId, instanceId, workspaceId } from '../../../src/types/ids.js'
import type { Manifest } from '../../../src/types/manifest.js'
import type { BurnWindowName } from '../../../src/types/operator-report.js'
import type { ServiceLevelIncrement, ServiceLevelState, Tally } from '../../../src/types/service-level.js'
import { LONG_NAME, manifest as template } from '../../support/operator-fixtures.js'

// Members of the replicated log must derive the same state, and each increment must count once. That fails if the state depends on
// anything but the commands, if a repeated increment counts again, or if a restart of the sender resets the sequence numbers unnoticed.

const SEED = 20261204
const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
/** A multiple of 5 min. */
const START_MS = 1_765_000_200_000

const manifest: Manifest = { ...template, workspaces: template.workspaces.map((workspace) => ({ ...workspace, objectives: { availability: 0.99, latencyMs: 50, stalenessMs: 2000 } })) }

function increment (sequence: number, availability: Tally, incarnation = 'run-1'): ServiceLevelIncrement {
  const none = { total: 0, bad: 0 }
  return { version: 1, kind: 'service-level-increment', instance: instanceId('entry-1'), incarnation: incarnationId(incarnation), sequence, workspaces: [{ workspace: workspaceId(LONG_NAME), tallies: { availability, latency: none, staleness: none } }] }
}

function apply (state: ServiceLevelState, at: number, ...increments: ServiceLevelIncrement[]): ServiceLevelState {
  return applyServiceLevels(state, { kind: 'count-requests', at, increments })
}

function burns (state: ServiceLevelState, now: number): Record<BurnWindowName, [number, number, number | null]> {
  const row = computeBurn(manifest, state, now).rows.find(({ objective }) => objective === 'availability')
  const entries = (row?.windows ?? []).map(({ window, total, bad, burn }) => [window, [total, bad, burn === null ? null : Number(burn.toFixed(6))]])
  return Object.fromEntries(entries) as Record<BurnWindowName, [number, number, number | null]>
}

t.test('burn rates agree with examples calculated by hand', async (t) => {
  // Budget 1%. 71 h ago: 1,000 requests, 20 bad. 5 h ago: 500, 0 bad. 30 min ago: 400, 8 bad. Now: 100, 5 bad.
  let state = apply(createEmptyServiceLevels(), START_MS - 71 * HOUR_MS, increment(1, { total: 1000, bad: 20 }))
  state = apply(state, START_MS - 5 * HOUR_MS, increment(2, { total: 500, bad: 0 }))
  state = apply(state, START_MS - 30 * MINUTE_MS, increment(3, { total: 400, bad: 8 }))
  state = apply(state, START_MS, increment(4, { total: 100, bad: 5 }))
  t.same(burns(state, START_MS), {
    '5min': [100, 5, 5], // 5 / 100 / 0.01
    '1h': [500, 13, 2.6], // 13 / 500 / 0.01
    '6h': [1000, 13, 1.3], // 13 / 1000 / 0.01
    '3d': [2000, 33, 1.65] // 33 / 2000 / 0.01
  })
  const later = burns(state, START_MS + 5 * MINUTE_MS)
  t.same(later['5min'], [0, 0, null], 'a window without requests has no burn, not a burn of 0')
  t.same(burns(state, START_MS - HOUR_MS), burns(state, START_MS), 'a clock that is behind hides no requests')
  const history = computeBurn(manifest, state, START_MS).rows[0]?.history ?? []
  t.equal(history.length, 72)
  t.equal(history.at(-1), 13 / 500 / (1 - 0.99))
})

const deliveries: [string, number[], number, number][] = [
  ['each once', [1, 2, 3], 30, 0],
  ['one repeated', [1, 2, 2, 3], 30, 0],
  ['an old one repeated late', [1, 2, 3, 1], 30, 0],
  ['one lost', [1, 3], 20, 1],
  ['three lost', [1, 5], 20, 3]
]
for (const [name, sequences, total, lost] of deliveries) {
  t.test(`increments delivered with ${name} count ${total} requests and report ${lost} lost`, async (t) => {
    const state = sequences.reduce((former, sequence, index) => apply(former, START_MS + index * 1000, increment(sequence, { total: 10, bad: 0 })), createEmptyServiceLevels())
    t.equal(burns(state, START_MS)['1h'][0], total)
    t.equal(state.lostIncrements, lost)
  })
}

t.test('a restarted instance numbers increments from 1 again, and an increment of its former incarnation still counts once', async (t) => {
  let state = apply(createEmptyServiceLevels(), START_MS, increment(1, { total: 10, bad: 0 }), increment(1, { total: 10, bad: 0 }, 'run-2'))
  state = apply(state, START_MS, increment(1, { total: 10, bad: 0 }), increment(2, { total: 10, bad: 0 }))
  t.equal(burns(state, START_MS)['1h'][0], 30)
  t.equal(state.lostIncrements, 0)
})

t.test('the size of the state stays bounded while requests continue for days', async (t) => {
  let state = createEmptyServiceLevels()
  for (let sequence = 1; sequence <= 4 * 24 * 12; sequence++) {
    state = apply(state, START_MS + sequence * 5 * MINUTE_MS, increment(sequence, { total: 1, bad: 0 }, `run-${sequence}`))
  }
  const [workspace] = state.workspaces
  t.equal(workspace?.coarse.length, 3 * 24 * 12)
  t.equal(workspace?.fine.length, 1)
  t.equal(state.senders.length, 3 * 24 * 12, 'senders are dropped together with their tallies')
  state = apply(state, START_MS + 8 * 24 * HOUR_MS)
  t.same([state.workspaces, state.senders], [[], []])
})

t.test('a member that restarts from a serialized state derives the same state, whichever increments are repeated', async (t) => {
  const step = fc.record({ delayMs: fc.integer({ min: -5000, max: 20 * MINUTE_MS }), sequence: fc.integer({ min: 1, max: 30 }), run: fc.integer({ min: 1, max: 3 }), total: fc.integer({ min: 1, max: 9 }), restart: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    let continuous = createEmptyServiceLevels()
    let restarted = createEmptyServiceLevels()
    let at = START_MS
    for (const { delayMs, sequence, run, total, restart } of steps) {
      at += delayMs
      const message = increment(sequence, { total, bad: 0 }, `run-${run}`)
      const before = JSON.stringify(continuous)
      const next = apply(continuous, at, message)
      if (JSON.stringify(continuous) !== before) return false
      continuous = apply(next, at, message)
      if (restart) restarted = JSON.parse(JSON.stringify(restarted)) as ServiceLevelState
      restarted = apply(restarted, at, message)
    }
    t.same(restarted, continuous)
    return true
  }), { seed: SEED, numRuns: 100 })
})
