// Runs random schedules of requests, lost holders and late or repeated answers against the dispatcher. Guards against
// writes that run twice, requests without exactly one outcome, and requests reported as not run that ran.
import fc from 'fast-check'
import t from 'tap'
import type { Outcome } from '../../../src/types/outcome.js'
import type { Operation } from '../../../src/types/peer-message.js'
import { buildRefusal } from '../../../src/types/result-code.js'
import { createDispatcherHarness, HOLDERS, type SentExecute } from './dispatcher-harness.js'

const SEED = 20261204
const RUNS = 500

type Fate = 'runs' | 'runs-silently' | 'refused' | 'not-fresh' | 'outcome-unknown'
type Step =
  | { kind: 'request', access: 'read' | 'write' | 'begin', keyed: boolean, nonIdempotent: boolean }
  | { kind: 'arrive', which: number, fate: Fate }
  | { kind: 'answer' | 'repeat-answer', which: number }
  | { kind: 'lose' | 'connect', holder: number }
  | { kind: 'advance', ms: number }

const which = fc.nat(20)
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('request' as const), access: fc.constantFrom('read', 'write', 'begin' as const), keyed: fc.boolean(), nonIdempotent: fc.boolean() }),
  fc.record({ kind: fc.constant('arrive' as const), which, fate: fc.constantFrom<Fate>('runs', 'runs-silently', 'refused', 'not-fresh', 'outcome-unknown') }),
  fc.record({ kind: fc.constantFrom('answer', 'answer', 'repeat-answer' as const), which }),
  fc.record({ kind: fc.constantFrom('lose', 'connect', 'connect' as const), holder: fc.nat(1) }),
  fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(10, 50, 400) })
)

interface Attempt {
  sent: SentExecute
  arrived: boolean
  answer: Outcome | null
  answered: boolean
}

const success: Outcome = { kind: 'success', rows: [], rowCount: 0, position: null, database: null, role: null, ageMs: null, transaction: null }
const answers: Record<Fate, Outcome | null> = {
  runs: success,
  'runs-silently': null,
  refused: buildRefusal('databaseError', 'not-run', 'test'),
  'not-fresh': buildRefusal('notFresh', 'not-run', 'test'),
  'outcome-unknown': buildRefusal('outcomeUnknown', 'unknown', 'test')
}
const RUNNING_FATES: readonly Fate[] = ['runs', 'runs-silently', 'outcome-unknown']

const pick = <Value>(values: readonly Value[], index: number): Value | undefined => values[index % Math.max(1, values.length)]
const idOf = (attempt: Attempt): string => attempt.sent.message.requestId.split('/')[0] ?? ''

function simulate (steps: readonly Step[]): { outcomes: number, retried: number } {
  const harness = createDispatcherHarness()
  const attempts: Attempt[] = []
  const runs = new Map<string, number>()
  const requests: { id: string, nonIdempotent: boolean, write: boolean, keyed: boolean }[] = []
  harness.onSend((sent) => {
    if (!harness.connected.has(sent.to)) throw new Error('an attempt was sent to an instance that is not connected')
    attempts.push({ sent, arrived: false, answer: null, answered: false })
  })

  function arrive (attempt: Attempt, fate: Fate): void {
    attempt.arrived = true
    attempt.answer = answers[fate]
    if (RUNNING_FATES.includes(fate)) runs.set(idOf(attempt), (runs.get(idOf(attempt)) ?? 0) + 1)
  }

  function run (next: Step): void {
    switch (next.kind) {
      case 'request': {
        const operation: Operation = next.access === 'begin' ? { kind: 'begin' } : { kind: 'statement', statement: 'x', values: [], access: next.access }
        const id = harness.request(operation, { nonIdempotent: next.nonIdempotent, idempotencyKey: next.keyed ? 'key' : null })
        requests.push({ id, nonIdempotent: next.nonIdempotent, write: next.access === 'write', keyed: next.keyed })
        return
      }
      case 'arrive': {
        // An attempt sent over a connection that is lost since may still arrive.
        const attempt = pick(attempts.filter((entry) => !entry.arrived), next.which)
        if (attempt !== undefined) arrive(attempt, next.fate)
        return
      }
      case 'answer':
      case 'repeat-answer': {
        const attempt = pick(attempts.filter((entry) => entry.answer !== null && entry.answered === (next.kind === 'repeat-answer')), next.which)
        if (attempt === undefined || attempt.answer === null) return
        attempt.answered = true
        harness.answer(attempt.sent, attempt.answer)
        return
      }
      case 'lose': return harness.losePeer(HOLDERS[next.holder] ?? HOLDERS[0]!)
      case 'connect': { harness.connected.add(HOLDERS[next.holder] ?? HOLDERS[0]!); return }
      case 'advance': harness.advance(next.ms)
    }
  }

  for (const next of steps) run(next)
  harness.advance(1100)
  for (const attempt of attempts) if (!attempt.arrived) arrive(attempt, 'runs-silently')
  for (const { id, nonIdempotent, write, keyed } of requests) {
    const outcomes = harness.outcomes.get(id) ?? []
    const count = runs.get(id) ?? 0
    if (outcomes.length !== 1) throw new Error(`${id} has ${outcomes.length} outcomes`)
    if ((nonIdempotent || (write && !keyed)) && count > 1) throw new Error(`${id} ran ${count} times`)
    const [outcome] = outcomes
    if (outcome?.kind === 'refusal' && outcome.outcome === 'not-run' && count > 0) throw new Error(`${id} was answered not-run but ran`)
  }
  if (harness.dispatcher.countActive() !== 0) throw new Error('requests without an outcome remain')
  return { outcomes: requests.length, retried: attempts.length - new Set(attempts.map(idOf)).size }
}

t.test(`no schedule of lost holders and late answers breaks a guarantee of the dispatcher (seed ${SEED})`, async (t) => {
  let outcomes = 0
  let retried = 0
  fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 80, size: 'max' }), (steps) => {
    const seen = simulate(steps)
    outcomes += seen.outcomes
    retried += seen.retried
  }), { seed: SEED, numRuns: RUNS })
  t.ok(outcomes > RUNS, `${outcomes} outcomes`)
  t.ok(retried > RUNS, `${retried} retries`)
})
