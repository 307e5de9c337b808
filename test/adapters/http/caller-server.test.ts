import { connect } from 'node:net'
import t, { type Test } from 'tap'
import { listenForCallers, type CallerServer } from '../../../src/adapters/http/caller-server.js'
import type { CallerAnswer } from '../../../src/types/caller-request.js'
import { entrySettingsSchema } from '../../../src/settings/entry-settings.js'
import { blockEventLoop } from '../../support/block-event-loop.js'

const { limits } = entrySettingsSchema.parse({
  instance: 'a',
  failureDomain: 'd',
  callers: { port: 0 },
  operators: { port: 0 },
  peers: { port: 0 },
  control: ['127.0.0.1:1'],
  clusterSecret: 'cluster secret of the test',
  announcementSecret: 'announcement secret of the test',
  database: { user: 'u', password: 'p', databaseName: 'd' }
})
const success: CallerAnswer = { outcome: { kind: 'success', rows: [], rowCount: 0, position: null, database: null, role: null, ageMs: null, transaction: null }, session: null }

interface Fixture {
  server: CallerServer
  arrived: Promise<void>
  release: () => void
  request: () => Promise<Response>
}

async function startServer (): Promise<Fixture> {
  let release = (): void => {}
  let arrive = (): void => {}
  const released = new Promise<void>((resolve) => { release = resolve })
  const arrived = new Promise<void>((resolve) => { arrive = resolve })
  const server = await listenForCallers({
    host: '127.0.0.1',
    port: 0,
    tls: null,
    ...limits,
    announcementSecret: 's',
    serve: async () => {
      arrive()
      await released
      return success
    },
    encodeSession: () => null,
    announce: () => {},
    logEvent: () => {}
  })
  return {
    server,
    arrived,
    release,
    request: async () => await fetch(`http://127.0.0.1:${server.port}/v1/statements`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ statement: 'select 1' }) })
  }
}

// Regression: a kept-alive connection delayed a drain until the drain's limit of 10 s.
t.test('a request in flight during the close is answered and its connection ends', async (t: Test) => {
  const { server, arrived, release, request } = await startServer()
  const answer = request()
  await arrived
  const closed = server.close()
  release()
  const { status, headers } = await answer
  t.equal(status, 200)
  t.equal(headers.get('connection'), 'close')
  await closed
})

// Regression: callers of a killed instance waited forever on connections that stayed open.
t.test('an abort ends the connections of requests in flight', async (t: Test) => {
  const { server, arrived, release, request } = await startServer()
  const answer = request()
  const ended = t.rejects(answer)
  await arrived
  await server.abort()
  await ended
  release()
})

t.test('a request that has arrived and was not read when the server closes is answered', async (t: Test) => {
  const { server, release } = await startServer()
  release()
  const socket = connect(server.port, '127.0.0.1')
  let text = ''
  const ended = new Promise<void>((resolve) => { socket.on('close', () => { resolve() }) })
  const body = JSON.stringify({ statement: 'select 1' })
  const message = `POST /v1/statements HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  await new Promise<void>((resolve) => {
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1')
      resolve()
    })
    socket.write(message)
  })
  socket.write(message)
  blockEventLoop(50)
  await server.close()
  await ended
  t.equal(text.match(/HTTP\/1\.1 200/g)?.length, 2)
})
