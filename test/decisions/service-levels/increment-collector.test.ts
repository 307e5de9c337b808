import fc from 'fast-check'
import t from 'tap'
import { createIncrementCollector } from '../../../src/decisions/service-levels/increment-collector.js'
import type { CollectorEffect } from '../../../src/decisions/service-levels/increment-collector.js'
import { createRequestRecorder } from '../../../src/decisions/service-levels/request-recorder.js'
import { applyServiceLevels } from '../../../src/decisions/service-levels/service-level-state.js'
import { createEmptyServiceLevels } from '../../../src/types/service-level.js'
import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { manifestEntry } from '../../../src/blackboard/entry-instance-entries.js'
import { incarnationId, instanceId, workspaceId } from '../../../src/types/ids.js'
import type { ServiceLevelIncrement } from '../../../src/types/service-level.js'
import { createFakeClock } from '../../support/fake-clock.js'
import { LONG_NAME, manifest } from '../../support/operator-fixtures.js'

// A lost or repeated message must neither lose requests nor count them twice. That would happen if the leader acknowledged an increment
// whose commit fails, or if the recorder changed an increment before repeating it.

const SEED = 20261204

function increment (sequence: number, incarnation = 'run-1'): ServiceLevelIncrement {
  return { version: 1, kind: 'service-level-increment', instance: instanceId('entry-1'), incarnation: incarnationId(incarnation), sequence, workspaces: [] }
}

t.test('increments are acknowledged only once they are committed', async (t) => {
  for (const [committed, acknowledged] of [[true, [1, 4]], [false, []]] as const) {
    const clock = createFakeClock()
    const collector = createIncrementCollector({ clock, timeOfDay: () => 77 })
    t.same(collector.handle({ kind: 'received', increment: increment(1) }), [])
    collector.handle({ kind: 'received', increment: increment(1) })
    collector.handle({ kind: 'received', increment: increment(4, 'run-2') })
    t.same(collector.tick(), [], 'a batch is not due yet')
    clock.advance(5000)
    t.match(collector.tick(), [{ kind: 'propose', command: { at: 77, increments: [{ sequence: 1 }, { sequence: 4 }] } }])
    collector.handle({ kind: 'received', increment: increment(5, 'run-2') })
    clock.advance(5000)
    t.same(collector.tick(), [], 'only one command at a time')
    const effects = collector.handle({ kind: 'settled', committed })
    t.same(effects.map((effect) => effect.kind === 'acknowledge' ? effect.message.sequence : null), acknowledged)
    t.match(collector.tick(), [{ kind: 'propose', command: { increments: [{ sequence: 5 }] } }])
  }
})

t.test('each request is counted exactly once, whichever messages and commit results are lost', async (t) => {
  const step = fc.record({ requests: fc.integer({ min: 0, max: 3 }), sendLost: fc.boolean(), acknowledgementLost: fc.boolean(), commit: fc.constantFrom('committed', 'unknown-committed', 'unknown-lost') })
  t.doesNotThrow(() => fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 40 }), (steps) => {
    const clock = createFakeClock()
    const blackboard = createBlackboard()
    const objectives = { availability: 0.99, latencyMs: 50, stalenessMs: 1000 }
    blackboard.claim(manifestEntry, 'test').write({ version: 1, manifest: { ...manifest, workspaces: manifest.workspaces.map((workspace) => ({ ...workspace, objectives })) } })
    const recorder = createRequestRecorder({ clock, blackboard, instance: instanceId('entry-1'), incarnation: incarnationId('run-1') })
    const collector = createIncrementCollector({ clock, timeOfDay: () => clock.now() })
    let state = createEmptyServiceLevels()
    let sent = 0

    function execute (effects: CollectorEffect[], lost: boolean, commit: string): void {
      for (const effect of effects) {
        if (effect.kind === 'acknowledge') {
          if (!lost) recorder.handle({ kind: 'received', message: effect.message })
          continue
        }
        if (commit !== 'unknown-lost') state = applyServiceLevels(state, effect.command)
        execute(collector.handle({ kind: 'settled', committed: commit === 'committed' }), lost, commit)
      }
    }

    const healthy = { requests: 0, sendLost: false, acknowledgementLost: false, commit: 'committed' }
    // Enough steps of 5 s without faults for the increment in flight, its resend and the pending one.
    for (const { requests, sendLost, acknowledgementLost, commit } of [...steps, ...Array.from({ length: 12 }, () => healthy)]) {
      for (let count = 0; count < requests; count++) recorder.handle({ kind: 'finished', request: { workspace: workspaceId(LONG_NAME), refusal: null, durationMs: 1, ageMs: null, withinRate: true } })
      sent += requests
      clock.advance(5000)
      for (const { message } of recorder.tick()) if (!sendLost) collector.handle({ kind: 'received', increment: message })
      execute(collector.tick(), acknowledgementLost, commit)
    }
    const counted = state.workspaces.flatMap(({ coarse }) => coarse).reduce((sum, bucket) => sum + bucket.availability.total, 0)
    return counted === sent && state.lostIncrements === 0
  }), { seed: SEED, numRuns: 200 }))
})
