import fc from 'fast-check'
import t from 'tap'
import type { CallerSession } from '../../../src/decisions/caller-sessions/caller-session.js'
import type { SessionStatement } from '../../../src/types/session-statement.js'
import type { ConnectionSource } from './fixtures/session-harness.js'
import { createSessionHarness, promiseOf, read, write } from './fixtures/session-harness.js'

// Guards against statements that reach a database after their caller was answered, when a connection holder or the network between it and the borrower stood still.

const SEED = 20261204
const begin: SessionStatement = { kind: 'begin', readOnly: false }

type Harness = ReturnType<typeof createSessionHarness>

/** Runs a statement and records when it was answered. */
async function handleRecorded (harness: Harness, session: CallerSession, id: string, statement: SessionStatement, answeredAt: Map<string, number>): Promise<string> {
  const answer = await session.handle(id, statement)
  answeredAt.set(id, harness.clock.now())
  return promiseOf(answer)
}

/** Records the statements that reach a database after their answer. */
function watchLateStatements (harness: Harness, answeredAt: ReadonlyMap<string, number>): string[] {
  const late: string[] = []
  harness.onReceived(({ id }) => { if (id !== null && answeredAt.has(id)) late.push(id) })
  return late
}

const cases: { name: string, before: SessionStatement[], statement: SessionStatement, promise: string }[] = [
  { name: 'a read', before: [], statement: read, promise: 'nothing-kept' },
  { name: 'a single write', before: [], statement: write, promise: 'unknown' },
  { name: 'the first statement of a transaction', before: [begin], statement: write, promise: 'nothing-kept' },
  { name: 'a later statement of a transaction', before: [begin, read], statement: write, promise: 'nothing-kept' },
  { name: 'the commit of a transaction that wrote', before: [begin, write], statement: { kind: 'commit' }, promise: 'unknown' }
]

for (const { name, before, statement, promise } of cases) {
  for (const isSilent of [true, false]) {
    t.test(`${name} that reaches its connection holder after the borrower stopped waiting reaches no database (${isSilent ? 'silent channel' : 'open channel'})`, async (t) => {
      const harness = createSessionHarness('primary', 'borrowed')
      const session = harness.open()
      const answeredAt = new Map<string, number>()
      const late = watchLateStatements(harness, answeredAt)
      for (const [index, earlier] of before.entries()) t.equal(await handleRecorded(harness, session, `before${index}`, earlier, answeredAt), 'done')
      Object.assign(harness.peers, { callDelayMs: 12_000, isSilent })
      const answered = handleRecorded(harness, session, 'late', statement, answeredAt)
      await harness.advance(3000)
      t.equal(await answered, promise)
      await harness.advance(20_000)
      t.same(late, [])
      t.equal(harness.lending.count(), 0, 'no connection stays lent')
    })
  }
}

t.test('a statement whose session values are confirmed after its time limit is not sent', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  const session = harness.open()
  await session.handle('0', { kind: 'set', name: 'n', value: 'v' })
  harness.database('p').answerDelayMs = 450
  const answered = session.handle('1', write)
  await harness.advance(3000)
  t.equal(promiseOf(await answered), 'done', 'the second call finds the values applied')
  t.same(harness.statementKindsAt('p'), ['run'])
  t.match(harness.events, [{ name: 'loanStatementLate', details: { requestId: '1', stage: 'values-applied' } }])
})

t.test('a connection is no longer lent after its transaction began too late for the borrower', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  const session = harness.open()
  await session.handle('0', begin)
  harness.peers.answerDelayMs = 1500
  const answered = session.handle('1', write)
  await harness.advance(5000)
  t.equal(promiseOf(await answered), 'nothing-kept')
  t.equal(harness.lending.count(), 0)
})

const delays = fc.record({ callDelayMs: fc.constantFrom(0, 0, 50, 390, 410, 900, 5000), answerDelayMs: fc.constantFrom(0, 0, 30, 700, 3000), databaseDelayMs: fc.constantFrom(0, 0, 40, 300, 800), isSilent: fc.boolean() })
const script = fc.array(fc.tuple(fc.constantFrom<SessionStatement>(read, write, begin, { kind: 'commit' }, { kind: 'rollback' }, { kind: 'set', name: 'n', value: 'v' }), delays), { minLength: 1, maxLength: 12 })

for (const source of ['own', 'borrowed'] satisfies ConnectionSource[]) {
  t.test(`no statement reaches a database after the answer to its caller, over ${source} connections`, async () => {
    await fc.assert(fc.asyncProperty(script, async (steps) => {
      const harness = createSessionHarness('primary', source)
      const session = harness.open()
      const answeredAt = new Map<string, number>()
      const late = watchLateStatements(harness, answeredAt)
      for (const [index, [statement, { callDelayMs, answerDelayMs, databaseDelayMs, isSilent }]] of steps.entries()) {
        Object.assign(harness.peers, { callDelayMs, answerDelayMs, isSilent })
        harness.database('p').answerDelayMs = databaseDelayMs
        const answered = handleRecorded(harness, session, `q${index}`, statement, answeredAt)
        await harness.advance(1200)
        await answered
      }
      await harness.advance(20_000)
      return late.length === 0 && harness.lending.count() === 0
    }), { seed: SEED, numRuns: 40 })
  })
}
