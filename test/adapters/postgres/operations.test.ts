import t, { type Test } from 'tap'
import { createDatabaseConnectionOpener } from '../../../src/adapters/postgres/open-database-connection.js'
import { createDatabaseOrders } from '../../../src/adapters/postgres/database-orders.js'
import type { DatabaseConnection } from '../../../src/types/database-connection.js'
import type { DatabaseOperation, FailurePhase, OperationResult } from '../../../src/types/database-operation.js'
import type { ConnectionMode } from '../../../src/types/executor-message.js'
import { workspaceId } from '../../../src/types/ids.js'
import type { DatabaseStandIn } from '../../../stand-ins/database/database-stand-in.js'
import { waitUntilCaughtUp, longTimeoutOptions, startDatabases, waitUntil } from '../../stand-ins/database/fixture/start-group.js'

/**
 * Runs operations against stand-in databases and cuts, delays or silences their connections. Guards against a wrong failure phase:
 * a write that is wrongly reported as not committed is retried and doubled; one wrongly reported as committed is lost.
 */

const open = createDatabaseConnectionOpener(longTimeoutOptions)
const orders = createDatabaseOrders(longTimeoutOptions)

const workspace = workspaceId('w')
const INSERT_SQL = 'insert into kv (key, value) values ($1, $2)'
const ADD_SQL = 'update kv set value = value + $2 where key = $1'
const SELECT_SQL = 'select value from kv where key = $1'

const write: Extract<DatabaseOperation, { kind: 'write' }> = {
  kind: 'write', workspace, term: 1, statement: INSERT_SQL, values: ['k', '1'], idempotencyKey: null, requestDigest: 'digest'
}
const keyedWrite: typeof write = { ...write, idempotencyKey: 'key' }
const begin: DatabaseOperation = { kind: 'begin', workspace, term: 1, idempotencyKey: null, requestDigest: 'digest' }
const statement: DatabaseOperation = { kind: 'statement', statement: INSERT_SQL, values: ['k', '1'] }

async function connectTo (t: Test, database: DatabaseStandIn, mode: ConnectionMode = 'write'): Promise<DatabaseConnection> {
  const connection = (await open(database.address(), mode))._unsafeUnwrap()
  t.teardown(connection.close)
  return connection
}

t.test('a write returns its position, and a read on a replica sees the write', async (t) => {
  const [primary, replica] = await startDatabases(t)
  const connection = await connectTo(t, primary)
  t.match(connection.status, { role: 'primary', term: 1 })
  t.same(await connection.run(write), { kind: 'done', rows: [], rowCount: 1, position: primary.status().position, replayed: false })
  await waitUntilCaughtUp(replica, primary)
  const reader = await connectTo(t, replica, 'read')
  t.same(await reader.run({ kind: 'read', workspace, statement: SELECT_SQL, values: ['k'] }), { kind: 'done', rows: [{ value: '1' }], rowCount: 1, position: null, replayed: false })
})

t.test('values reach the database unchanged', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  for (const [value, expected] of [['a\'b;"c', 'a\'b;"c'], [1.5, '1.5'], [true, 'true'], ['ü€', 'ü€']] as const) {
    await connection.run({ ...write, statement: `${INSERT_SQL} on conflict (key) do update set value = excluded.value`, values: ['k', value] })
    t.equal(primary.value('w', 'k'), expected)
  }
})

t.test('a write takes two round trips and a read takes one', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  const roundTrips: [operation: DatabaseOperation, expected: number][] = [
    [keyedWrite, 2],
    [{ kind: 'read', workspace, statement: SELECT_SQL, values: ['k'] }, 1]
  ]
  for (const [operation, expected] of roundTrips) {
    const before = primary.counts().answers
    t.equal((await connection.run(operation)).kind, 'done')
    t.equal(primary.counts().answers - before, expected)
  }
})

const connectionLosses: { at: RegExp, when: 'before' | 'after', phase: FailurePhase, applied: boolean }[] = [
  { at: /set_config/, when: 'after', phase: 'before-commit', applied: false },
  { at: /^begin$/, when: 'before', phase: 'before-commit', applied: false },
  { at: /begin_request/, when: 'after', phase: 'before-commit', applied: false },
  { at: /^insert/, when: 'before', phase: 'before-commit', applied: false },
  { at: /^insert/, when: 'after', phase: 'before-commit', applied: false },
  { at: /finish_request/, when: 'before', phase: 'commit-sent', applied: false },
  { at: /finish_request/, when: 'after', phase: 'commit-sent', applied: false },
  { at: /^commit$/, when: 'before', phase: 'commit-sent', applied: false },
  { at: /^commit$/, when: 'after', phase: 'commit-sent', applied: true },
  { at: /\.status\(\)/, when: 'before', phase: 'commit-sent', applied: true }
]

