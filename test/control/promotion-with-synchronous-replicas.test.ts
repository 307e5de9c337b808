// Guards against promotions that drop acknowledged commits, and against groups without a primary, where commits wait for a replica.
// A commit rests on the log of any one replica, so a replica that leaves takes acknowledged commits with it unless another one has them.
import t from 'tap'
import { groupId } from '../../src/types/ids.js'
import { createPromotionDeployment } from './fixtures/promotion-deployment.js'
import type { PromotionDeployment } from './fixtures/promotion-deployment.js'

/** One replica is replaced as planned while the other receives nothing. The primary crashes after the departure. */
async function replaceReplicaBesideDeafOne () {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.drain('r')
  await deployment.runUntil(7000)
  deployment.find('s').isDeaf = true
  await deployment.runUntil(8000)
  deployment.depart('r')
  await deployment.runUntil(8100)
  deployment.crash('p')
  return deployment
}

t.test('a replica that left as planned stays in the election until its successor has reported its position', async (t) => {
  const deployment = await replaceReplicaBesideDeafOne()
  await deployment.runUntil(13_000)
  t.same(deployment.promotions, [], 'only r had the last acknowledged commits')
  deployment.succeed('r', 'r-next')
  await deployment.runUntil(16_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r-next')
})

t.test('a leader that starts after the departure of a replica waits for its successor as well', async (t) => {
  const deployment = await replaceReplicaBesideDeafOne()
  await deployment.runUntil(8400)
  deployment.restartControl()
  await deployment.runUntil(13_000)
  t.same(deployment.promotions, [])
  deployment.succeed('r', 'r-next')
  await deployment.runUntil(16_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r-next')
})

t.test('a group does not wait for ever for the successor of a replica that left as planned', async (t) => {
  const deployment = await replaceReplicaBesideDeafOne()
  await deployment.runUntil(22_000)
  t.equal(deployment.servingPrimary(), 's')
})

t.test('an election does not wait for a departed replica once another one has held everything that it held', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.drain('r')
  await deployment.runUntil(7000)
  deployment.depart('r')
  await deployment.runUntil(9000)
  t.match(deployment.recordOf('r'), { state: 'gone' })
  deployment.crash('p')
  await deployment.runUntil(12_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 's')
})

t.test('a departed replica that goes on receiving counts as a holder of commits until it has ended', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.drain('r')
  await deployment.runUntil(7000)
  deployment.depart('r', 4000)
  await deployment.runUntil(9500)
  deployment.find('s').isDeaf = true
  await deployment.runUntil(10_800)
  deployment.crash('p')
  await deployment.runUntil(15_000)
  t.same(deployment.promotions, [], 's lacks commits that r received after it had announced its end')
  deployment.succeed('r', 'r-next')
  await deployment.runUntil(18_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r-next')
})

t.test('a primary that comes back is used while the position of a departed replica is missing', async (t) => {
  const deployment = await replaceReplicaBesideDeafOne()
  await deployment.runUntil(13_000)
  deployment.revive('p')
  await deployment.runUntil(17_500)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'p')
})

/** Time in which no control instance runs. */
const DOWN_MS = 600
const LOSS_AT_MS = 6000

/**
 * Plays an incident and restarts all control instances after one step of the promotion that follows it.
 * @param restartAfter - number of the step: an order that was sent or answered, or a command that was committed
 * @returns the deployment and the step, or null if the promotion has fewer steps
 */
async function playWithRestart (restartAfter: number, begin: (deployment: PromotionDeployment) => void) {
  const steps: string[] = []
  let isCounting = false
  const deployment: PromotionDeployment = createPromotionDeployment((step) => {
    if (!isCounting || steps.push(step) !== restartAfter) return
    deployment.stopControl()
    deployment.after(DOWN_MS, deployment.restartControl)
  })
  await deployment.runUntil(LOSS_AT_MS)
  isCounting = true
  begin(deployment)
  await deployment.runUntil(LOSS_AT_MS + 14_000)
  const step = steps[restartAfter - 1]
  return step === undefined ? null : { deployment, step: `step ${restartAfter}, ${step}` }
}

