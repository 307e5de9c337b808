import t from 'tap'
import { createPauseDetector } from '../../src/adapters/timers/pause-detector.js'
import { createFakeClock } from '../support/fake-clock.js'

t.test('a gap between two ticks is reported as a pause, regular ticks are not', async (t) => {
  const clock = createFakeClock()
  const pauses: number[] = []
  const detector = createPauseDetector(clock, (durationMs) => { pauses.push(durationMs) })
  for (const gapMs of [100, 299, 300, 100, 4000]) {
    clock.advance(gapMs)
    detector.observe()
  }
  t.same(pauses, [300, 4000])
})
