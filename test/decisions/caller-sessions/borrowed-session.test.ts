// Guards against the failures that borrowing adds: a write that runs twice or an answer that is wrong when a connection holder is lost,
// connections that stay lent after their use, and health evidence about a database that comes from its connection holder instead.
import t from 'tap'
import { createSessionHarness, promiseOf, read, write } from './fixtures/session-harness.js'

t.test('a statement that could not be sent to one connection holder runs at the next one', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.loss = 'unsent'
  t.equal(promiseOf(await harness.open().handle('1', write)), 'done')
  t.same(harness.peers.requestedFrom, ['holder', 'other'])
  t.same(harness.statementKindsAt('p'), ['run'])
})

t.test('a write has an unknown outcome and is not retried when its connection holder is lost after it was sent', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.loss = 'lost'
  t.equal(promiseOf(await harness.open().handle('1', write)), 'unknown')
  t.same(harness.peers.requestedFrom, ['holder'])
})

t.test('the loss of a connection holder is no evidence about the database', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.loss = 'lost'
  await harness.open().handle('1', write)
  t.same(harness.services.health.observations(), [])
  t.ok(harness.services.health.isUsable(harness.access.primary(harness.access.databases('g' as never)[0]?.group as never)?.database.database as never))
})

t.test('a draining connection holder starts no new loan, and without any holder the instance opens its own connection', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.stopStage = 'announced'
  const answer = harness.open().handle('1', write)
  await harness.advance(100)
  t.equal(promiseOf(await answer), 'done')
  t.same(harness.peers.requestedFrom, ['holder', 'other'])
  t.equal(harness.lending.count(), 0)
  t.same(harness.statementKindsAt('p'), ['run'])
})

t.test('a loan ends after a single statement, a commit or a rollback, and the holder keeps the connection', async (t) => {
  const harness = createSessionHarness('read-your-writes', 'borrowed')
  const session = harness.open()
  await session.handle('1', read)
  t.equal(harness.lending.count(), 0)
  for (const end of ['commit', 'rollback'] as const) {
    await session.handle('2', { kind: 'begin', readOnly: false })
    await session.handle('3', write)
    t.equal(harness.lending.count(), 1)
    await session.handle('4', { kind: end })
    await harness.settle()
    t.equal(harness.lending.count(), 0)
  }
  t.equal(harness.database('p').opened, 1, 'the connection is reused')
})

t.test('the transactions of a lost borrower are rolled back', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  const session = harness.open()
  await session.handle('1', { kind: 'begin', readOnly: false })
  await session.handle('2', write)
  harness.lending.endAllLoans('entry')
  t.equal(harness.lending.count(), 0)
  t.equal(promiseOf(await session.handle('3', { kind: 'commit' })), 'unknown')
  t.notOk(harness.statementKindsAt('p').includes('commit'))
})

t.test('a database that the connection holder cannot reach counts as failing', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.database('p').openFailure = 'unreachable'
  const answer = harness.open().handle('1', write)
  await harness.advance(1000)
  t.equal(promiseOf(await answer), 'nothing-kept')
  t.match(harness.services.health.observations(), [{ database: 'p' }])
})

// A silent primary seemed to answer when its connection holders answered that they had no free connection.
t.test('the answer of a connection holder without a free connection is no evidence about the database', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.hasNoConnection = true
  const answer = harness.open().handle('1', write)
  await harness.advance(1000)
  t.equal(promiseOf(await answer), 'nothing-kept')
  t.same(harness.services.health.observations(), [])
})

t.test('a loan gets the new values after their history was shortened to the length that the holder knows', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  const session = harness.open()
  const nameCount = 10
  const set = async (round: number): Promise<void> => {
    for (let name = 0; name < nameCount; name++) await session.handle('0', { kind: 'set', name: `n${name}`, value: `v${round}` })
  }
  await set(0)
  await session.handle('1', { kind: 'begin', readOnly: false })
  await session.handle('2', write)
  // The 257th change shortens the history to one change for each name, which is the version that the loan has.
  for (let round = 1; round <= 24; round++) await set(round)
  for (let name = 0; name < 7; name++) await session.handle('0', { kind: 'set', name: `n${name}`, value: 'last' })
  await session.handle('3', write)
  const settings = harness.database('p').received.flatMap(({ statement }) => statement.kind === 'set' ? [`${statement.name}=${statement.value}`] : [])
  t.same(settings.slice(-nameCount).sort(), Array.from({ length: nameCount }, (_, name) => `n${name}=${name < 7 ? 'last' : 'v24'}`))
})
