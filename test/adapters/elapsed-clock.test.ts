import t from 'tap'
import { createElapsedClock } from '../../src/adapters/timers/elapsed-clock.js'

/** Guards against a lease that its holder believes to be valid after the host was suspended or its wall clock was set back. */

function createTestClock () {
  const times = { monotonic: 1000, wall: 500_000 }
  return { times, clock: createElapsedClock(() => times.monotonic, () => times.wall) }
}

t.test('the elapsed time includes time in which the host was suspended', async (t) => {
  const { times, clock } = createTestClock()
  const before = clock.now()
  times.monotonic += 10
  times.wall += 4010
  t.equal(clock.now() - before, 4010)
})

t.test('a backward step of the wall clock does not reduce the elapsed time', async (t) => {
  const { times, clock } = createTestClock()
  const before = clock.now()
  times.monotonic += 100
  times.wall -= 3600_000
  t.equal(clock.now() - before, 100)
  times.monotonic += 100
  times.wall += 100
  t.equal(clock.now() - before, 200)
})

t.test('a forward step of the wall clock counts as elapsed time', async (t) => {
  const { times, clock } = createTestClock()
  const before = clock.now()
  times.monotonic += 100
  times.wall += 2500
  t.equal(clock.now() - before, 2500)
})
