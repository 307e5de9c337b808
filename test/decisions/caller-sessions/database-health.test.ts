import t from 'tap'
import { createDatabaseHealth } from '../../../src/decisions/caller-sessions/database-health.js'
import { databaseId } from '../../../src/types/ids.js'
import { createFakeClock } from '../../support/fake-clock.js'

const D = databaseId('d')

t.test('an answer speaks for a database for a short time only, as it may have crashed since', async (t) => {
  const clock = createFakeClock()
  const health = createDatabaseHealth(clock)
  health.recordStatementStart(D)('answered')
  clock.advance(500)
  t.same(health.observations(), [{ database: 'd', status: null, silentForMs: 0 }])
  clock.advance(200)
  t.same(health.observations(), [])
})

t.test('a statement that ended for another reason than the database tells nothing of it', async (t) => {
  const clock = createFakeClock()
  const health = createDatabaseHealth(clock)
  health.recordStatementStart(D)('unjudged')
  clock.advance(1000)
  t.same(health.observations(), [])
  t.equal(health.isUsable(D), true)
})

t.test('a silent database is tried by single statements, and by all again once it answers', async (t) => {
  const clock = createFakeClock()
  const health = createDatabaseHealth(clock)
  health.recordConnectionFailure(D)
  t.same([health.canAttempt(D), health.canAttempt(D)], [true, true], 'a single failure gates nothing')
  clock.advance(400)
  t.same([health.canAttempt(D), health.canAttempt(D)], [true, false])
  clock.advance(160)
  t.same([health.canAttempt(D), health.canAttempt(D)], [true, false])
  health.recordStatementStart(D)('answered')
  t.same([health.canAttempt(D), health.canAttempt(D)], [true, true])
})
