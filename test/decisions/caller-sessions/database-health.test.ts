// Guards against health evidence that is wrong about a database: evidence that is too old, or that comes from something other than
// the database. Also guards against statements that pile up at a silent database.
import t from 'tap'
import { createDatabaseHealth } from '../../../src/decisions/caller-sessions/database-health.js'
import { databaseId } from '../../../src/types/ids.js'
import { createFakeClock } from '../../support/fake-clock.js'

const DATABASE = databaseId('d')

t.test('an answer is health evidence for a short time only, since the database may have crashed afterwards', async (t) => {
  const clock = createFakeClock()
  const health = createDatabaseHealth(clock)
  health.recordStatementStart(DATABASE)('answered')
  clock.advance(500)
  t.same(health.observations(), [{ database: 'd', status: null, silentForMs: 0 }])
  clock.advance(200)
  t.same(health.observations(), [])
})

t.test('a statement that ended for a reason other than the database is no evidence about it', async (t) => {
  const clock = createFakeClock()
  const health = createDatabaseHealth(clock)
  health.recordStatementStart(DATABASE)('unjudged')
  clock.advance(1000)
  t.same(health.observations(), [])
  t.equal(health.isUsable(DATABASE), true)
})

t.test('a silent database gets single statements, and all statements again once it answers', async (t) => {
  const clock = createFakeClock()
  const health = createDatabaseHealth(clock)
  health.recordConnectionFailure(DATABASE)
  t.same([health.canAttempt(DATABASE), health.canAttempt(DATABASE)], [true, true], 'a single failure limits nothing')
  clock.advance(400)
  t.same([health.canAttempt(DATABASE), health.canAttempt(DATABASE)], [true, false])
  clock.advance(160)
  t.same([health.canAttempt(DATABASE), health.canAttempt(DATABASE)], [true, false])
  health.recordStatementStart(DATABASE)('answered')
  t.same([health.canAttempt(DATABASE), health.canAttempt(DATABASE)], [true, true])
})
