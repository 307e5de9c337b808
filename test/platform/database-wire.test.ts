import t from 'tap'
import { openWireSession, readWireStatus } from '../../platform/database-wire.js'
import { address, databaseId, groupId, workspaceId } from '../../src/types/ids.js'
import type { DatabaseSession } from '../../src/types/database-session.js'
import type { WireDatabase } from '../../stand-ins/platform/wire-database.js'
import { startWireDatabase } from '../../stand-ins/platform/wire-database.js'

const OPEN_MS = 2000

async function open (database: WireDatabase, id = 'i-1'): Promise<DatabaseSession> {
  const opened = await openWireSession({ database: databaseId(id), group: groupId('g'), address: address(database.address), workspace: workspaceId('w') }, OPEN_MS)
  return opened._unsafeUnwrap()
}

const read = { id: 'q1', statement: { kind: 'run', access: 'read', text: 'READ x' }, after: null } as const

t.test('rows, proof, state and position of an answer arrive, also byte by byte', async (t) => {
  const database = await startWireDatabase('g', 'i-1')
  t.teardown(database.close)
  for (const splits of [false, true]) {
    database.faults.splitsAnswers = splits
    const session = await open(database)
    t.same(session.openedAt, { term: 3, offset: 100 })
    const reply = (await session.run(read))._unsafeUnwrap()
    t.same(reply, { rows: ['x=v'], outcome: { kind: 'done', proof: 'proof.q1' }, state: 'idle', position: { term: 3, offset: 100 } })
    session.close()
  }
})

t.test('answers to requests sent at once come in order', async (t) => {
  const database = await startWireDatabase('g', 'i-1')
  t.teardown(database.close)
  const session = await open(database)
  const replies = await Promise.all(['a', 'b', 'c'].map((id) => session.run({ ...read, id })))
  t.same(replies.map((reply) => reply._unsafeUnwrap().outcome), ['a', 'b', 'c'].map((id) => ({ kind: 'done', proof: `proof.${id}` })))
  session.close()
})

t.test('a database that is not the expected one refuses the connection', async (t) => {
  const database = await startWireDatabase('g', 'i-2')
  t.teardown(database.close)
  const opened = await openWireSession({ database: databaseId('i-1'), group: groupId('g'), address: address(database.address), workspace: null }, OPEN_MS)
  t.equal(opened._unsafeUnwrapErr().kind, 'other-database')
  database.faults.refusesConnections = 'TOOMANY'
  const crowded = await openWireSession({ database: databaseId('i-2'), group: groupId('g'), address: address(database.address), workspace: null }, OPEN_MS)
  t.equal(crowded._unsafeUnwrapErr().kind, 'too-many-connections')
})

t.test('a connection that ends leaves every open request lost', async (t) => {
  const database = await startWireDatabase('g', 'i-1')
  database.faults.lostAnswers = 1
  const session = await open(database)
  const pending = session.run(read)
  let ended = false
  session.onEnd(() => { ended = true })
  await database.close()
  t.equal((await pending)._unsafeUnwrapErr().kind, 'lost')
  t.ok(ended)
  t.equal((await session.run(read))._unsafeUnwrapErr().kind, 'lost')
})

t.test('a refused port is unreachable', async (t) => {
  const database = await startWireDatabase('g', 'i-1')
  await database.close()
  const opened = await openWireSession({ database: databaseId('i-1'), group: groupId('g'), address: address(database.address), workspace: null }, OPEN_MS)
  t.equal(opened._unsafeUnwrapErr().kind, 'unreachable')
})

t.test('a status row tells role, term and position', async (t) => {
  t.match(readWireStatus(databaseId('d'), ['replica 3 3.1209 0 12 2 17']), { role: 'replica', term: 3, position: { term: 3, offset: 1209 }, ageMs: 12 })
  t.equal(readWireStatus(databaseId('d'), []), null)
  t.equal(readWireStatus(databaseId('d'), ['leader 3 x']), null)
})
