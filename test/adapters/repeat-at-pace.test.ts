import t from 'tap'
import { repeatAtPace } from '../../src/adapters/timers/repeat-at-pace.js'
import { createFakeClock } from '../support/fake-clock.js'

/** Guards against urgent work that waits for the idle interval, and against a task that stays at the urgent interval. */

t.test('a task runs at the idle interval, and at the urgent interval right after it is marked urgent', async (t) => {
  const clock = createFakeClock()
  let timers: { at: number, callback: () => void }[] = []
  const after = (durationMs: number, callback: () => void): () => void => {
    const timer = { at: clock.now() + durationMs, callback }
    timers.push(timer)
    return () => { timers = timers.filter((other) => other !== timer) }
  }
  function advance (durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += 5) {
      clock.advance(5)
      const due = timers.filter(({ at }) => at <= clock.now())
      timers = timers.filter((timer) => !due.includes(timer))
      for (const { callback } of due) callback()
    }
  }
  let runs = 0
  const task = repeatAtPace(() => { runs++ }, { idleIntervalMs: 100, urgentIntervalMs: 25, urgentDurationMs: 60, now: clock.now, after })
  advance(200)
  t.equal(runs, 2)
  advance(50)
  task.markUrgent()
  advance(25)
  t.equal(runs, 3, 'the current pause is shortened')
  advance(1000)
  t.ok(runs <= 3 + 2 + 10, 'the idle interval applies again')
  task.stop()
  const before = runs
  advance(1000)
  t.equal(runs, before)
})
