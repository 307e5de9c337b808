import fc from 'fast-check'
import t from 'tap'
import { computeBurn } from '../../../src/decisions/service-levels/compute-burn.js'
import { applyServiceLevels } from '../../../src/decisions/service-levels/service-level-state.js'
import { emptyServiceLevels } from '../../../src/types/service-level.js'
import { incarnationId, instanceId, workspaceId } from '../../../src/types/ids.js'
import type { Manifest } from '../../../src/types/manifest.js'
import type { BurnWindowName } from '../../../src/types/operator-report.js'
import type { ServiceLevelIncrement, ServiceLevelState, Tally } from '../../../src/types/service-level.js'
import { LONG_NAME, manifest as template } from '../../support/operator-fixtures.js'

const SEED = 20261204
const MINUTE = 60_000
const HOUR = 60 * MINUTE
/** A multiple of 5 min. */
const START = 1_765_000_200_000

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

t.test('burn agrees with examples worked by hand', async (t) => {
  // Budget 1%. 71 h ago: 1,000 requests, 20 bad. 5 h ago: 500, 0 bad. 30 min ago: 400, 8 bad. Now: 100, 5 bad.
  let state = apply(emptyServiceLevels(), START - 71 * HOUR, increment(1, { total: 1000, bad: 20 }))
  state = apply(state, START - 5 * HOUR, increment(2, { total: 500, bad: 0 }))
  state = apply(state, START - 30 * MINUTE, increment(3, { total: 400, bad: 8 }))
  state = apply(state, START, increment(4, { total: 100, bad: 5 }))
  t.same(burns(state, START), {
    '5min': [100, 5, 5], // 5 / 100 / 0.01
    '1h': [500, 13, 2.6], // 13 / 500 / 0.01
    '6h': [1000, 13, 1.3], // 13 / 1000 / 0.01
    '3d': [2000, 33, 1.65] // 33 / 2000 / 0.01
  })
  const later = burns(state, START + 5 * MINUTE)
  t.same(later['5min'], [0, 0, null], 'a window without requests has no burn, not a burn of 0')
  t.same(burns(state, START - HOUR), burns(state, START), 'a clock that is behind hides nothing')
  const history = computeBurn(manifest, state, START).rows[0]?.history ?? []
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
    const state = sequences.reduce((former, sequence, index) => apply(former, START + index * 1000, increment(sequence, { total: 10, bad: 0 })), emptyServiceLevels())
    t.equal(burns(state, START)['1h'][0], total)
    t.equal(state.lostIncrements, lost)
  })
}

t.test('a restarted instance counts from 1 again and an increment of its former run still counts once', async (t) => {
  let state = apply(emptyServiceLevels(), START, increment(1, { total: 10, bad: 0 }), increment(1, { total: 10, bad: 0 }, 'run-2'))
  state = apply(state, START, increment(1, { total: 10, bad: 0 }), increment(2, { total: 10, bad: 0 }))
  t.equal(burns(state, START)['1h'][0], 30)
  t.equal(state.lostIncrements, 0)
})

t.test('the state stays bounded while requests go on for days', async (t) => {
  let state = emptyServiceLevels()
  for (let sequence = 1; sequence <= 4 * 24 * 12; sequence++) {
    state = apply(state, START + sequence * 5 * MINUTE, increment(sequence, { total: 1, bad: 0 }, `run-${sequence}`))
  }
  const [workspace] = state.workspaces
  t.equal(workspace?.coarse.length, 3 * 24 * 12)
  t.equal(workspace?.fine.length, 1)
  t.equal(state.senders.length, 3 * 24 * 12, 'senders are forgotten together with their requests')
  state = apply(state, START + 8 * 24 * HOUR)
  t.same([state.workspaces, state.senders], [[], []])
})

t.test('members that restart from the serialized state at any point derive the same state, whatever is repeated', async (t) => {
  const step = fc.record({ delayMs: fc.integer({ min: -5000, max: 20 * MINUTE }), sequence: fc.integer({ min: 1, max: 30 }), run: fc.integer({ min: 1, max: 3 }), total: fc.integer({ min: 1, max: 9 }), restart: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    let kept = emptyServiceLevels()
    let restarted = emptyServiceLevels()
    let at = START
    for (const { delayMs, sequence, run, total, restart } of steps) {
      at += delayMs
      const message = increment(sequence, { total, bad: 0 }, `run-${run}`)
      const before = JSON.stringify(kept)
      const next = apply(kept, at, message)
      if (JSON.stringify(kept) !== before) return false
      kept = apply(next, at, message)
      if (restart) restarted = JSON.parse(JSON.stringify(restarted)) as ServiceLevelState
      restarted = apply(restarted, at, message)
    }
    t.same(restarted, kept)
    return true
  }), { seed: SEED, numRuns: 100 })
})
