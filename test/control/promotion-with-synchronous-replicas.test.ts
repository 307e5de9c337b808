// Guards against promotions that drop acknowledged commits, and against groups without a primary, where commits wait for a replica.
// A commit rests on the log of any one replica, so a replica that leaves takes acknowledged commits with it unless another one has them.
import t from 'tap'
import { createPromotionDeployment } from './fixtures/promotion-deployment.js'

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
