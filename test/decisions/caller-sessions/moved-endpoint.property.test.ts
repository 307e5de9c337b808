// Checks reads against the logs on which they run, over schedules of moved endpoints, lagging replicas, promotions, groups whose databases
// are replaced under the same name, and freshness leases that end: no read may run on a log without the session's own acknowledged
// commits, or without a commit that was acknowledged before the allowed staleness.
import fc from 'fast-check'
import t from 'tap'
import type { CallerSession } from '../../../src/decisions/caller-sessions/caller-session.js'
import type { SessionAnswer, SessionStatement } from '../../../src/types/session-statement.js'
import type { GroupName } from './fixtures/replicated-groups.js'
import { MEMBERS, createReplicatedGroups } from './fixtures/replicated-groups.js'
import type { ConnectionSource } from './fixtures/session-harness.js'
import { GROUP, OTHER_GROUP, createSessionHarness, promiseOf, read } from './fixtures/session-harness.js'

const SEED = 20261206
const SESSIONS = 3
/** Staleness that the endpoint of the session harness allows, in milliseconds. */
const MAX_STALENESS_MS = 1000

type Step =
  | { kind: 'write' | 'write-in-transaction' | 'read' | 'read-in-transaction', session: number }
  | { kind: 'move' | 'promote' | 'recreate', group: GroupName }
  | { kind: 'replicate', group: GroupName, member: number }
  | { kind: 'wait', durationMs: number }
  | { kind: 'lease', isValid: boolean }

const session = fc.nat(SESSIONS - 1)
const group = fc.constantFrom<GroupName>('g', 'h')
/** Most pauses are short beside the allowed staleness, so that replicas may serve reads that other sessions have confirmed before. */
const durationMs = fc.oneof({ weight: 5, arbitrary: fc.integer({ min: 1, max: 120 }) }, { weight: 1, arbitrary: fc.integer({ min: 121, max: 1200 }) })
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom<'write' | 'write-in-transaction'>('write', 'write-in-transaction'), session }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constantFrom<'read' | 'read-in-transaction'>('read', 'read-in-transaction'), session }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant<'move'>('move'), group }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom<'promote' | 'recreate'>('promote', 'recreate'), group }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant<'replicate'>('replicate'), group, member: fc.nat(2) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant<'wait'>('wait'), durationMs }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant<'lease'>('lease'), isValid: fc.boolean() }) }
), { minLength: 30, maxLength: 100 })

interface Acknowledged {
  text: string
  session: number
  group: GroupName
  acknowledgedAt: number
}

/** @returns the first broken promise of a schedule as text; null when all were kept */
async function play (schedule: Step[], source: ConnectionSource): Promise<{ broken: string | null, replicaReads: number }> {
  const harness = createSessionHarness('read-your-writes', source)
  const groups = createReplicatedGroups(harness)
  const sessions = Array.from({ length: SESSIONS }, () => harness.open())
  const acknowledged: Acknowledged[] = []
  let current: GroupName = 'g'
  let lastId = 0
  let replicaReads = 0

  /** Runs a statement to its answer, over all its waits. */
  async function ask (caller: CallerSession, statement: SessionStatement): Promise<SessionAnswer> {
    const answers: SessionAnswer[] = []
    const handled = caller.handle(`${++lastId}`, statement).then((answer) => { answers.push(answer) })
    await harness.settle()
    for (let waited = 0; answers.length === 0 && waited < 40; waited++) await harness.advance(50)
    if (answers.length === 0) throw new Error('a statement got no answer')
    await handled
    return answers[0] as SessionAnswer
  }

  async function write (index: number, isInTransaction: boolean): Promise<void> {
    const caller = sessions[index] as CallerSession
    const text = `WRITE ${++lastId}`
    if (isInTransaction) await ask(caller, { kind: 'begin', readOnly: false })
    let answer = await ask(caller, { kind: 'run', access: 'write', text })
    if (isInTransaction) answer = await ask(caller, promiseOf(answer) === 'done' ? { kind: 'commit' } : { kind: 'rollback' })
    if (promiseOf(answer) === 'done') acknowledged.push({ text, session: index, group: current, acknowledgedAt: harness.clock.now() })
  }

  /** @returns the text of a commit that the read had to see and did not */
  async function readAndJudge (index: number, isInTransaction: boolean): Promise<string | null> {
    const caller = sessions[index] as CallerSession
    const startedAt = harness.clock.now()
    const kept = new Set(groups.primaryLog(current).map(({ text }) => text))
    if (isInTransaction) await ask(caller, { kind: 'begin', readOnly: true })
    const answer = await ask(caller, read)
    const seen = new Set(groups.lastRunLog().map(({ text }) => text))
    if (isInTransaction) await ask(caller, { kind: 'commit' })
    if (promiseOf(answer) !== 'done') return null
    if (groups.lastRunOnReplica(current)) replicaReads++
    // What a promotion has rolled back, or new databases never had, does not count.
    const required = acknowledged.filter((commit) => commit.group === current && kept.has(commit.text) &&
      (commit.session === index || commit.acknowledgedAt < startedAt - MAX_STALENESS_MS))
    return required.find(({ text }) => !seen.has(text))?.text ?? null
  }

  for (const step of schedule) {
    if (step.kind === 'write' || step.kind === 'write-in-transaction') await write(step.session, step.kind === 'write-in-transaction')
    if (step.kind === 'move') harness.moveEndpoint(step.group === 'g' ? GROUP : OTHER_GROUP)
    if (step.kind === 'move') current = step.group
    if (step.kind === 'promote') groups.promote(step.group)
    if (step.kind === 'recreate') groups.recreate(step.group)
    if (step.kind === 'replicate') groups.replicate(step.group, MEMBERS[step.group][step.member] ?? MEMBERS[step.group][0] as string)
    if (step.kind === 'wait') await harness.advance(step.durationMs)
    if (step.kind === 'lease') harness.renewLease(step.isValid ? 60_000 : -1)
    if (step.kind !== 'read' && step.kind !== 'read-in-transaction') continue
    const missing = await readAndJudge(step.session, step.kind === 'read-in-transaction')
    if (missing !== null) return { broken: `session ${step.session} read without ${missing}`, replicaReads }
  }
  return { broken: null, replicaReads }
}

const sources: ConnectionSource[] = ['own', 'borrowed']
for (const source of sources) {
  t.test(`no schedule of moved endpoints makes a session miss a commit that it has to read (${source} connections)`, async (t) => {
    let replicaReads = 0
    await fc.assert(fc.asyncProperty(steps, async (schedule) => {
      const result = await play(schedule, source)
      replicaReads += result.replicaReads
      return result.broken === null
    }), { seed: SEED, numRuns: 300 })
    t.ok(replicaReads > 100, `${replicaReads} reads ran on replicas`)
  })
}
