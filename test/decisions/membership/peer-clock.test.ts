import fc from 'fast-check'
import t from 'tap'
import { createPeerClock } from '../../../src/decisions/membership/peer-clock.js'
import { milliseconds } from '../../../src/types/clock.js'
import { createFakeClock } from '../../support/fake-clock.js'

const SEED = 20261204
const MAX_DRIFT = 0.0002

t.test('without a reading there is no estimate', async (t) => {
  t.equal(createPeerClock(createFakeClock()).timeAfter(100), null)
})

t.test('a fresh reading replaces one whose message was slower', async (t) => {
  const clock = createFakeClock(1000)
  const peerClock = createPeerClock(clock)
  peerClock.record(milliseconds(4000))
  t.equal(peerClock.timeAfter(100), 4100)
  clock.advance(10)
  peerClock.record(milliseconds(4060))
  t.equal(peerClock.timeAfter(100), 4160)
})

t.test('the estimate never runs ahead of the clock of the peer, however long messages take, clocks drift or the own clock stands still', async () => {
  const step = fc.record({ passedMs: fc.nat(100_000), messageDelayMs: fc.nat(20_000), ownClockStandsStill: fc.boolean() })
  fc.assert(fc.property(fc.nat(1_000_000), fc.double({ min: -MAX_DRIFT, max: MAX_DRIFT, noNaN: true }), fc.array(step, { minLength: 1, maxLength: 20 }), (peerStart, drift, steps) => {
    const own = createFakeClock(1000)
    const peerClock = createPeerClock(own)
    let passed = 0
    const peerAt = (time: number): number => peerStart + time * (1 - drift)
    for (const { passedMs, messageDelayMs, ownClockStandsStill } of steps) {
      passed += passedMs
      if (!ownClockStandsStill) own.advance(passedMs)
      peerClock.record(milliseconds(Math.floor(peerAt(Math.max(0, passed - messageDelayMs)))))
      const limit = peerClock.timeAfter(400) as number
      if (limit > peerAt(passed + 400) + 1) return false
    }
    return true
  }), { seed: SEED })
})
