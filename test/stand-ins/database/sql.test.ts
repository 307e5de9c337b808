// Guards against a stand-in that behaves unlike PostgreSQL towards clients. This happens when it gives another error code, shows
// uncommitted data, loses an update, mixes the data of two workspaces or exceeds its slots and connections.
import { connect } from 'node:net'
import pg from 'pg'
import t from 'tap'
import { splitAddress } from '../../../src/adapters/postgres/postgres-client.js'
import { connectClient, credentials, startDatabases, waitUntil } from './fixture/start-group.js'

const insert = 'insert into kv (key, value) values ($1, $2)'
const append = 'insert into entries (key, value) values ($1, $2)'
const select = 'select value from kv where key = $1'

t.test('statements read and write only the data of their workspace', async (t) => {
  const [primary] = await startDatabases(t)
  const client = await connectClient(t, primary)
  await client.query(insert, ['k', '1'])
  t.equal((await client.query('update kv set value = value + $2 where key = $1', ['k', 2.5])).rowCount, 1)
  t.same((await client.query(select, ['k'])).rows, [{ value: '3.5' }])
  await client.query(append, ['list', 'a'])
  await client.query("insert into entries (key, value) values ('list', 'b')")
  t.same((await client.query('select value from entries where key = $1 order by position', ['list'])).rows, [{ value: 'a' }, { value: 'b' }])
  t.same((await client.query('select count(*) from entries where key = $1', ['list'])).rows, [{ count: '2' }])
  await client.query("set catkinrelay.workspace = 'other'")
  t.same((await client.query(select, ['k'])).rows, [])
  await client.query("set catkinrelay.workspace = 'w'")
  t.equal((await client.query('delete from kv where key = $1', ['k'])).rowCount, 1)
  t.equal(primary.value('w', 'k'), null)
})

const errors: { name: string, sql: string, values?: unknown[], sqlState: string, workspace?: string | null, replica?: boolean }[] = [
  { name: 'a duplicate key', sql: insert, values: ['taken', '1'], sqlState: '23505' },
  { name: 'an unknown statement', sql: 'truncate kv', sqlState: '42601' },
  { name: 'two statements in the extended protocol', sql: 'begin; delete from kv where key = $1', values: ['taken'], sqlState: '42601' },
  { name: 'a sum with text', sql: 'update kv set value = value + $2 where key = $1', values: ['taken', 'x'], sqlState: '22P02' },
  { name: 'no workspace', sql: select, values: ['k'], sqlState: '42501', workspace: null },
  { name: 'a write on a replica', sql: insert, values: ['k', '1'], sqlState: '25006', replica: true },
  { name: 'a write in a read-only transaction', sql: "begin read only; insert into kv (key, value) values ('k', '1')", sqlState: '25006' },
  { name: 'a write with default_transaction_read_only', sql: "set default_transaction_read_only = on; insert into kv (key, value) values ('k', '1')", sqlState: '25006' }
]

for (const { name, sql, values, sqlState, workspace, replica } of errors) {
  t.test(`the error code is that of PostgreSQL, so that callers get the same code: ${name}`, async (t) => {
    const [primary, second] = await startDatabases(t, { size: 2 })
    await (await connectClient(t, primary)).query(insert, ['taken', '1'])
    const client = await connectClient(t, replica === true ? second : primary, workspace === undefined ? 'w' : workspace)
    await t.rejects(values === undefined ? client.query(sql) : client.query(sql, values), { code: sqlState })
    await client.query('rollback')
    t.equal(primary.value('w', 'k'), null)
  })
}

t.test('other connections see no changes of a transaction before its commit, and an error in it leaves no changes', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const writer = await connectClient(t, primary)
  const reader = await connectClient(t, primary)
  await writer.query('begin')
  await writer.query(insert, ['a', '1'])
  await writer.query(append, ['a', '1'])
  t.same((await writer.query(select, ['a'])).rows, [{ value: '1' }])
  t.same((await reader.query(select, ['a'])).rows, [])
  await t.rejects(writer.query(insert, ['a', '2']), { code: '23505' })
  await t.rejects(writer.query(select, ['a']), { code: '25P02' })
  t.equal((await writer.query('commit')).command, 'ROLLBACK')
  t.equal(primary.value('w', 'a'), null)
  t.same(primary.entries('w', 'a'), [])
  t.same(primary.history(), [])
})

t.test('a transaction waits for an earlier one that changed the same key, so that no update is lost', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const clients = await Promise.all([connectClient(t, primary), connectClient(t, primary), connectClient(t, primary)])
  await clients[0]?.query(insert, ['n', '0'])
  await Promise.all(clients.map(async (client) => {
    await client.query('begin')
    await client.query('update kv set value = value + $2 where key = $1', ['n', 1])
    await client.query('commit')
  }))
  t.equal(primary.value('w', 'n'), '3')
})

t.test('a wait for a lock ends with an error when it expires, and the end of a connection releases its locks', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const first = await connectClient(t, primary)
  const second = await connectClient(t, primary)
  await first.query('begin')
  await first.query(insert, ['k', '1'])
  await t.rejects(second.query(insert, ['k', '2']), { code: '55P03' })
  await first.end()
  await second.query(insert, ['k', '2'])
  t.equal(primary.value('w', 'k'), '2')
})

t.test('statements above the number of slots wait, and the counts contain the highest number of statements', async (t) => {
  const [primary] = await startDatabases(t, { size: 1, slots: 2, statementCostMs: 5 })
  const clients = await Promise.all(Array.from({ length: 4 }, async () => await connectClient(t, primary)))
  await Promise.all(clients.map(async (client) => await client.query(select, ['k'])))
  const { slots } = primary.counts()
  t.match(slots, { running: 0, waiting: 0, highestRunning: 2 })
  t.ok(slots.highestTotal > 2, 'a statement waited')
})

t.test('a stand-in refuses connections above its limit until an open one ends', async (t) => {
  const [primary] = await startDatabases(t, { size: 1, connections: 1 })
  const first = await connectClient(t, primary)
  await t.rejects(connectClient(t, primary), { code: '53300' })
  await first.end()
  await waitUntil(() => primary.counts().openConnections === 0)
  await connectClient(t, primary)
  t.equal(primary.counts().highestConnections, 1)
})

t.test('a stand-in refuses a wrong password', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const client = new pg.Client({ ...splitAddress(primary.address()), ...credentials, password: 'wrong' })
  await t.rejects(client.connect(), { code: '28P01' })
})

t.test('a stand-in answers a request for TLS with N, so that the client can continue without TLS', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const socket = connect(splitAddress(primary.address()))
  t.teardown(() => socket.destroy())
  socket.write(Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]))
  const answer = await new Promise<Buffer>((resolve) => socket.once('data', resolve))
  t.equal(answer.toString(), 'N')
})

t.test('the history contains each applied write once, with the log entry of its transaction', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const client = await connectClient(t, primary)
  await client.query('begin')
  await client.query(insert, ['a', '1'])
  await client.query(insert, ['b', '2'])
  await client.query('commit')
  const { term, offset } = primary.status().position
  t.same(primary.history().map((write) => [write.workspace, write.values, write.term, write.offset]), [['w', ['a', '1'], term, offset], ['w', ['b', '2'], term, offset]])
})
