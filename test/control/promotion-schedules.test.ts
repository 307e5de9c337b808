// Guards against promotions that drop acknowledged commits, and against groups without a primary, under several incidents at once where
// commits wait for a replica: crashes, replicas that receive nothing, planned departures and restarts of control.
import t from 'tap'
import { createRandom } from '../../src/utils/create-random.js'
import { createPromotionDeployment } from './fixtures/promotion-deployment.js'
import type { PromotionDeployment } from './fixtures/promotion-deployment.js'

const INCIDENTS = 7
const START_MS = 5000
const INCIDENT_SPAN_MS = 25_000
/** By then all incidents have ended, and so have all times for which an election may wait. */
const END_MS = 75_000
const MAX_OUTAGE_MS = 9000
const MAX_DEAF_MS = 7000
const MAX_CONTROL_OUTAGE_MS = 1600
/** Time from the end of a database to the start of its successor. */
const SUCCESSOR_MS = 2000

/** @param loss - how databases are lost: with their machines, or so that nothing listens at their addresses */
async function play (seed: number, loss: 'crash' | 'end'): Promise<PromotionDeployment> {
  const random = createRandom(seed)
  const deployment = createPromotionDeployment()
  await deployment.runUntil(START_MS)
  const names = ['p', 'r', 's']
  const disturbed = new Set<string>()
  let generation = 0

  function restartControl (): void {
    deployment.stopControl()
    deployment.after(100 + random() * (MAX_CONTROL_OUTAGE_MS - 100), deployment.restartControl)
  }

  function replace (name: string): void {
    deployment.drain(name)
    deployment.after(3000 + random() * 4000, () => {
      const goesOnForMs = random() < 0.3 ? random() * 3000 : 0
      deployment.depart(name, goesOnForMs)
      deployment.after(goesOnForMs + SUCCESSOR_MS, () => {
        const successor = `${name.split('-')[0]}-${++generation}`
        deployment.succeed(name, successor)
        names.splice(names.indexOf(name), 1, successor)
      })
    })
  }

  function begin (): void {
    const kind = Math.floor(random() * 5)
    if (kind === 0) return restartControl()
    const free = names.filter((name) => !disturbed.has(name))
    const name = free[Math.floor(random() * free.length)]
    if (name === undefined || (kind === 1 && disturbed.size >= 2)) return
    disturbed.add(name)
    const endAfter = (durationMs: number, end: () => void): void => deployment.after(durationMs, () => {
      end()
      disturbed.delete(name)
    })
    if (kind === 1) {
      deployment[loss](name)
      endAfter(1000 + random() * (MAX_OUTAGE_MS - 1000), () => deployment.revive(name))
    } else if (kind === 2) {
      deployment.find(name).isDeaf = true
      endAfter(1000 + random() * (MAX_DEAF_MS - 1000), () => { deployment.find(name).isDeaf = false })
    } else replace(name)
  }

  for (let incident = 0; incident < INCIDENTS; incident++) deployment.after(Math.floor(random() * INCIDENT_SPAN_MS), begin)
  await deployment.runUntil(END_MS)
  return deployment
}

/** Seeds of schedules that lost commits before elections waited for departed replicas, and some others. */
const SEEDS = [17, 39, 50, 84, 107, 249, 332, 338, 390, ...Array.from({ length: 11 }, (_, index) => index + 1)]

for (const loss of ['crash', 'end'] as const) {
  t.test(`no schedule of losses, departures and restarts of control loses an acknowledged commit or the primary: ${loss}`, async (t) => {
    for (const seed of SEEDS) {
      const deployment = await play(seed, loss)
      t.same(deployment.violations, [], `seed ${seed}`)
      t.not(deployment.servingPrimary(), null, `seed ${seed}`)
    }
  })
}
