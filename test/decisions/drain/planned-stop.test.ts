// Guards against a stop that cuts callers off: a stage that comes too early, too late, or not at all when ticks are late.
import fc from 'fast-check'
import t from 'tap'
import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { drainingEntry, stopStageEntry } from '../../../src/blackboard/entry-instance-entries.js'
import { createPlannedStop, selectStopStage } from '../../../src/decisions/drain/planned-stop.js'
import type { StopStage } from '../../../src/types/stop-stage.js'
import { hasReached } from '../../../src/types/stop-stage.js'
import { createFakeClock } from '../../support/fake-clock.js'

const LIMIT_MS = 6000

t.test('transactions have more than half of the time, and every statement is answered before the kill', async (t) => {
  t.equal(selectStopStage(0, LIMIT_MS), 'announced')
  t.equal(selectStopStage(2199, LIMIT_MS), 'announced', 'the load balancer has not reacted yet')
  t.equal(selectStopStage(2200, LIMIT_MS), 'closing')
  t.equal(selectStopStage(LIMIT_MS / 2, LIMIT_MS), 'closing')
  t.equal(selectStopStage(LIMIT_MS * 5 / 6 - 1, LIMIT_MS), 'refusing', 'a slow database is not given up before the last sixth')
  t.equal(selectStopStage(5100, LIMIT_MS), 'answering')
  t.equal(selectStopStage(5700, LIMIT_MS), 'over')
})

t.test('stages follow each other and end before the kill, whatever the time limit', async () => {
  fc.assert(fc.property(fc.integer({ min: 100, max: 600_000 }), fc.double({ min: 0, max: 1, noNaN: true }), fc.double({ min: 0, max: 1, noNaN: true }), (limitMs, first, second) => {
    const [earlier, later] = [Math.min(first, second), Math.max(first, second)]
    const reached = selectStopStage(later * limitMs, limitMs)
    return hasReached(reached, selectStopStage(earlier * limitMs, limitMs)) && selectStopStage(limitMs, limitMs) === 'over' && hasReached(reached, 'announced')
  }), { seed: 32 })
})

t.test('a stop that was ordered twice keeps its time, and a late tick writes the stage that is due', async (t) => {
  const clock = createFakeClock(50)
  const blackboard = createBlackboard()
  const stop = createPlannedStop({ clock, blackboard })
  const written: StopStage[] = []
  blackboard.reader(stopStageEntry).onWrite((stage) => { written.push(stage) })
  stop.tick()
  t.same(written, [], 'nothing happens before the order')
  stop.begin(LIMIT_MS)
  t.equal(blackboard.reader(drainingEntry).read(), true)
  clock.advance(2500)
  stop.begin(LIMIT_MS)
  stop.tick()
  stop.tick()
  clock.advance(3000)
  stop.tick()
  t.equal(stop.elapsedMs(), 5500)
  t.same(written, ['announced', 'closing', 'answering'])
})
