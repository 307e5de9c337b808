import t from 'tap'
import { buildConfiguration, connectCaller, startDeployment } from './fixtures/deployment.js'

/**
 * Sends entries of another writer beside those of three running databases, over HTTP to a running deployment. Guards against an entry that
 * ends a process, takes a running database out of use, or reaches a database as a statement, also after a restart from the data folder.
 */

const LATEST_START = Number.MAX_SAFE_INTEGER

t.test('entries that claim the id or address of the primary leave it in use, also after a restart of control', { timeout: 60_000 }, async (t) => {
  const deployment = await startDeployment((callback) => { t.teardown(callback) })
  const { databases, promotions, send, sendUntilAccepted, announce } = deployment
  await sendUntilAccepted('/api/config/replace', buildConfiguration(7))
  for (const name of databases.keys()) await announce(name)
  const primary = databases.get('i-p')
  if (primary === undefined) throw new Error('no primary')
  const entry = { service: 'g', address: primary.address, zone: 'z', version: 'v', slots: 5, state: 'ready', cold_remaining_ms: 0, db_role: 'replica', sequence: 1, born: LATEST_START }

  async function writeAtPrimary (id: string): Promise<void> {
    const caller = await connectCaller(deployment.callerPort)
    let answer = ''
    while (!answer.startsWith('DONE')) answer = await caller.sendMessage(`QUERY ${id} WRITE item data`)
    caller.close()
    t.ok(primary?.ran.some((ran) => ran.id === id), `${id} ran at the primary`)
  }

  await writeAtPrimary('w1')
  t.equal((await send('/api/instances/i-odd/heartbeat', { ...entry, service: 'nobody' })).status, 200)
  t.equal((await send('/api/instances/i-odd/heartbeat', entry)).status, 503, 'an entry that is not recorded is not acknowledged')
  t.equal((await send('/api/instances/i-p/heartbeat', entry)).status, 503)
  t.equal((await send('/api/instances/i-p/heartbeat', { ...entry, address: '127.0.0.1:9', state: 'draining' })).status, 503)
  await send('/api/instances/i-p/heartbeat', { ...entry, service: 'nobody' })
  for (const name of databases.keys()) await announce(name)
  // A directory without the primary would reach the entry instance meanwhile.
  for (let write = 0; write < 20; write++) {
    await writeAtPrimary(`w2.${write}`)
    await announce('i-p')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
  }
  await deployment.restartControl()
  for (const name of databases.keys()) await announce(name)
  await writeAtPrimary('w3')
  t.same(promotions, [])
})

/** @returns JSON of lists in lists, which a recursive reader can't read */
const nest = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth)

t.test('entries with values that nothing can use end no process, change nothing and reach no database', { timeout: 60_000 }, async (t) => {
  const deployment = await startDeployment((callback) => { t.teardown(callback) })
  const { databases, send, sendUntilAccepted, announce } = deployment
  await sendUntilAccepted('/api/config/replace', buildConfiguration(7))
  // Only odd entries name the address of `i-s`.
  for (const name of ['i-p', 'i-r']) await announce(name)
  const primary = databases.get('i-p')
  const entry = { service: 'g', address: '127.0.0.1:9', zone: 'z', version: 'v', slots: 5, state: 'ready', cold_remaining_ms: 0, db_role: 'replica', sequence: 1, born: 5 }
  const toText = (field: string, json: string): string => JSON.stringify({ ...entry, [field]: 'X' }).replace('"X"', json)

  const bodies = [
    toText('service', nest(200_000)), toText('address', nest(200_000)), toText('born', nest(200_000)), toText('born', '1e400'), toText('born', '9007199254740993'), toText('born', '-1'), toText('sequence', '1e308'),
    toText('sequence', '-5'), toText('born', '1.5'), toText('address', '"127.0.0.1:70000"'), toText('address', '"127.0.0.1:0"'), toText('address', '"h\\u0000:9"'), toText('address', '"[::1]:9"'),
    toText('service', '"g w\\r\\nQUERY 1 WRITE smuggled x"'), toText('zone', '"z\\u0007"'), toText('zone', JSON.stringify('z'.repeat(100_000))), '{"service":"g"', '\u0000', 'null', '[]'
  ]
  for (const body of bodies) t.equal((await send('/api/instances/i-odd/heartbeat', body)).status, 400, body.slice(0, 120))
  t.equal((await send('/api/instances/i-odd/heartbeat', toText('extra', nest(200_000)))).status, 200, 'an unknown field is ignored')
  for (const id of ['i%0D%0AQUERY%201%20WRITE%20smuggled%20x', 'i%C4%8D%C4%8AQUERY%201%20WRITE%20smuggled%20x', 'i%20i', 'i%00', 'i'.repeat(5000)]) {
    t.equal((await send(`/api/instances/${id}/heartbeat`, { ...entry, address: databases.get('i-s')?.address })).status, 400, id.slice(0, 60))
  }
  for (const body of ['{"born":"x"}', '{"born":1.5}', '{"born":1', '"text"']) t.equal((await send('/api/instances/i-p/deregister', body)).status, 400, body)
  for (const id of ['__proto__', 'constructor']) t.equal((await send(`/api/instances/${id}/heartbeat`, { ...entry, address: `127.0.0.1:1${id.length}` })).status, 200)

  const caller = await connectCaller(deployment.callerPort)
  for (let write = 0; write < 20; write++) {
    await announce('i-p')
    let answer = ''
    while (!answer.startsWith('DONE')) answer = await caller.sendMessage(`QUERY w${write} WRITE item data`)
    await caller.sendMessage(`QUERY r${write} READ item`)
    await new Promise((resolve) => { setTimeout(resolve, 50) })
  }
  caller.close()
  t.equal(primary?.ran.filter(({ id }) => id.startsWith('w')).length, 20)
  t.same(databases.get('i-s')?.received, [])
  t.notMatch([...databases.values()].flatMap(({ received }) => received).join('\n'), /smuggled/)
})
