import { connect } from 'node:net'
import pg from 'pg'
import t from 'tap'
import { splitAddress } from '../../../src/adapters/postgres/postgres-client.js'
import { connectClient, credentials, startDatabases, until } from './fixture/start-group.js'

const insert = 'insert into kv (key, value) values ($1, $2)'
const append = 'insert into entries (key, value) values ($1, $2)'
const select = 'select value from kv where key = $1'

t.test('statements keep their data apart by workspace', async (t) => {
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
  t.test(`the error a real database would give, so that callers see the same code: ${name}`, async (t) => {
    const [primary, second] = await startDatabases(t, { size: 2 })
    await (await connectClient(t, primary)).query(insert, ['taken', '1'])
    const client = await connectClient(t, replica === true ? second : primary, workspace === undefined ? 'w' : workspace)
    await t.rejects(values === undefined ? client.query(sql) : client.query(sql, values), { code: sqlState })
    await client.query('rollback')
    t.equal(primary.value('w', 'k'), null)
  })
}

t.test('a transaction is invisible before its commit and leaves nothing after a rollback or an error', async (t) => {
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

t.test('a conflicting transaction waits for the first one, so that no update is lost', async (t) => {
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

t.test('a lock that is not released in time is an error, and the end of its connection releases it', async (t) => {
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

t.test('more statements than slots wait, and the highest number is counted', async (t) => {
  const [primary] = await startDatabases(t, { size: 1, slots: 2, statementCostMs: 5 })
  const clients = await Promise.all(Array.from({ length: 4 }, async () => await connectClient(t, primary)))
  await Promise.all(clients.map(async (client) => await client.query(select, ['k'])))
  const { slots } = primary.counts()
  t.match(slots, { running: 0, waiting: 0, highestRunning: 2 })
  t.ok(slots.highestTotal > 2, 'a statement waited')
})

t.test('connections above the limit are refused until one ends', async (t) => {
  const [primary] = await startDatabases(t, { size: 1, connections: 1 })
  const first = await connectClient(t, primary)
  await t.rejects(connectClient(t, primary), { code: '53300' })
  await first.end()
  await until(() => primary.counts().openConnections === 0)
  await connectClient(t, primary)
  t.equal(primary.counts().highestConnections, 1)
})

t.test('a wrong password is refused', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const client = new pg.Client({ ...splitAddress(primary.address()), ...credentials, password: 'wrong' })
  await t.rejects(client.connect(), { code: '28P01' })
})

t.test('a request for TLS is answered with N and the startup may go on', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const socket = connect(splitAddress(primary.address()))
  t.teardown(() => socket.destroy())
  socket.write(Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]))
  const answer = await new Promise<Buffer>((resolve) => socket.once('data', resolve))
  t.equal(answer.toString(), 'N')
})

t.test('the history names each applied write once, with the entry of its transaction', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const client = await connectClient(t, primary)
  await client.query('begin')
  await client.query(insert, ['a', '1'])
  await client.query(insert, ['b', '2'])
  await client.query('commit')
  const { term, offset } = primary.status().position
  t.same(primary.history().map((write) => [write.workspace, write.values, write.term, write.offset]), [['w', ['a', '1'], term, offset], ['w', ['b', '2'], term, offset]])
})
