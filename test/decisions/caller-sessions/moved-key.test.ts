// Guards workspaces against statements of a caller whose key belongs to another workspace by now: nothing may be sent for the former
// holder of the key, and what the caller is told about its open work must be true.
import t from 'tap'
import type { SessionStatement } from '../../../src/types/session-statement.js'
import type { ConnectionSource } from './fixtures/session-harness.js'
import { createSessionHarness, promiseOf, read, refusedReply, write } from './fixtures/session-harness.js'

type Harness = ReturnType<typeof createSessionHarness>

const begin: SessionStatement = { kind: 'begin', readOnly: false }
const commit: SessionStatement = { kind: 'commit' }
const sources: ConnectionSource[] = ['own', 'borrowed']

/** @returns kinds of the requests that a database received for a workspace, in their order */
function receivedFor (harness: Harness, name: string, workspace: string): string[] {
  const { received, receivedFor } = harness.database(name)
  return received.flatMap(({ statement }, index) => receivedFor[index] === workspace ? [statement.kind] : [])
}

for (const source of sources) {
  t.test(`over ${source} connections`, async (suite) => {
    for (const statement of [read, write, commit]) {
      suite.test(`an open transaction ends when its key belongs to another workspace, at its next ${'access' in statement ? statement.access : statement.kind}`, async (t) => {
        const harness = createSessionHarness('read-your-writes', source)
        const session = harness.open()
        await session.handle('1', begin)
        t.equal(promiseOf(await session.handle('2', write)), 'done')
        harness.moveKey('v')
        const answer = await session.handle('3', statement)
        t.equal(promiseOf(answer), 'nothing-kept')
        t.equal(answer.ends, false, 'the key is valid for its new workspace')
        await harness.settle()
        t.same(receivedFor(harness, 'p', 'w'), ['begin', 'run', 'rollback'])
        if (statement !== commit) await session.handle('4', { kind: 'rollback' })
        t.equal(promiseOf(await session.handle('5', write)), 'done')
        t.same(receivedFor(harness, 'p', 'v'), ['run'])
      })
    }

    suite.test('a transaction that has run nothing runs nothing for either workspace after its key has moved', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', begin)
      harness.moveKey('v')
      t.equal(promiseOf(await session.handle('2', write)), 'nothing-kept')
      t.same(harness.database('p').received, [])
    })

    suite.test('a prepared statement ends the transaction of a moved key like any other', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', { kind: 'prepare', name: 'n', access: 'write', shape: 'x' })
      await session.handle('2', begin)
      t.equal(promiseOf(await session.handle('3', { kind: 'execute', name: 'n', values: 'a' })), 'done')
      harness.moveKey('v')
      t.equal(promiseOf(await session.handle('4', { kind: 'execute', name: 'n', values: 'b' })), 'nothing-kept')
      t.equal(receivedFor(harness, 'p', 'w').filter((kind) => kind === 'execute').length, 1)
    })

    suite.test('a transaction goes on when its key was withdrawn and given back between two statements', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', begin)
      await session.handle('2', write)
      harness.moveKey(null)
      harness.moveKey('w')
      t.equal(promiseOf(await session.handle('3', commit)), 'done')
    })

    for (const [holder, promise] of [['v', 'nothing-kept'], [null, 'rejected']] as const) {
      suite.test(`a write that waits for a primary is not sent after its key ${holder === null ? 'was withdrawn' : 'has moved'}`, async (t) => {
        const harness = createSessionHarness('read-your-writes', source)
        harness.publish(null, 'electing')
        const pending = harness.open().handle('1', write)
        await harness.advance(100)
        harness.moveKey(holder)
        harness.publish('p')
        await harness.advance(200)
        t.equal(promiseOf(await pending), promise)
        t.same(harness.statementKindsAt('p'), [])
      })

      suite.test(`a refused write is not sent again after its key ${holder === null ? 'was withdrawn' : 'has moved'}`, async (t) => {
        const harness = createSessionHarness('read-your-writes', source)
        harness.database('p').react = ({ id }) => id === null ? undefined : refusedReply('busy')
        const pending = harness.open().handle('1', write)
        await harness.settle()
        harness.moveKey(holder)
        await harness.advance(200)
        t.equal(promiseOf(await pending), promise)
        t.same(harness.statementKindsAt('p'), ['run'])
      })
    }

    suite.test('the answer to a statement that was sent before its key moved is passed on', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      const session = harness.open()
      await session.handle('1', begin)
      await session.handle('2', write)
      harness.database('p').answerDelayMs = 100
      const pending = session.handle('3', commit)
      await harness.settle()
      harness.moveKey('v')
      await harness.advance(150)
      t.equal(promiseOf(await pending), 'done')
    })

    suite.end()
  })
}
