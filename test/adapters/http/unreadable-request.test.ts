import { connect } from 'node:net'
import t from 'tap'
import { listenForCallers } from '../../../src/adapters/http/caller-server.js'
import { resultCodes } from '../../../src/types/result-code.js'

/** Guards against callers that hold a connection with an incomplete request, and against requests that two HTTP parsers could read differently. */

let servedCount = 0
const server = await listenForCallers({
  host: '127.0.0.1',
  port: 0,
  tls: null,
  bodyBytes: 1024,
  headerCount: 64,
  headersMs: 300,
  idleConnectionMs: 5000,
  announcementSecret: 'announcement secret',
  serve: async () => {
    servedCount++
    return { outcome: { kind: 'success', rows: [], rowCount: 0, position: null, database: null, role: null, ageMs: null, transaction: null }, session: null }
  },
  encodeSession: () => null,
  announce: () => {},
  logEvent: () => {}
})
t.teardown(async () => { await server.close() })

/** Sends bytes and reads until the server ends the connection. */
async function send (text: string): Promise<string> {
  return await new Promise((resolve, reject) => {
    const socket = connect(server.port, '127.0.0.1')
    let answer = ''
    socket.on('data', (bytes) => { answer += bytes.toString() })
    socket.on('end', () => { resolve(answer) })
    socket.on('error', reject)
    socket.write(text)
  })
}

const REQUEST_HEAD = 'POST /v1/statements HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n'

t.test('an incomplete body is answered with a numbered code', async (t) => {
  const answer = await send(`${REQUEST_HEAD}content-length: 100\r\n\r\n{"statement":`)
  t.match(answer, /^HTTP\/1.1 408 /)
  t.match(answer, `"code":${resultCodes.requestIncomplete.code}`)
})

t.test('a request with both a length and chunks is refused with a numbered code', async (t) => {
  const answer = await send(`${REQUEST_HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`)
  t.match(answer, /^HTTP\/1.1 400 /)
  t.match(answer, `"code":${resultCodes.malformedRequest.code}`)
})

t.test('100 KB of headers are refused with a numbered code', async (t) => {
  const answer = await send(`${REQUEST_HEAD}x-long: ${'x'.repeat(100_000)}\r\n\r\n`)
  t.match(answer, /^HTTP\/1.1 431 /)
  t.match(answer, `"code":${resultCodes.headersTooLarge.code}`)
})

t.test('none of these requests was served', async (t) => { t.equal(servedCount, 0) })