/** Longest promotion of these tests, in steps. */
const MAX_STEPS = 60

const incidents: { name: string, begin: (deployment: PromotionDeployment) => void }[] = [
  { name: 'the primary is lost for good', begin: ({ crash }) => { crash('p') } },
  {
    name: 'the primary is replaced as planned and ends',
    begin: ({ drain, depart, after }) => {
      drain('p')
      after(7000, () => depart('p'))
    }
  },
  {
    name: 'a departing primary is lost for good',
    begin: ({ drain, crash, after }) => {
      drain('p')
      after(100, () => crash('p'))
    }
  }
]
for (const { name, begin } of incidents) {
  t.test(`a group gets a primary again when all control instances restart at any step of a promotion: ${name}`, async (t) => {
    let count = 0
    for (; count < MAX_STEPS; count++) {
      const played = await playWithRestart(count + 1, begin)
      if (played === null) break
      const { deployment, step } = played
      t.same(deployment.violations, [], step)
      t.match(deployment.servingPrimary(), /^[rs]$/, step)
    }
    t.ok(count >= 10, `${count} steps`)
  })
}

t.test('an unfinished election that a leader of an earlier version left does not say which primary it replaces', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.find('s').isDeaf = true
  deployment.crash('p')
  await deployment.runUntil(12_000)
  t.equal(deployment.servingPrimary(), 'r')
  t.match(deployment.recordOf('p'), { replacedIn: 2 })
  deployment.stopControl()
  deployment.commit({ kind: 'begin-election', group: groupId('g'), term: 3 })
  deployment.crash('r')
  deployment.restartControl()
  await deployment.runUntil(20_000)
  t.same(deployment.promotions, ['r'], 's lacks the commits of r')
  deployment.revive('r')
  await deployment.runUntil(27_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r')
})

t.test('a replica that has been gone for long does not keep a group without a primary for ever', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.crash('r')
  await deployment.runUntil(8000)
  deployment.crash('p')
  await deployment.runUntil(24_000)
  t.same(deployment.promotions, [], 'r may come back with commits that s lacks')
  await deployment.runUntil(32_000)
  t.equal(deployment.servingPrimary(), 's')
})

/** The primary crashes while s receives nothing, so that r is promoted with commits that no other database has, and ends at once. */
async function loseSoleHolder () {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.find('s').isDeaf = true
  await deployment.runUntil(8000)
  deployment.crash('p')
  for (let at = 8020; deployment.servingPrimary() !== 'r' && at < 16_000; at += 20) await deployment.runUntil(at)
  deployment.crash('r')
  return deployment
}

t.test('a primary that is the only one with the commits of its predecessor is not replaced before another replica has them', async (t) => {
  const deployment = await loseSoleHolder()
  const lostAt = deployment.clock.now()
  await deployment.runUntil(lostAt + 8000)
  t.same(deployment.promotions, ['r'], 's lacks acknowledged commits')
  deployment.revive('r')
  await deployment.runUntil(lostAt + 16_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r')
})

t.test('a leader that starts after the loss of such a primary does not replace it either', async (t) => {
  const deployment = await loseSoleHolder()
  const lostAt = deployment.clock.now()
  await deployment.runUntil(lostAt + 200)
  deployment.restartControl()
  await deployment.runUntil(lostAt + 8000)
  t.same(deployment.promotions, ['r'])
  deployment.revive('r')
  await deployment.runUntil(lostAt + 16_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r')
})

t.test('a promoted primary can be replaced as soon as a replica has what it was promoted with', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.find('s').isDeaf = true
  await deployment.runUntil(8000)
  deployment.crash('p')
  await deployment.runUntil(14_000)
  t.equal(deployment.servingPrimary(), 'r')
  deployment.find('s').isDeaf = false
  await deployment.runUntil(17_000)
  deployment.crash('r')
  await deployment.runUntil(34_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 's')
})
