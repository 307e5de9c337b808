// Guards the promises to callers: reads are as fresh as their endpoint requires, a write never runs twice, and a refusal states
// truthfully whether the operation may have run. They break when a statement is sent to the wrong database, or is retried although
// it may have run.
import t from 'tap'
import type { DatabaseRequest } from '../../../src/types/database-session.js'
import type { ConnectionSource } from './fixtures/session-harness.js'
import { KEY, createSessionHarness, promiseOf, read, refusedReply, reply, write } from './fixtures/session-harness.js'

const isStatement = ({ id }: DatabaseRequest): boolean => id !== null

// A caller must see the same behaviour over the instance's own connections and over borrowed ones.
const sources: ConnectionSource[] = ['own', 'borrowed']
for (const source of sources) {
  t.test(`over ${source} connections`, async (suite) => {
    suite.test('without a confirmed position a read goes to the primary, and the next one to the nearby replica', async (t) => {
      const harness = createSessionHarness('bounded-staleness', source)
      const session = harness.open()
      t.equal(promiseOf(await session.handle('1', read)), 'done')
      t.same(harness.statementKindsAt('p'), ['run'])
      t.equal(promiseOf(await session.handle('2', read)), 'done')
      t.same(harness.statementKindsAt('r'), ['run'])
      const sent = harness.database('r').received.find(isStatement)
      t.same(sent?.after, { term: 1, offset: 10 }, 'the replica gets the required position')
    })

    suite.test('names of properties that every object has are names like any other', async (t) => {
      const harness = createSessionHarness('bounded-staleness', source)
      const session = harness.open()
      for (const name of Object.getOwnPropertyNames(Object.prototype)) {
        t.equal(promiseOf(await session.handle(name, { kind: 'execute', name, values: 'x' })), 'rejected', `${name} is not prepared`)
        for (const statement of [{ kind: 'set', name, value: name }, { kind: 'prepare', name, access: 'read', shape: name }, { kind: 'execute', name, values: 'x' }, { kind: 'deallocate', name }] as const) {
          t.equal(promiseOf(await session.handle(name, statement)), 'done', `${statement.kind} ${name}`)
        }
        t.equal(promiseOf(await session.handle(name, { kind: 'deallocate', name })), 'rejected', `${name} is deallocated`)
      }
    })

    suite.test('a position that is older than the allowed staleness is not used for a replica', async (t) => {
      const harness = createSessionHarness('bounded-staleness', source)
      const session = harness.open()
      await session.handle('1', read)
      await harness.advance(1001)
      await session.handle('2', read)
      t.same(harness.statementKindsAt('p'), ['run', 'run'])
    })

    suite.test(`a position that is reported inside a transaction after the freshness lease has ended confirms nothing (${source} connections)`, async (t) => {
      const harness = createSessionHarness('bounded-staleness', source)
      const session = harness.open()
      await session.handle('1', { kind: 'begin', readOnly: true })
      await session.handle('2', read)
      await harness.advance(2000)
      harness.renewLease(-1)
      t.equal(promiseOf(await session.handle('3', read)), 'done')
      await harness.open().handle('4', read)
      t.same(harness.database('r').received, [], 'nothing shows that the position is recent enough for a replica')
    })

    suite.test('a session reads its own commit, and reads it from the primary after a change of term', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.database('p').offset = 20
      await session.handle('1', write)
      await session.handle('2', read)
      const sent = harness.database('r').received.find(isStatement)
      t.same(sent?.after, { term: 1, offset: 20 })
      // The promotion may have rolled back the commit. A replica would wait forever for its position.
      const other = harness.open()
      harness.database('s').term = 2
      harness.publish('s', 'serving', 2)
      await other.handle('3', write)
      const before = harness.statementKindsAt('s').length
      await session.handle('4', read)
      t.equal(harness.statementKindsAt('s').length, before + 1)
    })

    suite.test('a read that a lagging replica refused runs on the primary', async (t) => {
      const harness = createSessionHarness('bounded-staleness', source)
      const session = harness.open()
      await session.handle('1', read)
      harness.database('r').react = (request) => isStatement(request) ? refusedReply('lagging') : undefined
      t.equal(promiseOf(await session.handle('2', read)), 'done')
      t.same(harness.statementKindsAt('p'), ['run', 'run'])
    })

    suite.test('without a freshness lease a plain transaction surrounds a read on the primary', async (t) => {
      const harness = createSessionHarness('primary', source)
      const session = harness.open()
      harness.renewLease(-1)
      t.equal(promiseOf(await session.handle('1', read)), 'done')
      await harness.settle()
      t.same(harness.database('p').received.map(({ statement }) => statement.kind), ['begin', 'run', 'rollback'])
      t.match(harness.database('p').received[0], { statement: { kind: 'begin', readOnly: false } })
    })

    suite.test('a write that was sent and not answered has an unknown outcome and is not retried', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.database('p').react = (request) => isStatement(request) ? 'lost' : undefined
      t.equal(promiseOf(await session.handle('1', write)), 'unknown')
      t.same(harness.statementKindsAt('p'), ['run'])
    })

    suite.test('the outcome of an unanswered write is unknown at the statement timeout, not before', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.database('p').react = (request) => isStatement(request) ? 'silent' : undefined
      let answer: string | null = null
      const pending = session.handle('1', write).then((given) => { answer = promiseOf(given) })
      // A connection holder reserves 20 ms of the statement's time for its answer to arrive.
      await harness.advance(source === 'own' ? 990 : 970)
      t.equal(answer, null)
      await harness.advance(20)
      await pending
      t.equal(answer, 'unknown')
    })

    suite.test('a read whose database is lost runs on another one', async (t) => {
      const harness = createSessionHarness('bounded-staleness', source)
      const session = harness.open()
      await session.handle('1', read)
      harness.database('r').react = (request) => isStatement(request) ? 'lost' : undefined
      t.equal(promiseOf(await session.handle('2', read)), 'done')
    })

    suite.test('a write that the database refused without running it is retried', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      let refusals = 2
      harness.database('p').react = (request) => isStatement(request) && refusals-- > 0 ? refusedReply('busy') : undefined
      const pending = session.handle('1', write)
      await harness.advance(200)
      t.equal(promiseOf(await pending), 'done')
      t.equal(harness.statementKindsAt('p').length, 3)
    })

    suite.test('a write waits during a primary election, and is refused as not run when its time has expired', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.publish(null, 'electing', 2)
      const served = session.handle('1', write)
      await harness.advance(300)
      harness.database('s').term = 2
      harness.publish('s', 'serving', 2)
      await harness.advance(10)
      t.equal(promiseOf(await served), 'done')
      harness.publish(null, 'electing', 3)
      const refused = session.handle('2', write)
      await harness.advance(1000)
      t.match(await refused, { outcome: { kind: 'refused', refusal: { promise: 'nothing-kept', result: 'noPrimary' } } })
      t.equal((harness.events.at(-1)?.details?.retryAfterMs as number) > 0, true, 'the refusal contains the retry delay')
    })

    suite.test('a transaction runs on one connection, which no other session uses meanwhile', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', { kind: 'begin', readOnly: false })
      t.equal(harness.database('p').received.length, 0, 'begin alone acquires no connection')
      await session.handle('2', write)
      const other = harness.open()
      await other.handle('3', write)
      t.equal(harness.database('p').opened, 2)
      const committed = await session.handle('4', { kind: 'commit' })
      t.match(committed, { outcome: { kind: 'done', proof: 'p' }, state: 'idle' })
      t.same(harness.database('p').received.map(({ id, statement }) => `${id} ${statement.kind}`), ['null begin', '2 run', '3 run', '4 commit'])
    })

    suite.test('a statement is sent only after the database has confirmed the begin', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.database('p').react = ({ statement }) => statement.kind === 'begin' ? refusedReply('read-only') : undefined
      await session.handle('1', { kind: 'begin', readOnly: false })
      const pending = session.handle('2', write)
      await harness.advance(1100)
      t.equal(promiseOf(await pending), 'nothing-kept')
      t.same(harness.statementKindsAt('p'), [])
    })

    suite.test('a lost commit has an unknown outcome after a write, and counts as aborted after reads only', async (t) => {
      for (const [statement, promise] of [[write, 'unknown'], [read, 'nothing-kept']] as const) {
        const harness = createSessionHarness('read-your-writes', source)
        const session = harness.open()
        harness.database('p').react = (request) => request.statement.kind === 'commit' ? 'lost' : undefined
        await session.handle('1', { kind: 'begin', readOnly: false })
        await session.handle('2', statement)
        const answer = await session.handle('3', { kind: 'commit' })
        t.equal(promiseOf(answer), promise)
        t.equal(answer.state, 'idle')
      }
    })

    suite.test('a lost commit has an unknown outcome after a write that ran with an error and left the transaction open', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.database('p').react = (request) => request.statement.kind === 'commit' ? 'lost' : request.id === '2' ? refusedReply('failed', 'transaction') : undefined
      await session.handle('1', { kind: 'begin', readOnly: false })
      t.equal(promiseOf(await session.handle('2', write)), 'ran')
      t.equal(promiseOf(await session.handle('3', { kind: 'commit' })), 'unknown')
    })

    suite.test('a failed transaction accepts only commit or rollback, and its commit is refused as rolled back', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.database('p').react = (request) => isStatement(request) && request.statement.kind === 'run' ? refusedReply('failed', 'failed') : undefined
      await session.handle('1', { kind: 'begin', readOnly: false })
      t.equal((await session.handle('2', write)).state, 'failed')
      t.match(await session.handle('3', read), { state: 'failed', outcome: { refusal: { result: 'malformedRequest' } } })
      t.match(await session.handle('4', { kind: 'commit' }), { state: 'idle', outcome: { refusal: { promise: 'nothing-kept' } } })
      t.notOk(harness.statementKindsAt('p').includes('commit'))
    })

    suite.test('values are set before a statement of their session, and reset before a statement of another session', async (t) => {
      const harness = createSessionHarness('primary', source)
      const first = harness.open()
      await first.handle('1', { kind: 'set', name: 'zone', value: 'a' })
      await first.handle('2', read)
      const second = harness.open()
      await second.handle('3', read)
      await first.handle('4', read)
      t.same(harness.database('p').received.map(({ statement }) => statement.kind), ['set', 'run', 'reset', 'run', 'set', 'run'])
    })

    suite.test('prepared names of different callers do not collide', async (t) => {
      const harness = createSessionHarness('primary', source)
      const [first, second] = [harness.open(), harness.open()]
      await first.handle('1', { kind: 'prepare', name: 's1', access: 'read', shape: 'a' })
      await second.handle('2', { kind: 'prepare', name: 's1', access: 'read', shape: 'b' })
      await first.handle('3', { kind: 'execute', name: 's1', values: '1' })
      await second.handle('4', { kind: 'execute', name: 's1', values: '1' })
      const sent = harness.database('p').received.map(({ statement }) => statement)
      t.match(sent, [{ kind: 'prepare', shape: 'a' }, { kind: 'execute' }, { kind: 'prepare', shape: 'b' }, { kind: 'execute' }])
      const [prepared, , preparedSecond] = sent as { name: string }[]
      t.not(prepared?.name, preparedSecond?.name)
      t.match(await first.handle('5', { kind: 'execute', name: 'none', values: '1' }), { outcome: { refusal: { result: 'unknownStatement' } } })
    })

    suite.test('a withdrawn key ends the session, inside a transaction too', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', { kind: 'begin', readOnly: false })
      await session.handle('2', write)
      harness.setManifest({ workspaces: [] })
      const answer = await session.handle('3', { kind: 'commit' })
      t.match(answer, { ends: true, outcome: { refusal: { result: 'keyRefused' } } })
      await harness.settle()
      t.notOk(harness.statementKindsAt('p').includes('commit'))
      t.equal(harness.database('p').received.at(-1)?.statement.kind, 'rollback')
      t.match(harness.openRefused(KEY), { result: 'keyRefused', promise: 'rejected' })
      t.match(harness.openRefused(null), { result: 'keyMissing' })
    })

    suite.test('the open transaction of a caller that disconnects is rolled back', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', { kind: 'begin', readOnly: false })
      await session.handle('2', write)
      session.close()
      await harness.settle()
      t.equal(harness.database('p').received.at(-1)?.statement.kind, 'rollback')
    })

    suite.test('a transaction that is idle for too long is aborted, and the next statement gets the refusal', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', { kind: 'begin', readOnly: false })
      await session.handle('2', write)
      await harness.advance(3001)
      t.equal(harness.database('p').received.at(-1)?.statement.kind, 'rollback')
      t.match(await session.handle('3', { kind: 'commit' }), { state: 'idle', outcome: { refusal: { result: 'transactionAborted', promise: 'nothing-kept' } } })
    })

    suite.test('a switchover waits for an open transaction, but no longer than its limit', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', { kind: 'begin', readOnly: false })
      await session.handle('2', write)
      harness.publish('p', 'switching', 1)
      t.match(harness.access.releasedTerms(), [{ term: 0 }])
      await harness.advance(701)
      harness.access.tick()
      await harness.settle()
      t.match(harness.access.releasedTerms(), [{ term: 1 }])
      t.match(await session.handle('3', { kind: 'commit' }), { outcome: { refusal: { result: 'transactionAborted', promise: 'nothing-kept' } } })
    })

    suite.test('databases with weight 0 get no new work', async (t) => {
      const harness = createSessionHarness('bounded-staleness', source)
      const session = harness.open()
      await session.handle('1', read)
      harness.publish('p', 'serving', 1, { r: 0, s: 0 })
      await session.handle('2', read)
      t.same(harness.statementKindsAt('p'), ['run', 'run'])
      harness.publish('p', 'serving', 1, { p: 0, r: 0, s: 0 })
      const pending = session.handle('3', read)
      await harness.advance(1000)
      t.equal(promiseOf(await pending), 'nothing-kept')
    })

    suite.test('a transaction that failed in the database is rolled back there', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      harness.database('p').react = (request) => request.statement.kind === 'run' ? reply({ outcome: { kind: 'error', error: 'read-only', message: 'x' }, state: 'failed' }) : undefined
      await session.handle('1', { kind: 'begin', readOnly: false })
      t.match(await session.handle('2', write), { state: 'failed', outcome: { refusal: { result: 'databaseRefused', promise: 'nothing-kept' } } })
      await harness.settle()
      t.equal(harness.database('p').received.at(-1)?.statement.kind, 'rollback')
    })
  })
}
