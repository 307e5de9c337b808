import t from 'tap'
import { readDeregistration, readHeartbeat } from '../../platform/registry-messages.js'

const body = { service: 'g', address: '10.0.0.9:8080', zone: 'z', version: 'v1', slots: 5, state: 'ready', cold_remaining_ms: 0, db_role: 'replica', sequence: 4, born: 1000 }

t.test('a heartbeat names group, address, role and run', async (t) => {
  t.match(readHeartbeat('i-1', body), { database: 'i-1', group: 'g', address: '10.0.0.9:8080', failureDomain: 'z', departing: false, run: { startedAt: 1000, sequence: 4, gone: false }, status: { role: 'replica' } })
  t.match(readHeartbeat('i-1', { ...body, state: 'draining' }), { departing: true })
})

const foreign: [string, unknown][] = [
  ['nothing', undefined], ['no service', { ...body, service: undefined }], ['another type', { ...body, sequence: '4' }], ['a state that is not named', { ...body, state: 'sleepy' }],
  ['no start of the run', { ...body, born: undefined }], ['an address without a port', { ...body, address: '10.0.0.9' }], ['an unknown role', { ...body, db_role: 'witness' }]
]
for (const [name, given] of foreign) {
  t.test(`names no database to use: ${name}`, async (t) => { t.equal(readHeartbeat('i-1', given), null) })
}

t.test('the end of an earlier run does not end the present one', async (t) => {
  const known = readHeartbeat('i-1', body) ?? undefined
  t.match(readDeregistration(undefined, known), { departing: true, run: { startedAt: 1000, gone: true } })
  t.match(readDeregistration({ born: 1000 }, known), { run: { gone: true } })
  t.equal(readDeregistration({ born: 900 }, known), null)
  t.equal(readDeregistration({}, undefined), null)
})
