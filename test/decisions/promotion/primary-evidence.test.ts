// Guards against the replacement of a primary that works: reports of silence may come from few instances, from before its last
// announcement, or from a time in which the reporting instances were cut off themselves.
import t from 'tap'
import type { FailoverEffect } from '../../../src/decisions/failover/failover-message.js'
import { milliseconds } from '../../../src/types/clock.js'
import { createHarness, failStatus, findCommand, findOrder, ordersIn } from './fixtures/promotion-harness.js'

t.test('silence to a minority of the instances, or silence before an announcement, replaces no primary', async (t) => {
  const minority = createHarness()
  minority.clock.advance(500)
  minority.report('a', 0, minority.silence('p', 450))
  for (const name of ['b', 'c']) minority.report(name, 0, minority.silence('p', 0))
  t.equal(findCommand(minority.advance(100)), undefined)
  const announced = createHarness()
  announced.clock.advance(500)
  announced.announce('p', 'primary')
  for (const name of ['a', 'b', 'c']) announced.report(name, 0, announced.silence('p', 450))
  t.equal(findCommand(announced.advance(100)), undefined)
})

t.test('silence from a time when the instances were cut off themselves replaces no primary', async (t) => {
  const harness = createHarness()
  harness.clock.advance(4000)
  harness.announce('p', 'primary')
  harness.clock.advance(300)
  for (const name of ['a', 'b', 'c']) harness.report(name, 0, { ...harness.silence('p', 3000), inContactSince: harness.clock.now() })
  t.equal(findCommand(harness.advance(100)), undefined, 'they have not had the time to reach it again')
  const contactBegan = milliseconds(harness.clock.now() - 100)
  harness.clock.advance(300)
  for (const name of ['a', 'b', 'c']) harness.report(name, 0, { ...harness.silence('p', 0), inContactSince: contactBegan })
  t.equal(findCommand(harness.advance(500)), undefined, 'they have reached it')
})

t.test('a primary that stays silent to instances after they are back in contact is replaced', async (t) => {
  const harness = createHarness()
  harness.clock.advance(4000)
  const contactBegan = harness.clock.now()
  harness.clock.advance(450)
  for (const name of ['a', 'b', 'c']) harness.report(name, 0, { ...harness.silence('p', 3000), inContactSince: contactBegan })
  t.match(findCommand(harness.advance(100)), { kind: 'begin-election', term: 2 })
})

t.test('silence to a single instance replaces no primary while others are registered; silence to two does', async (t) => {
  const harness = createHarness()
  harness.clock.advance(500)
  for (const name of ['b', 'c', 'd']) harness.report(name, 0)
  harness.report('a', 0, harness.silence('p', 450))
  t.equal(findCommand(harness.advance(100)), undefined)
  harness.report('b', 0, harness.silence('p', 450))
  t.match(findCommand(harness.advance(100)), { kind: 'begin-election' })
})

t.test('a primary whose commits wait for a replica is not replaced while it answers status queries', async (t) => {
  const harness = createHarness({ acknowledgingReplicas: 1 })
  harness.clock.advance(4000)
  const reportSilence = (): FailoverEffect[] => ['a', 'b', 'c'].flatMap((name) => harness.report(name, 0, harness.silence('p', 900)))
  reportSilence()
  for (let round = 0; round < 4; round++) {
    const effects = harness.advance(500)
    t.equal(findCommand(effects), undefined)
    const query = findOrder(ordersIn(effects, 'status'), 'p')
    t.equal(findCommand(harness.answerStatus(query, 8, 'primary')), undefined)
    t.equal(findCommand(reportSilence()), undefined)
  }
  const query = findOrder(ordersIn(harness.advance(500), 'status'), 'p')
  t.match(findCommand(failStatus(harness, query)), { kind: 'begin-election', term: 2 })
})

t.test('a primary that only some instances reach is not replaced when no other database can serve', async (t) => {
  const harness = createHarness()
  harness.clock.advance(4000)
  harness.announce('p', 'primary')
  const reportSilence = (): FailoverEffect[] => ['a', 'b', 'c'].flatMap((name) => harness.report(name, 0, harness.silence('p', 900)))
  reportSilence()
  t.equal(findCommand(harness.advance(100)), undefined, 'r and s have not announced themselves for 4 s')
  harness.announce('r', 'replica')
  reportSilence()
  t.match(findCommand(harness.advance(100)), { kind: 'begin-election' })
})
