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
