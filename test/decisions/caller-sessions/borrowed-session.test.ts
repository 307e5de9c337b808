import t from 'tap'
import { createSessionHarness, promiseOf, read, write } from './fixtures/session-harness.js'

t.test('a statement that could not be sent to one holder runs at the next one', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.loss = 'unsent'
  t.equal(promiseOf(await harness.open().handle('1', write)), 'done')
  t.same(harness.peers.asked, ['holder', 'other'])
  t.same(harness.ranOn('p'), ['run'])
})

t.test('a write whose holder is lost after it was sent is unknown and not sent again', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.loss = 'lost'
  t.equal(promiseOf(await harness.open().handle('1', write)), 'unknown')
  t.same(harness.peers.asked, ['holder'])
})

t.test('the loss of a holder tells nothing of the database', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.loss = 'lost'
  await harness.open().handle('1', write)
  t.same(harness.services.health.observations(), [])
  t.ok(harness.services.health.isUsable(harness.access.primary(harness.access.databases('g' as never)[0]?.group as never)?.database.database as never))
})

t.test('a holder that drains lends nothing new; with no holder left the instance connects itself', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.isDraining = true
  const answer = harness.open().handle('1', write)
  await harness.advance(100)
  t.equal(promiseOf(await answer), 'done')
  t.same(harness.peers.asked, ['holder', 'other'])
  t.equal(harness.lending.count(), 0)
  t.same(harness.ranOn('p'), ['run'])
})

t.test('a connection is back with its holder after a single statement, a commit or a rollback', async (t) => {
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
  t.equal(harness.database('p').opened, 1, 'the connection is used again')
})

t.test('a borrower that is lost has its transactions rolled back', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  const session = harness.open()
  await session.handle('1', { kind: 'begin', readOnly: false })
  await session.handle('2', write)
  harness.lending.lose('entry')
  t.equal(harness.lending.count(), 0)
  t.equal(promiseOf(await session.handle('3', { kind: 'commit' })), 'unknown')
  t.notOk(harness.ranOn('p').includes('commit'))
})

t.test('a database that the holder cannot reach counts as failing', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.database('p').openFailure = 'unreachable'
  const answer = harness.open().handle('1', write)
  await harness.advance(1000)
  t.equal(promiseOf(await answer), 'nothing-kept')
  t.match(harness.services.health.observations(), [{ database: 'p' }])
})

// A primary that was dark seemed to answer, since its holders said that they had no connection.
t.test('a holder without a free connection does not speak for the database', async (t) => {
  const harness = createSessionHarness('primary', 'borrowed')
  harness.peers.hasNone = true
  const answer = harness.open().handle('1', write)
  await harness.advance(1000)
  t.equal(promiseOf(await answer), 'nothing-kept')
  t.same(harness.services.health.observations(), [])
})
