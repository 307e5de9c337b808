// Guards against a stop that ends while statements are in progress that arrived after it had found every session at rest.
import t from 'tap'
import { createQuietPeriod } from '../../../src/decisions/drain/quiet-period.js'
import { createFakeClock } from '../../support/fake-clock.js'

t.test('work that begins within the quiet period starts it anew', async (t) => {
  const clock = createFakeClock(0)
  const isOver = createQuietPeriod({ clock, lengthMs: 300 })
  t.notOk(isOver(0, 8), 'callers have not closed their connections')
  clock.advance(250)
  t.notOk(isOver(3, 8), 'statements that had arrived are read')
  clock.advance(200)
  t.notOk(isOver(0, 8))
  clock.advance(299)
  t.notOk(isOver(0, 8))
  clock.advance(1)
  t.ok(isOver(0, 8), 'callers that keep their connections open hold the stop up for one period')
})

t.test('a stop does not wait once all connections are closed', async (t) => {
  t.ok(createQuietPeriod({ clock: createFakeClock(0), lengthMs: 300 })(0, 0))
})
