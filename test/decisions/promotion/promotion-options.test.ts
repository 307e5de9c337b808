// Guards against elections that wait for lost databases until the recovery time is over, and against ones that give databases up too early.
import t from 'tap'
import { computeUnseenWaitMs } from '../../../src/decisions/promotion/promotion-options.js'

t.test('the wait for databases without a sign leaves time for the election within the recovery time', async (t) => {
  t.equal(computeUnseenWaitMs(12_000), 8500)
  t.equal(computeUnseenWaitMs(1000), 0, 'a recovery time that leaves no time to wait')
  t.equal(computeUnseenWaitMs(600_000), 20_000, 'a database without a sign is not waited for longer than in other elections')
})
