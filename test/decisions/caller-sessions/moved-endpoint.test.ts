// Guards reads of a session's own commits while a manifest moves its endpoint to other groups and back: each commit belongs to the log of
// one group, and the session must not lose it to a commit at another one.
import t from 'tap'
import type { DatabaseRequest } from '../../../src/types/database-session.js'
import type { GroupId } from '../../../src/types/ids.js'
import type { LogPosition } from '../../../src/types/log-position.js'
import type { CallerSession } from '../../../src/decisions/caller-sessions/caller-session.js'
import type { ConnectionSource } from './fixtures/session-harness.js'
import { GROUP, OTHER_GROUP, createSessionHarness, promiseOf, read, refusedReply, reply, write } from './fixtures/session-harness.js'

type Harness = ReturnType<typeof createSessionHarness>

const isStatement = ({ id }: DatabaseRequest): boolean => id !== null
const sources: ConnectionSource[] = ['own', 'borrowed']

/** Sets the positions of a group: replicas that lack the required position refuse the read. */
function setOffsets (harness: Harness, offsets: Record<string, number>): void {
  for (const [name, offset] of Object.entries(offsets)) {
    const database = harness.database(name)
    database.offset = offset
    database.react = ({ after }) => after !== null && after.offset > database.offset ? refusedReply('lagging') : undefined
  }
}

/** Reads with another session until the instance knows a position of the group that was confirmed at this time. */
async function confirmPosition (harness: Harness): Promise<void> {
  await harness.advance(50)
  await harness.open().handle('other', write)
}

/** @returns required positions of the reads that a database ran */
function positionsOfReads (harness: Harness, name: string): (LogPosition | null)[] {
  return harness.database(name).received.filter((request) => isStatement(request) && request.statement.kind === 'run' && request.statement.access === 'read').map(({ after }) => after)
}

async function writeAt (harness: Harness, session: CallerSession, group: GroupId, id: string): Promise<void> {
  harness.moveEndpoint(group)
  if (promiseOf(await session.handle(id, write)) !== 'done') throw new Error('the write did not run')
}

for (const source of sources) {
  t.test(`over ${source} connections`, async (suite) => {
    suite.test('a session reads its own commit after its endpoint moved to another group and back', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      await confirmPosition(harness)
      setOffsets(harness, { p: 20, r: 10, s: 10, q: 5, u: 5 })
      const session = harness.open()
      await writeAt(harness, session, GROUP, '1')
      await harness.advance(100)
      await writeAt(harness, session, OTHER_GROUP, '2')
      await harness.advance(100)
      harness.moveEndpoint(GROUP)
      t.equal(promiseOf(await session.handle('3', read)), 'done')
      t.same(positionsOfReads(harness, 'p'), [null], 'the replicas lack the commit, so the primary runs the read')
    })

    suite.test('a commit of a transaction at another group does not take the place of an own commit', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      await confirmPosition(harness)
      setOffsets(harness, { p: 20, r: 10, s: 10, q: 5, u: 5 })
      const session = harness.open()
      await writeAt(harness, session, GROUP, '1')
      await harness.advance(100)
      harness.moveEndpoint(OTHER_GROUP)
      await session.handle('2', { kind: 'begin', readOnly: false })
      await session.handle('3', write)
      t.equal(promiseOf(await session.handle('4', { kind: 'commit' })), 'done')
      await harness.advance(100)
      harness.moveEndpoint(GROUP)
      await session.handle('5', { kind: 'begin', readOnly: true })
      t.equal(promiseOf(await session.handle('6', read)), 'done')
      t.same(positionsOfReads(harness, 'r'), [])
      t.same(positionsOfReads(harness, 's'), [])
      t.equal(positionsOfReads(harness, 'p').length, 1)
    })

    suite.test('a replica serves the returned session again as soon as a position confirmed after its last commit is known', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      setOffsets(harness, { p: 20, r: 20, s: 20, q: 5, u: 5 })
      const session = harness.open()
      await writeAt(harness, session, GROUP, '1')
      await writeAt(harness, session, OTHER_GROUP, '2')
      harness.moveEndpoint(GROUP)
      await confirmPosition(harness)
      t.equal(promiseOf(await session.handle('3', read)), 'done')
      t.same(positionsOfReads(harness, 'r'), [{ term: 1, offset: 20 }])
    })

    suite.test('a position at another group is neither required nor reported after a move', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      setOffsets(harness, { p: 900, r: 900, q: 5, u: 5 })
      const session = harness.open()
      await writeAt(harness, session, GROUP, '1')
      harness.moveEndpoint(OTHER_GROUP)
      await confirmPosition(harness)
      const answer = await session.handle('2', read)
      t.equal(promiseOf(answer), 'done')
      t.same(positionsOfReads(harness, 'u'), [{ term: 1, offset: 5 }])
      t.equal(answer.position, null, 'the session has committed nothing in the log of this group')
      await writeAt(harness, session, OTHER_GROUP, '3')
      t.same((await session.handle('4', read)).position, { term: 1, offset: 5 })
    })

    suite.test('a commit whose position the database did not report is read at the primary', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      await confirmPosition(harness)
      await harness.advance(100)
      const session = harness.open()
      harness.database('p').react = ({ statement }) => statement.kind === 'run' && statement.access === 'write' ? reply({ position: null }) : undefined
      t.equal(promiseOf(await session.handle('1', write)), 'done')
      await session.handle('2', read)
      t.equal(positionsOfReads(harness, 'p').length, 1)
    })

    suite.test('replicas serve reads again when a group has come back under its name with databases whose log begins anew', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      harness.database('s').term = 5
      harness.publish('s', 'serving', 5)
      const session = harness.open()
      await session.handle('1', write)
      await harness.advance(100)
      harness.publish('p', 'serving', 6)
      await confirmPosition(harness)
      t.equal(promiseOf(await session.handle('2', read)), 'done')
      t.same([...positionsOfReads(harness, 'r'), ...positionsOfReads(harness, 's')], [{ term: 1, offset: 10 }])
    })

    suite.test('a late answer from before a group came back under its name confirms nothing', async (t) => {
      const harness = createSessionHarness('read-your-writes', source)
      harness.database('s').term = 5
      harness.publish('s', 'serving', 5)
      harness.database('s').answerDelayMs = 300
      const late = harness.open().handle('1', write)
      await harness.advance(100)
      harness.publish('p', 'serving', 6)
      await confirmPosition(harness)
      await harness.advance(300)
      await late
      await harness.open().handle('2', read)
      t.same([...positionsOfReads(harness, 'r'), ...positionsOfReads(harness, 's')], [{ term: 1, offset: 10 }])
    })

    suite.end()
  })
}
