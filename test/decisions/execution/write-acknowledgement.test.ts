// Guards against acknowledged writes that are lost. A failover loses a write that only the primary holds, and a primary
// that restarts can use the position of a lost write again. A term that is released while a write is pending lets the
// group change its primary while the write can still be acknowledged.
import t from 'tap'
import { milliseconds } from '../../../src/types/clock.js'
import { groupId, incarnationId, requestId } from '../../../src/types/ids.js'
import { createExecutorHarness, PRIMARY, REPLICA, SECOND_REPLICA, WRITE, WRITE_POSITION, findRefusal, type ExecutorHarness } from './executor-harness.js'

t.test('a write is acknowledged only when a majority holds its position', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute(WRITE)
  harness.finish(harness.lastRun().connection, { position: WRITE_POSITION })
  harness.observe(PRIMARY, { position: WRITE_POSITION })
  harness.tick()
  t.notOk(harness.answers.has(id), 'the primary alone is no majority')
  harness.observe(SECOND_REPLICA, { position: WRITE_POSITION })
  harness.tick()
  t.match(harness.answers.get(id), [{ kind: 'success', position: WRITE_POSITION }])
})

const notDurable: { fault: string, change: (harness: ExecutorHarness) => void }[] = [
  { fault: 'the term ended', change: (harness) => harness.setGroup({ term: 2, phase: 'electing' }) },
  { fault: 'a new primary serves and the statuses are out of date', change: (harness) => { harness.observeAll({ position: WRITE_POSITION }); harness.setGroup({ term: 2, primary: REPLICA }) } },
  { fault: 'the majority is fenced for a higher term', change: (harness) => harness.observeAll({ fencedTerm: 2, position: WRITE_POSITION }) },
  { fault: 'the majority reports another term', change: (harness) => harness.observeAll({ term: 2, position: { term: 2, offset: 12 } }) },
  { fault: 'the primary restarted and may have reused the position', change: (harness) => { harness.observeAll({ position: WRITE_POSITION }); harness.observe(PRIMARY, { incarnation: incarnationId('run-2') }) } },
  { fault: 'the freshness lease expired', change: (harness) => { harness.observeAll({ position: WRITE_POSITION }); harness.freshness.write({ confirmedAt: milliseconds(0), validUntil: milliseconds(1), leaderTerm: 1 }) } },
  { fault: 'no replica reached the position', change: (harness) => harness.observe(PRIMARY, { position: WRITE_POSITION }) }
]

for (const { fault, change } of notDurable) {
  t.test(`a write is never acknowledged when ${fault}`, async (t) => {
    const harness = createExecutorHarness()
    const id = harness.execute(WRITE)
    harness.finish(harness.lastRun().connection, { position: WRITE_POSITION })
    change(harness)
    harness.tick()
    harness.advance(1000)
    t.same(findRefusal(harness, id), { name: 'notDurable', outcome: 'unknown' })
  })
}

t.test('a term is released as soon as the next one begins, and in a switchover once no write is pending', async (t) => {
  const harness = createExecutorHarness()
  const released = (): (number | undefined)[] => harness.executor.releasedTerms().map(({ term }) => term)
  t.same(released(), [])
  harness.execute(WRITE)
  harness.setGroup({ phase: 'switching' })
  harness.tick()
  t.same(released(), [], 'a write is in flight')
  harness.finish(harness.lastRun().connection, { position: WRITE_POSITION })
  t.same(released(), [], 'a majority may still confirm the write')
  harness.observeAll({ position: WRITE_POSITION })
  harness.tick()
  t.same(released(), [1])
  harness.setGroup({ phase: 'electing', term: 5 })
  t.same(released(), [4])
})

t.test('a cancelled write that waits for a majority does not delay the release of its term', async (t) => {
  const harness = createExecutorHarness()
  const id = harness.execute(WRITE)
  harness.finish(harness.lastRun().connection, { position: WRITE_POSITION })
  harness.send({ kind: 'cancel', from: 'peer', requestId: requestId(id) })
  t.same(findRefusal(harness, id), { name: 'notDurable', outcome: 'unknown' })
  harness.setGroup({ phase: 'switching' })
  t.equal(harness.executor.releasedTerms()[0]?.term, 1)
})

t.test('a connection holder that knows one database of a group does not count it as a majority', async (t) => {
  const harness = createExecutorHarness()
  for (const database of [REPLICA, SECOND_REPLICA]) harness.setDatabase(database, { group: groupId('not-announced-yet') })
  const id = harness.execute(WRITE)
  harness.finish(harness.lastRun().connection, { position: WRITE_POSITION })
  harness.observe(PRIMARY, { position: WRITE_POSITION })
  harness.advance(1000)
  t.same(findRefusal(harness, id), { name: 'notDurable', outcome: 'unknown' })
})