for (const { at, when, phase, applied } of connectionLosses) {
  t.test(`the failure phase is correct when the connection is lost ${when} ${at.source}, since a wrong one doubles or loses a write`, async (t) => {
    const [primary] = await startDatabases(t, { size: 1 })
    const connection = await connectTo(t, primary)
    let ends = 0
    connection.onEnd(() => ends++)
    primary.faults.cutConnectionOn({ statement: at, when })
    t.match(await connection.run(keyedWrite), { kind: 'failed', phase, sqlState: null, connectionUsable: false })
    await waitUntil(() => primary.counts().openConnections === 0)
    t.equal(primary.value('w', 'k'), applied ? '1' : null)
    t.equal(ends, 1)
    // A retry with the same key takes effect once, whatever the outcome of the first attempt.
    t.match(await (await connectTo(t, primary)).run(keyedWrite), { kind: 'done', rowCount: 1, replayed: applied })
    t.equal(primary.history().length, 1)
  })
}

const transactionLosses: { operations: DatabaseOperation[], at: RegExp, phase: FailurePhase }[] = [
  { operations: [begin], at: /begin_request/, phase: 'before-commit' },
  { operations: [begin, statement], at: /^insert/, phase: 'before-commit' },
  { operations: [begin, statement, { kind: 'commit' }], at: /^commit$/, phase: 'commit-sent' },
  { operations: [begin, statement, { kind: 'rollback' }], at: /^rollback$/, phase: 'before-commit' }
]

async function runAll (connection: DatabaseConnection, operations: readonly DatabaseOperation[]): Promise<OperationResult> {
  let result: OperationResult = await connection.run(operations[0] as DatabaseOperation)
  for (const operation of operations.slice(1)) result = await connection.run(operation)
  return result
}

for (const { operations, at, phase } of transactionLosses) {
  t.test(`the failure phase is correct when an open transaction loses its connection at ${at.source}`, async (t) => {
    const [primary] = await startDatabases(t, { size: 1 })
    primary.faults.cutConnectionOn({ statement: at, when: 'before' })
    t.match(await runAll(await connectTo(t, primary), operations), { kind: 'failed', phase, connectionUsable: false })
    await waitUntil(() => primary.counts().openConnections === 0)
    t.equal(primary.value('w', 'k'), null)
  })
}

const refusals: { name: string, operations: DatabaseOperation[], sqlState: string }[] = [
  { name: 'an error of the statement', operations: [write, { ...write, values: ['k', '2'] }], sqlState: '23505' },
  { name: 'another term', operations: [{ ...write, term: 2 }], sqlState: 'CR001' },
  { name: 'an idempotency key used for another request', operations: [keyedWrite, { ...keyedWrite, requestDigest: 'other' }], sqlState: 'CR002' },
  { name: 'two statements in one text', operations: [{ ...write, statement: 'commit; begin', values: [] }], sqlState: '42601' },
  { name: 'a commit after a failed statement', operations: [begin, { kind: 'statement', statement: 'nonsense', values: [] }, { kind: 'commit' }], sqlState: '25P02' },
  { name: 'an invalid statement of a read', operations: [{ kind: 'read', workspace, statement: 'nonsense', values: [] }], sqlState: '42601' }
]

for (const { name, operations, sqlState } of refusals) {
  t.test(`an operation refused by the database leaves nothing and keeps the connection usable: ${name}`, async (t) => {
    const [primary] = await startDatabases(t, { size: 1 })
    const connection = await connectTo(t, primary)
    const before = operations.length - 1
    t.match(await runAll(connection, operations), { kind: 'failed', phase: 'refused', sqlState, connectionUsable: true })
    t.ok(primary.history().length <= before, 'the refused operation was not applied')
    t.match(await connection.run({ ...write, values: ['next', '1'] }), { kind: 'done', rowCount: 1 })
    t.equal(primary.value('w', 'next'), '1')
  })
}

t.test('a read connection refuses writes, so that a read can not change data on a primary', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary, 'read')
  t.match(await connection.run({ kind: 'read', workspace, statement: INSERT_SQL, values: ['k', '1'] }), { kind: 'failed', phase: 'refused', sqlState: '25006' })
  t.equal(primary.value('w', 'k'), null)
})

t.test('each operation runs for its own workspace, also after a rollback reverted the setting', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  const other = workspaceId('other')
  await connection.run(write)
  await connection.run({ ...write, workspace: other, statement: 'nonsense', values: [] })
  await connection.run({ ...write, workspace: other, values: ['k', '2'] })
  t.match(await connection.run({ kind: 'read', workspace, statement: SELECT_SQL, values: ['k'] }), { rows: [{ value: '1' }] })
  t.match(await connection.run({ kind: 'read', workspace: other, statement: SELECT_SQL, values: ['k'] }), { rows: [{ value: '2' }] })
})

t.test('a commit after a fence is refused, so that a former primary acknowledges nothing', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  await connection.run(begin)
  t.match(await connection.run(statement), { kind: 'done', rowCount: 1 })
  t.ok((await orders.fence(primary.address(), 2)).isOk())
  t.match(await connection.run({ kind: 'commit' }), { kind: 'failed', phase: 'refused', sqlState: 'CR001' })
  t.equal(primary.value('w', 'k'), null)
})

