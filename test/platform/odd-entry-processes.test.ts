// Guards against an odd entry of another writer that takes a running database out of use, or ends the processes that read it.
import t from 'tap'
import { openCaller } from '../../soak/caller.js'
import { ports } from '../../soak/fleet.js'
import { KEY, startProcessFleet } from './fixtures/process-fleet.js'

const ANSWER_TIMEOUT_MS = 100_000
const STATEMENTS_AFTER_EACH = 10
const PAUSE_MS = 100
const FAR_START = Number.MAX_SAFE_INTEGER

t.test('odd entries beside real processes leave the primary in use', async (t) => {
  const { entry, databases, fleet, post } = await startProcessFleet((callback) => { t.teardown(callback) }, { stopLimitSeconds: 2, statementTimeoutMs: 3000 })
  const primary = databases.get('i-p')
  const caller = await openCaller(entry.host, ports.callers, 'shop', KEY, ANSWER_TIMEOUT_MS)
  if (caller === null || primary === undefined) throw new Error('the session was refused')
  const claim = { service: 'g', address: primary.address, zone: 'domain-0', version: '1', slots: 20, state: 'ready', cold_remaining_ms: 0, db_role: 'replica', sequence: 1, born: FAR_START }
  let nested: object = {}
  for (let depth = 0; depth < 2000; depth++) nested = { nested }
  const odd: [string, object][] = [
    ['i-odd', { ...claim, service: 'nobody' }], ['i-odd', claim], ['i-p', { ...claim, state: 'draining' }], ['i-p', { ...claim, address: '127.0.0.1:1' }],
    ['i-port', { ...claim, address: '127.0.0.1:70000' }], ['i-deep', { ...claim, zone: nested }], ['i-deep', { ...claim, address: '127.0.0.1:2', nested }], ['i-large', { ...claim, sequence: 1e300 }]
  ]
  let count = 0
  const write = async (): Promise<string> => (await caller.query((++count).toString(16).padStart(16, '0'), 'WRITE item value')).outcome
  // Before the instance has a share of the rate, it refuses operations.
  while (await write() !== 'done') await new Promise((resolve) => { setTimeout(resolve, PAUSE_MS) })
  for (const [id, body] of odd) {
    await post(`/api/instances/${id}/heartbeat`, body)
    for (let statement = 0; statement < STATEMENTS_AFTER_EACH; statement++) {
      t.equal(await write(), 'done', `statement ${statement} after ${id}`)
      await new Promise((resolve) => { setTimeout(resolve, PAUSE_MS) })
    }
    const ran = primary.ran.length
    t.equal(await write(), 'done', id)
    t.equal(primary.ran.length, ran + 1, `the same primary runs statements after ${id}`)
  }
  t.same(fleet.listUnexpectedExits(), [])
})
