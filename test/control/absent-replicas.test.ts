// Guards against groups that stay without a primary longer than the recovery time, where commits wait for a replica and an election needs the
// position of each: replicas that are lost before the primary must not be waited for without a reason, also after a restart of control.
import t from 'tap'
import { createPromotionDeployment } from './fixtures/promotion-deployment.js'
import type { PromotionDeployment } from './fixtures/promotion-deployment.js'

/** Time in which no control instance runs. */
const DOWN_MS = 600
/** Time from a restart of control within which a group must have a primary: `recovery_s` of the platform less the restart itself. */
const RECOVERY_MS = 12_000
/** An election that waits for nobody, with the time to notice the loss. */
const PROMPT_ELECTION_MS = 4000

async function restartAllControl (deployment: PromotionDeployment): Promise<number> {
  deployment.stopControl()
  await deployment.runUntil(deployment.clock.now() + DOWN_MS)
  deployment.restartControl()
  return deployment.clock.now()
}

t.test('a restart of control does not make an election wait for a replica that ended before, and whose log another one holds', async (t) => {
  for (const lossToStopMs of [0, 300]) {
    const deployment = createPromotionDeployment()
    await deployment.runUntil(6000)
    deployment.end('r')
    await deployment.runUntil(19_000)
    t.match(deployment.recordOf('r'), { absent: true })
    deployment.end('p')
    await deployment.runUntil(19_000 + lossToStopMs)
    const restartedAt = await restartAllControl(deployment)
    await deployment.runUntil(restartedAt + PROMPT_ELECTION_MS)
    t.same(deployment.violations, [])
    t.equal(deployment.servingPrimary(), 's', `restart ${lossToStopMs} ms after the loss of the primary`)
  }
})

t.test('a restart of control does not make an election wait for a replica that was given up before', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.crash('r')
  await deployment.runUntil(31_000)
  deployment.crash('p')
  const restartedAt = await restartAllControl(deployment)
  await deployment.runUntil(restartedAt + PROMPT_ELECTION_MS)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 's')
})

t.test('a group has a primary within the recovery time although a replica and the primary are lost just before a restart of control', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.crash('r')
  deployment.crash('p')
  const restartedAt = await restartAllControl(deployment)
  await deployment.runUntil(restartedAt + RECOVERY_MS / 2)
  t.same(deployment.promotions, [], 'r may come back with commits that s lacks')
  await deployment.runUntil(restartedAt + RECOVERY_MS)
  t.equal(deployment.servingPrimary(), 's')
})

t.test('an election does not wait for a replica, or a former primary, that ended before and whose log another one holds', async (t) => {
  for (const first of ['r', 'p']) {
    const deployment = createPromotionDeployment()
    await deployment.runUntil(6000)
    deployment.end(first)
    await deployment.runUntil(20_000)
    const second = deployment.servingPrimary()
    deployment.end(second ?? '')
    await deployment.runUntil(20_000 + PROMPT_ELECTION_MS)
    t.same(deployment.violations, [])
    t.equal(deployment.servingPrimary(), 's', `${first} and then ${second}`)
  }
})

t.test('an election waits for a replica that ended with commits that no other one has received', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.find('s').isDeaf = true
  await deployment.runUntil(6500)
  deployment.end('r')
  await deployment.runUntil(19_000)
  t.notMatch(deployment.recordOf('r'), { absent: true })
  deployment.end('p')
  const restartedAt = await restartAllControl(deployment)
  await deployment.runUntil(restartedAt + 6000)
  t.same(deployment.promotions, [], 's lacks acknowledged commits')
  deployment.revive('r')
  await deployment.runUntil(restartedAt + 10_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r')
})

for (const isCutRefusing of [false, true]) {
  t.test(`an election waits for a replica that control can not reach, as its primary may still have acknowledged commits because of it: ${isCutRefusing ? 'connections refused' : 'silence'}`, async (t) => {
    const deployment = createPromotionDeployment()
    await deployment.runUntil(6000)
    Object.assign(deployment.find('r'), { isCutOff: true, isCutRefusing })
    await deployment.runUntil(11_000)
    t.notMatch(deployment.recordOf('r'), { absent: true })
    deployment.find('s').isDeaf = true
    await deployment.runUntil(11_500)
    deployment.end('p')
    const restartedAt = await restartAllControl(deployment)
    await deployment.runUntil(restartedAt + 6000)
    t.same(deployment.promotions, [], 's lacks acknowledged commits')
    deployment.find('r').isCutOff = false
    await deployment.runUntil(restartedAt + 10_000)
    t.same(deployment.violations, [])
    t.equal(deployment.servingPrimary(), 'r')
  })
}

t.test('a replica that comes back is waited for again', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.end('r')
  await deployment.runUntil(19_000)
  t.match(deployment.recordOf('r'), { absent: true })
  deployment.revive('r')
  await deployment.runUntil(19_100)
  t.notMatch(deployment.recordOf('r'), { absent: true })
  deployment.find('s').isDeaf = true
  await deployment.runUntil(19_500)
  deployment.end('r')
  deployment.end('p')
  const restartedAt = await restartAllControl(deployment)
  await deployment.runUntil(restartedAt + 6000)
  t.same(deployment.promotions, [], 's lacks acknowledged commits')
  deployment.revive('r')
  await deployment.runUntil(restartedAt + 10_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'r')
})

t.test('a replica that was given up and whose cut heals is waited for again', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  deployment.find('r').isCutOff = true
  await deployment.runUntil(31_000)
  t.match(deployment.recordOf('r'), { absent: true })
  deployment.find('r').isCutOff = false
  await deployment.runUntil(32_500)
  t.notMatch(deployment.recordOf('r'), { absent: true })
})

t.test('a primary that was taken for lost serves again when no other database is left', async (t) => {
  const deployment = createPromotionDeployment()
  await deployment.runUntil(6000)
  for (const name of ['r', 's']) deployment.end(name)
  await deployment.runUntil(30_000)
  deployment.find('p').isCutOff = true
  await deployment.runUntil(36_000)
  t.equal(deployment.servingPrimary(), null)
  deployment.find('p').isCutOff = false
  await deployment.runUntil(46_000)
  t.same(deployment.violations, [])
  t.equal(deployment.servingPrimary(), 'p')
})
