// Guards against statements that a stopping instance sends although it can't wait for their answers, and against false promises in the
// answers that it gives in their place.
import t from 'tap'
import type { SessionStatement } from '../../../src/types/session-statement.js'
import { createSessionHarness, promiseOf, read, refusedReply, write } from './fixtures/session-harness.js'

const begin: SessionStatement = { kind: 'begin', readOnly: false }
const commit: SessionStatement = { kind: 'commit' }
const rollback: SessionStatement = { kind: 'rollback' }

for (const statement of [read, write, begin]) {
  t.test(`a stopping instance refuses ${JSON.stringify(statement)} outside of a transaction at once and ends the session`, async (t) => {
    const harness = createSessionHarness()
    const session = harness.open()
    harness.stop.stage = 'refusing'
    const answer = await session.handle('1', statement)
    t.equal(promiseOf(answer), 'nothing-kept')
    t.equal(answer.ends, true)
    t.same(harness.database('p').received, [])
  })
}

for (const statement of [read, write, commit]) {
  t.test(`a stopping instance rolls back a transaction at its next statement: ${JSON.stringify(statement)}`, async (t) => {
    const harness = createSessionHarness()
    const session = harness.open()
    await session.handle('1', begin)
    await session.handle('2', write)
    harness.stop.stage = 'refusing'
    const answer = await session.handle('3', statement)
    await harness.settle()
    t.equal(promiseOf(answer), 'nothing-kept')
    t.same(harness.statementKindsAt('p'), ['run'])
    t.equal(harness.database('p').received.at(-1)?.statement.kind, 'rollback')
    if (statement.kind !== 'commit') t.equal(promiseOf(await session.handle('4', rollback)), 'done')
    t.equal(session.isBusy(), false)
  })
}

t.test('a statement that waits for a connection as the instance stops is refused and never sent', async (t) => {
  const harness = createSessionHarness()
  harness.publish(null, 'switching')
  const session = harness.open()
  const answered = session.handle('1', write)
  await harness.advance(100)
  harness.stop.stage = 'refusing'
  await harness.advance(150)
  t.equal(promiseOf(await answered), 'nothing-kept')
  harness.publish('p')
  await harness.advance(2000)
  t.same(harness.statementKindsAt('p'), [])
})

const interruptions: { title: string, before: SessionStatement[], statement: SessionStatement, promise: string }[] = [
  { title: 'a single read', before: [], statement: read, promise: 'nothing-kept' },
  { title: 'a single write', before: [], statement: write, promise: 'unknown' },
  { title: 'a write in a transaction', before: [begin], statement: write, promise: 'nothing-kept' },
  { title: 'the commit of a transaction that wrote', before: [begin, write], statement: commit, promise: 'unknown' },
  { title: 'the commit of a transaction that only read', before: [begin, read], statement: commit, promise: 'nothing-kept' },
  { title: 'a prepared write', before: [{ kind: 'prepare', name: 'w', access: 'write', shape: 's' }], statement: { kind: 'execute', name: 'w', values: 'x y' }, promise: 'unknown' }
]
for (const { title, before, statement, promise } of interruptions) {
  t.test(`an interrupted statement is answered with what is known of it: ${title}`, async (t) => {
    const harness = createSessionHarness('primary')
    const session = harness.open()
    for (const earlier of before) t.equal(promiseOf(await session.handle('1', earlier)), 'done')
    harness.database('p').react = (request) => request.id === '2' ? 'silent' : undefined
    const answered = session.handle('2', statement)
    await harness.settle()
    session.interrupt()
    const answer = await answered
    t.equal(promiseOf(answer), promise)
    t.same([answer.state, answer.ends, session.isBusy()], ['idle', true, false])
    await harness.advance(2000)
    t.notOk(harness.database('p').received.some(({ id, statement: { kind } }) => id !== '2' && kind === 'commit'), 'nothing is committed later')
  })
}

t.test('the answer of the database to an interrupted statement is not given to the next one', async (t) => {
  const harness = createSessionHarness('primary')
  const session = harness.open()
  harness.database('p').answerDelayMs = 300
  const answered = session.handle('1', write)
  await harness.advance(100)
  session.interrupt()
  t.equal(promiseOf(await answered), 'unknown')
  harness.stop.stage = 'answering'
  t.equal(promiseOf(await session.handle('2', read)), 'nothing-kept')
  await harness.advance(1000)
  t.same(harness.statementKindsAt('p'), ['run'])
})

t.test('a stopping lender rolls back a loan at its next statement, and the borrower promises that nothing is kept', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  const session = harness.open()
  await session.handle('1', begin)
  await session.handle('2', write)
  harness.peers.stopStage = 'refusing'
  t.equal(promiseOf(await session.handle('3', commit)), 'nothing-kept')
  await harness.settle()
  t.same(harness.statementKindsAt('p'), ['run'])
  t.equal(harness.lending.count(), 0)
})

t.test('the commit after a write that ran and failed inside an open transaction has an unknown outcome when it is lost', async (t) => {
  const harness = createSessionHarness('primary')
  const session = harness.open()
  await session.handle('1', begin)
  await session.handle('2', read)
  harness.database('p').react = ({ id }) => id === '3' ? refusedReply('failed', 'transaction') : id === '4' ? 'lost' : undefined
  t.equal(promiseOf(await session.handle('3', write)), 'ran')
  t.equal(promiseOf(await session.handle('4', commit)), 'unknown')
})

const unsent: { title: string, before: SessionStatement[], statement: SessionStatement, waitsFor: string }[] = [
  { title: 'a write behind the begin of its transaction', before: [begin], statement: write, waitsFor: 'begin' },
  { title: 'a single write behind a session value', before: [{ kind: 'set', name: 'n', value: 'v' }], statement: write, waitsFor: 'set' },
  { title: 'a single read behind a session value', before: [{ kind: 'set', name: 'n', value: 'v' }], statement: read, waitsFor: 'set' }
]
for (const { title, before, statement, waitsFor } of unsent) {
  t.test(`an interrupted statement that was not sent yet is never sent: ${title}`, async (t) => {
    const harness = createSessionHarness('primary')
    const session = harness.open()
    for (const earlier of before) await session.handle('1', earlier)
    harness.database('p').answerDelayMs = 100
    const answered = session.handle('2', statement)
    await harness.advance(50)
    t.equal(harness.database('p').received.at(-1)?.statement.kind, waitsFor)
    session.interrupt()
    await answered
    await harness.advance(1000)
    t.same(harness.statementKindsAt('p'), [])
    t.notOk(harness.events.some(({ name }) => name === 'operationFinished'))
  })
}

t.test('an unexpected error in a transaction closes its connection instead of leaving the transaction open', async (t) => {
  const harness = createSessionHarness('primary')
  const session = harness.open()
  await session.handle('1', begin)
  await session.handle('2', write)
  const { history } = harness.services.access
  harness.services.access.history = () => { throw new Error('unexpected') }
  await t.rejects(session.handle('3', write))
  harness.services.access.history = history
  session.close()
  await harness.advance(1000)
  t.equal(harness.services.pool.counts().open, 0)
})
