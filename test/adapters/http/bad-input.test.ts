import t from 'tap'
import { listenForCallers } from '../../../src/adapters/http/caller-server.js'
import type { CallerRequest } from '../../../src/types/caller-request.js'
import { resultCodes } from '../../../src/types/result-code.js'

/** Sends invalid requests to the server for callers. Guards against input that reaches a database or gets an answer without a result code. */

const JSON_TYPE = { 'content-type': 'application/json' }
const statement = JSON.stringify({ statement: 'select 1' })

const served: CallerRequest[] = []
const server = await listenForCallers({
  host: '127.0.0.1',
  port: 0,
  tls: null,
  bodyBytes: 1024,
  headerCount: 64,
  headersMs: 5000,
  idleConnectionMs: 5000,
  announcementSecret: 'announcement secret',
  serve: async (request) => {
    served.push(request)
    return { outcome: { kind: 'success', rows: [], rowCount: 0, position: null, database: null, role: null, ageMs: null, transaction: null }, session: null }
  },
  encodeSession: () => null,
  announce: () => { throw new Error('no announcement of this test is valid') },
  logEvent: () => {}
})
t.teardown(async () => { await server.close() })

interface BadRequest {
  name: string
  method?: string
  path?: string
  headers?: Record<string, string>
  body?: string
  entry: { code: number, status: number }
}

const cases: BadRequest[] = [
  { name: 'malformed JSON', body: '{"statement":', entry: resultCodes.malformedRequest },
  { name: 'an unknown field', body: JSON.stringify({ statement: 'select 1', colour: 1 }), entry: resultCodes.malformedRequest },
  { name: 'a missing field', body: '{}', entry: resultCodes.malformedRequest },
  { name: 'a value of the wrong type', body: JSON.stringify({ statement: 'select 1', values: [{}] }), entry: resultCodes.malformedRequest },
  { name: 'a body above the limit', body: JSON.stringify({ statement: 'x'.repeat(2000) }), entry: resultCodes.bodyTooLarge },
  { name: 'a wrong method', method: 'PUT', entry: resultCodes.methodNotAllowed },
  { name: 'a wrong method of a path with parameters', method: 'DELETE', path: '/v1/routes/any', entry: resultCodes.methodNotAllowed },
  { name: 'an unknown path', path: '/v2/statements', entry: resultCodes.unknownPath },
  { name: 'a deadline that is not a number', headers: { 'catkinrelay-deadline-ms': 'soon' }, entry: resultCodes.headerInvalid },
  { name: 'a flag that is neither true nor false', headers: { 'catkinrelay-non-idempotent': 'yes' }, entry: resultCodes.headerInvalid },
  { name: 'an authorization that is not a bearer key', headers: { authorization: 'Basic abc' }, entry: resultCodes.headerInvalid },
  { name: 'an overlong idempotency key', headers: { 'catkinrelay-idempotency-key': 'k'.repeat(201) }, entry: resultCodes.headerInvalid },
  { name: 'an announcement without the secret', path: '/v1/announcements', body: '{}', entry: resultCodes.announcementRefused },
  { name: 'an announcement with a wrong body', path: '/v1/announcements', body: '{}', headers: { authorization: 'Bearer announcement secret' }, entry: resultCodes.malformedRequest }
]

for (const { name, method = 'POST', path = '/v1/statements', headers = {}, body = statement, entry } of cases) {
  t.test(`${name} is refused with a numbered code and reaches no database`, async (t) => {
    const response = await fetch(`http://127.0.0.1:${server.port}${path}`, { method, headers: { ...JSON_TYPE, ...headers }, body })
    t.equal(response.status, entry.status)
    t.match(await response.json(), { code: entry.code, outcome: 'not-run' })
    t.same(served, [])
  })
}
