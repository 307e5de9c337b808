import t from 'tap'
import { createElapsedClock } from '../../src/adapters/timers/elapsed-clock.js'

function createTimes () {
  const times = { monotonic: 1000, wall: 500_000 }
  return { times, clock: createElapsedClock(() => times.monotonic, () => times.wall) }
}

t.test('time in which the machine was suspended counts', async (t) => {
  const { times, clock } = createTimes()
  const before = clock.now()
  times.monotonic += 10
  times.wall += 4010
  t.equal(clock.now() - before, 4010)
})

t.test('a time of day that jumps back does not make anything younger', async (t) => {
  const { times, clock } = createTimes()
  const before = clock.now()
  times.monotonic += 100
  times.wall -= 3600_000
  t.equal(clock.now() - before, 100)
  times.monotonic += 100
  times.wall += 100
  t.equal(clock.now() - before, 200)
})

t.test('a time of day that jumps ahead makes things look older', async (t) => {
  const { times, clock } = createTimes()
  const before = clock.now()
  times.monotonic += 100
  times.wall += 2500
  t.equal(clock.now() - before, 2500)
})
