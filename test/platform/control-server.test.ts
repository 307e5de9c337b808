import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { ok } from 'neverthrow'
import t from 'tap'
import type { ControlServerOptions } from '../../platform/control-server.js'
import { listenForDatabasesAndOperators } from '../../platform/control-server.js'
import type { Announcement } from '../../src/types/database-status.js'
import type { LogEventName } from '../../src/types/log-event.js'

/**
 * Sends calls of databases and operators over sockets. Guards against names that would change the messages in which they are sent on, and
 * against names that change between a call and what the system knows.
 */

const HOST = '127.0.0.1'
const registration = { service: 'g', address: `${HOST}:9`, zone: 'z', version: 'v', slots: 5, state: 'ready', cold_remaining_ms: 0, db_role: 'replica', sequence: 1, born: 1 }

async function startServer (teardown: (callback: () => unknown) => void) {
  const announced: Announcement[] = []
  const logged: LogEventName[] = []
  const failureDomains: string[] = []
  const versions: number[] = []
  const options = {
    host: HOST,
    port: 0,
    core: {
      coordinator: {
        announcements: {
          announce: async (announcement: Announcement) => {
            announced.push(announcement)
            return ok('recorded')
          },
          recorded: () => undefined
        }
      }
    },
    configuration: {
      adopt: async (version: number) => {
        versions.push(version)
        return ok({ resent: false })
      },
      setFailureDomain: async (failureDomain: string) => {
        failureDomains.push(failureDomain)
        return ok(undefined)
      },
      read: async () => ok(null)
    },
    logEvent: (name: LogEventName) => { logged.push(name) }
  } as unknown as ControlServerOptions
  const server = await listenForDatabasesAndOperators(options)
  teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const { port } = server.address() as AddressInfo

  /** Sends a POST request whose path and body are given byte by byte. @returns the status */
  async function post (path: string | Buffer, body: string | Buffer = ''): Promise<number> {
    const bytes = Buffer.from(body)
    return await new Promise((resolve, reject) => {
      const socket = connect({ host: HOST, port })
      let answer = ''
      socket.on('data', (data) => { answer += data.toString('latin1') })
      socket.on('error', reject)
      socket.on('close', () => { resolve(Number(answer.split(' ')[1])) })
      socket.write(Buffer.concat([Buffer.from('POST '), Buffer.from(path), Buffer.from(` HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: ${bytes.length}\r\n\r\n`), bytes]))
    })
  }

  return { post, announced, logged, failureDomains, versions }
}

t.test('a database whose id or service can not be a field of a message is not registered', async (t) => {
  const { post, announced, logged } = await startServer(t.teardown)
  for (const id of ['i-x%0D%0AQUERY%20x%20WRITE%20y%200', 'i%20x', 'i-x%0A', 'i-x%00']) t.equal(await post(`/api/instances/${id}/heartbeat`, JSON.stringify(registration)), 400)
  for (const service of ['g h', 'g\r\nQUERY x WRITE y 0', '\ud800']) t.equal(await post('/api/instances/i-x/heartbeat', JSON.stringify({ ...registration, service })), 400)
  t.same(announced, [])
  t.same(logged, Array(7).fill('announcementUnreadable'))
  t.equal(await post('/api/instances/constructor/heartbeat', JSON.stringify({ ...registration, service: '__proto__' })), 200)
  t.match(announced, [{ database: 'constructor', group: '__proto__' }])
})

t.test('a name in a path is the same whether its UTF-8 bytes are escaped or not', async (t) => {
  const { post, failureDomains } = await startServer(t.teardown)
  for (const path of ['/api/evacuations/ph%E1%BB%91-1/start', Buffer.from('/api/evacuations/phố-1/start')]) t.equal(await post(path), 200)
  t.same(failureDomains, ['phố-1', 'phố-1'])
})

t.test('a body that is not UTF-8 is refused, since different names would be read as the same', async (t) => {
  const { post, announced, versions } = await startServer(t.teardown)
  const configuration = { version: 7, routes: [], services: [{ name: 'g' }], tenants: [{ name: 'NAME', api_keys: ['k'], rate_per_s: 1, burst: 1 }] }
  t.equal(await post('/api/config/replace', Buffer.from(JSON.stringify(configuration).replace('NAME', '\xe9'), 'latin1')), 400)
  t.equal(await post('/api/instances/i-x/heartbeat', Buffer.from(JSON.stringify({ ...registration, zone: '\xe9' }), 'latin1')), 400)
  t.same([announced, versions], [[], []])
  t.equal(await post('/api/config/replace', JSON.stringify(configuration).replace('NAME', 'é')), 200)
  t.same(versions, [7])
})