t.test('a transaction begun under an earlier term of the same primary is refused', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  await connection.run(begin)
  await connection.run(statement)
  await orders.fence(primary.address(), 2)
  t.ok((await orders.promote(primary.address(), 2)).isOk())
  t.match(await connection.run({ kind: 'commit' }), { kind: 'failed', phase: 'refused', sqlState: 'CR001' })
  t.equal(primary.value('w', 'k'), null)
})

t.test('an idempotent write is replayed and not doubled on a primary that was promoted later', async (t) => {
  const [first, second] = await startDatabases(t)
  const connection = await connectTo(t, first)
  await connection.run({ ...write, values: ['n', '1'] })
  const increment = { ...keyedWrite, statement: ADD_SQL, values: ['n', 1] }
  t.match(await connection.run(increment), { kind: 'done', rowCount: 1, replayed: false })
  await waitUntilCaughtUp(second, first)
  await orders.fence(second.address(), 2)
  await orders.promote(second.address(), 2)
  const again = await connectTo(t, second)
  t.same(await again.run({ ...increment, term: 2 }), { kind: 'done', rows: [], rowCount: 1, position: second.status().position, replayed: true })
  t.match(await again.run({ ...begin, term: 2, idempotencyKey: 'key' }), { kind: 'done', rowCount: 1, replayed: true })
  t.equal(second.value('w', 'n'), '2')
  t.match(await again.run({ ...write, term: 2 }), { kind: 'done', replayed: false })
})

t.test('two requests with the same idempotency key at the same time run once', async (t) => {
  const [primary] = await startDatabases(t, { size: 1, statementCostMs: 2 })
  const connections = await Promise.all([connectTo(t, primary), connectTo(t, primary)])
  const append = { ...keyedWrite, statement: 'insert into entries (key, value) values ($1, $2)' }
  const results = await Promise.all(connections.map(async (connection) => await connection.run(append)))
  t.same(results.map((result) => result.kind === 'done' && result.replayed).sort(), [false, true])
  t.same(primary.entries('w', 'k'), ['1'])
})

/** Delay of a late answer in milliseconds; longer than any test runs. */
const LATE_ANSWER_DELAY_MS = 600_000

const lateAnswers: { name: string, skip: number, phase: FailurePhase, applied: boolean }[] = [
  { name: 'of the statement', skip: 0, phase: 'before-commit', applied: false },
  { name: 'of the commit', skip: 1, phase: 'commit-sent', applied: true }
]

for (const { name, skip, phase, applied } of lateAnswers) {
  t.test(`a connection closed while the answer ${name} is late fails with the correct phase`, async (t) => {
    const [primary] = await startDatabases(t, { size: 1 })
    const connection = await connectTo(t, primary)
    primary.faults.delayAnswers(1, LATE_ANSWER_DELAY_MS, skip)
    const pending = connection.run(write)
    await waitUntil(() => primary.counts().answers > skip)
    connection.close()
    t.match(await pending, { kind: 'failed', phase, sqlState: null, connectionUsable: false })
    await waitUntil(() => primary.counts().openConnections === 0)
    t.equal(primary.value('w', 'k'), applied ? '1' : null)
  })
}

t.test('a delayed answer resolves its own operation', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  await connection.run(write)
  primary.faults.delayAnswers(1, 20)
  const [first, second] = await Promise.all(['k', 'none'].map(async (key) => await connection.run({ kind: 'read', workspace, statement: SELECT_SQL, values: [key] })))
  t.match(first, { rows: [{ value: '1' }] })
  t.match(second, { rows: [] })
})

t.test('closing a silent connection fails its operation with the correct phase, and a new connection works', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  primary.faults.silenceConnections()
  const pending = connection.run(write)
  connection.close()
  t.match(await pending, { kind: 'failed', phase: 'before-commit', connectionUsable: false })
  t.match(await (await connectTo(t, primary)).run(write), { kind: 'done' })
})

t.test('an idle connection ends once when its database stops, and runs no further operation', async (t) => {
  const [primary] = await startDatabases(t, { size: 1 })
  const connection = await connectTo(t, primary)
  let ends = 0
  connection.onEnd(() => ends++)
  await primary.stop()
  await waitUntil(() => ends > 0)
  t.match(await connection.run(write), { kind: 'failed', phase: 'before-commit', connectionUsable: false })
  t.equal(ends, 1)
})

t.test('a database that is unreachable or refuses the connection yields a failure, not an exception', async (t) => {
  const [primary] = await startDatabases(t, { size: 1, connections: 1 })
  await connectTo(t, primary)
  t.equal((await open(primary.address(), 'write'))._unsafeUnwrapErr().sqlState, '53300')
  await primary.stop()
  t.equal((await open(primary.address(), 'write'))._unsafeUnwrapErr().sqlState, null)
})
