// Guards planned changes of the primary against the loss of acknowledged commits where commits wait for a replica: an instance that control
// does not reach goes on writing at the former primary until another database leads, and each commit rests on whichever replica is nearest.
import t from 'tap'
import { createRandom } from '../../src/utils/create-random.js'
import { createPromotionDeployment } from './fixtures/promotion-deployment.js'
import type { PromotionDeployment } from './fixtures/promotion-deployment.js'

const delays = [{ r: 0, s: 3 }, { r: 3, s: 0 }, { r: 2, s: 5 }, { r: 5, s: 2 }, { r: 0, s: 0 }]

function setDelays (deployment: PromotionDeployment, delaysMs: Record<string, number>): void {
  for (const [name, delayMs] of Object.entries(delaysMs)) deployment.find(name).delayMs = delayMs
}

for (const { r, s } of delays) {
  t.test(`a planned change keeps the commits of an instance that is cut off, with replicas at ${r} ms and ${s} ms`, async (t) => {
    // The loss depends on where the last commits lie within the interval of the writer.
    for (let offsetMs = 0; offsetMs < 7; offsetMs++) {
      const deployment = createPromotionDeployment()
      await deployment.runUntil(6000 + offsetMs)
      setDelays(deployment, { r, s })
      deployment.startCutOffWriter()
      await deployment.runUntil(6500)
      const acknowledgedBefore = deployment.acknowledgedCount()
      deployment.drain('p')
      await deployment.runUntil(11_000)
      t.same(deployment.violations, [], `writer at ${offsetMs} ms`)
      t.not(deployment.servingPrimary(), null)
      t.not(deployment.servingPrimary(), 'p')
      t.ok(deployment.acknowledgedCount() > acknowledgedBefore, 'the instance went on writing')
    }
  })
}

t.test('a planned change does not take longer for a group whose commits wait for a replica', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.drain('p')
  // Until instances without a heartbeat have lost their leases, the promotion has taken effect, and three orders are answered.
  await deployment.runUntil(6000 + 500 + 300 + 200)
  t.not(deployment.servingPrimary(), 'p')
  t.not(deployment.servingPrimary(), null)
})

t.test('a planned change beside a replica that control can not reach ends without losing a commit of an instance that is cut off', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  setDelays(deployment, { r: 4, s: 0 })
  deployment.find('s').isCutOff = true
  deployment.startCutOffWriter()
  await deployment.runUntil(6200)
  deployment.drain('p')
  await deployment.runUntil(12_000)
  t.same(deployment.violations, [])
  deployment.find('s').isCutOff = false
  await deployment.runUntil(20_000)
  t.same(deployment.violations, [])
  t.not(deployment.servingPrimary(), null)
})

t.test('replicas that a planned change has fenced receive again when the change is withdrawn or has ended', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.startCutOffWriter()
  deployment.drain('p')
  await deployment.runUntil(12_000)
  for (const name of ['r', 's']) t.equal(deployment.find(name).fencedTerm, 0, name)
})

/** Cuts of control, deaf replicas and planned changes at random times, beside an instance that is cut off from time to time. */
async function play (seed: number): Promise<PromotionDeployment> {
  const random = createRandom(seed)
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  setDelays(deployment, { p: Math.floor(random() * 6), r: Math.floor(random() * 6), s: Math.floor(random() * 6) })
  let number = 0
  for (const name of ['p', 'r', 's']) {
    const startsAt = 6500 + random() * 16_000
    deployment.after(startsAt - 6000 - random() * 900, deployment.startCutOffWriter)
    deployment.after(startsAt - 6000, () => {
      deployment.drain(name)
      deployment.after(3000 + random() * 3000, () => {
        deployment.depart(name)
        deployment.after(2000, () => deployment.succeed(name, `${name}-${++number}`))
      })
    })
  }
  for (let fault = 0; fault < 2; fault++) {
    const name = ['r', 's'][Math.floor(random() * 2)] as string
    const field = random() < 0.5 ? 'isDeaf' : 'isCutOff'
    deployment.after(random() * 15_000, () => {
      const database = deployment.find(name)
      database[field] = true
      deployment.after(500 + random() * 2500, () => { database[field] = false })
    })
  }
  if (random() < 0.5) deployment.after(random() * 15_000, deployment.restartControl)
  await deployment.runUntil(60_000)
  return deployment
}

t.test('no schedule of planned changes, cuts and restarts of control loses an acknowledged commit or the primary', async (t) => {
  for (let seed = 1; seed <= 40; seed++) {
    const deployment = await play(seed)
    t.same(deployment.violations, [], `seed ${seed}`)
    t.not(deployment.servingPrimary(), null, `seed ${seed}`)
  }
})
