import t from 'tap'
import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { manifestEntry } from '../../../src/blackboard/entry-instance-entries.js'
import { refusalJudgements } from '../../../src/decisions/service-levels/refusal-judgement.js'
import type { RecorderEffect } from '../../../src/decisions/service-levels/request-recorder.js'
import { createRequestRecorder } from '../../../src/decisions/service-levels/request-recorder.js'
import { incarnationId, instanceId, workspaceId } from '../../../src/types/ids.js'
import type { Tallies, FinishedRequest } from '../../../src/types/service-level.js'
import { createFakeClock } from '../../support/fake-clock.js'
import { manifest } from '../../support/operator-fixtures.js'

// A request tallied against the wrong objective hides a failing service level or reports a false one.
// Requests are lost if the recorder drops tallies while an increment is unacknowledged or at shutdown.

const shop = workspaceId('shop')
const success: FinishedRequest = { workspace: shop, refusal: null, durationMs: 10, ageMs: null, withinRate: true }

function setUp () {
  const clock = createFakeClock()
  const blackboard = createBlackboard()
  const [template] = manifest.workspaces
  if (template === undefined) throw new TypeError('the fixture has no workspace')
  const objectives = { availability: 0.999, latencyMs: 50, stalenessMs: 2000 }
  const workspaces = [{ ...template, id: shop, objectives }, { ...template, id: workspaceId('plain') }]
  blackboard.claim(manifestEntry, 'test').write({ version: 1, manifest: { ...manifest, workspaces } })
  const recorder = createRequestRecorder({ clock, blackboard, instance: instanceId('entry-1'), incarnation: incarnationId('run-1') })
  const finish = (change: Partial<FinishedRequest> = {}): void => { recorder.handle({ kind: 'finished', request: { ...success, ...change } }) }
  const acknowledge = (sequence: number): void => { recorder.handle({ kind: 'received', message: { version: 1, kind: 'service-level-acknowledgement', incarnation: incarnationId('run-1'), sequence } }) }
  const tickAfter = (durationMs: number): RecorderEffect[] => {
    clock.advance(durationMs)
    return recorder.tick()
  }
  return { recorder, finish, acknowledge, tickAfter }
}

const cases: [string, Partial<FinishedRequest>, Partial<Tallies>][] = [
  ['a success', {}, { availability: { total: 1, bad: 0 }, latency: { total: 1, bad: 0 }, staleness: { total: 0, bad: 0 } }],
  ['a slow success', { durationMs: 51 }, { latency: { total: 1, bad: 1 } }],
  ['a read at the staleness limit', { ageMs: 2000 }, { staleness: { total: 1, bad: 0 } }],
  ['a read past the staleness limit', { ageMs: 2001 }, { staleness: { total: 1, bad: 1 } }],
  ['an unknown outcome', { refusal: 'outcomeUnknown' }, { availability: { total: 1, bad: 1 }, latency: { total: 0, bad: 0 } }],
  ['a failover gap', { refusal: 'noPrimary' }, { availability: { total: 1, bad: 1 } }],
  ['a refusal within the rate', { refusal: 'rateExceeded' }, { availability: { total: 1, bad: 1 } }],
  ['a refusal above the rate', { refusal: 'rateExceeded', withinRate: false }, { availability: { total: 1, bad: 0 } }],
  ['a statement that the database refused', { refusal: 'databaseError' }, { availability: { total: 1, bad: 0 } }],
  ['a code that never answers callers', { refusal: 'notLeader' }, { availability: { total: 0, bad: 0 } }]
]
for (const [name, change, expected] of cases) {
  t.test(`${name} is tallied as its objective requires, so that the burn rate is neither too low nor too high`, async (t) => {
    const { finish, tickAfter } = setUp()
    finish(change)
    t.match(tickAfter(10_000), [{ kind: 'send', message: { sequence: 1, workspaces: [{ workspace: 'shop', tallies: expected }] } }])
  })
}

t.test('the judgement of every result has a reason', async (t) => {
  t.same(Object.entries(refusalJudgements).filter(([, { reason }]) => reason.length === 0), [])
})

t.test('a workspace without objectives is not tallied, and no increment is sent without tallies', async (t) => {
  const { finish, tickAfter } = setUp()
  finish({ workspace: workspaceId('plain') })
  t.same(tickAfter(10_000), [])
})

t.test('an increment that is not acknowledged is repeated unchanged while later requests wait', async (t) => {
  const { finish, acknowledge, tickAfter } = setUp()
  finish()
  const first = tickAfter(10_000)
  finish()
  t.same(tickAfter(14_999), [], 'the acknowledgement may still arrive')
  t.same(tickAfter(1), first)
  acknowledge(7)
  t.same(tickAfter(15_000), first, 'an acknowledgement of another sequence number is ignored')
  acknowledge(1)
  t.match(tickAfter(10_000), [{ message: { sequence: 2, workspaces: [{ tallies: { availability: { total: 1 } } }] } }])
})

t.test('a shutdown sends the pending tallies at once', async (t) => {
  const { recorder, finish } = setUp()
  finish()
  t.match(recorder.handle({ kind: 'flush' }), [{ message: { sequence: 1 } }])
})
