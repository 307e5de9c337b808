import t from 'tap'
import { runQueueScenario } from '../../../measure/queue-scenario.js'
import { runSkewScenario } from '../../../measure/share-scenario.js'
import { workspaceId } from '../../../src/types/ids.js'

// Simulates a fleet. Requests within the rate of a workspace are refused wrongly if the leader moves share too slowly to where demand is.
// A workspace is served below its fair share if the costly requests of another one occupy the slots.

const SEEDS = [1, 2, 3]
const MAX_REFUSED_RATIO = 0.001
const MIN_WORKSPACE_RATIO = 0.95

t.test('at 90% of the rate, skewed and moving demand over 9 instances is refused at most 0.001', async (t) => {
  const cases = [{ rate: 200, burst: 100, moveEveryMs: 2000 }, { rate: 500, burst: 250, moveEveryMs: 2000 }, { rate: 1000, burst: 500, moveEveryMs: 10_000 }]
  for (const { rate, burst, moveEveryMs } of cases) {
    for (const seed of SEEDS) {
      const workspaces = [{ id: workspaceId('moving'), rate, burst }]
      const { counts } = runSkewScenario({ seed, instances: 9, workspaces, load: 0.9, moveEveryMs, durationMs: 20_000, staticParts: null })
      const { refused, requests } = counts[0] as NonNullable<typeof counts[0]>
      t.ok(requests > rate * 10, `${requests} requests at ${rate}/s`)
      t.ok(refused / requests <= MAX_REFUSED_RATIO, `${refused} of ${requests} refused at ${rate}/s, seed ${seed}`)
    }
  }
})

// The shares of a small workspace on 9 instances are smaller than the fluctuations of its demand.
t.test('at 90% of the rate, a small workspace of 50 requests/s is refused at most 0.001', async (t) => {
  for (const seed of SEEDS) {
    const workspaces = [{ id: workspaceId('small'), rate: 50, burst: 25 }]
    const { counts } = runSkewScenario({ seed, instances: 9, workspaces, load: 0.9, moveEveryMs: 2000, durationMs: 20_000, staticParts: null })
    const { refused, requests } = counts[0] as NonNullable<typeof counts[0]>
    t.ok(refused / requests <= MAX_REFUSED_RATIO, `${refused} of ${requests} refused, seed ${seed}`)
  }
})

t.test('a workspace that sends heavier requests at 5 times its rate leaves others their fair share of the slots', async (t) => {
  for (const seed of SEEDS) {
    const share = runQueueScenario({ seed, policy: 'fair', excess: 5, durationMs: 20_000 })
    t.ok(share >= MIN_WORKSPACE_RATIO, `the worst workspace got ${share.toFixed(3)} of its share, seed ${seed}`)
  }
})
