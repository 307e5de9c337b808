// Guards against a control cluster that lacks the address or the current role of a database. This happens when the stand-in keeps
// sending to an instance that refuses announcements, or does not announce a change.
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import t, { type Test } from 'tap'
import { createDatabaseOrders } from '../../../src/adapters/postgres/database-orders.js'
import type { Announcement } from '../../../src/types/database-status.js'
import { address, type Address } from '../../../src/types/ids.js'
import { longTimeoutOptions, startDatabases, waitUntil } from './fixture/start-group.js'

const orders = createDatabaseOrders(longTimeoutOptions)

interface Received {
  path: string
  authorization: string
  announcement: Announcement
}

/** Starts an HTTP server that records every announcement and answers it with `statusCode`. */
async function startInstance (t: Test, statusCode: number): Promise<{ instance: Address, received: Received[] }> {
  const received: Received[] = []
  const server: Server = createServer((request, response) => {
    let body = ''
    request.on('data', (part: Buffer) => { body += part.toString() })
    request.on('end', () => {
      received.push({ path: `${request.method} ${request.url}`, authorization: request.headers.authorization ?? '', announcement: JSON.parse(body) as Announcement })
      response.writeHead(statusCode).end()
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return { instance: address(`127.0.0.1:${(server.address() as AddressInfo).port}`), received }
}

t.test('an announcement carries the secret, and the stand-in sends it to the next instance when one refuses it', async (t) => {
  const refusing = await startInstance(t, 503)
  const accepting = await startInstance(t, 204)
  const [primary] = await startDatabases(t, { size: 1, announcements: { instances: [refusing.instance, accepting.instance], secret: 'announce' } })
  await waitUntil(() => accepting.received.length > 0)
  t.equal(refusing.received.length, 1)
  t.match(accepting.received[0], {
    path: 'POST /v1/announcements',
    authorization: 'Bearer announce',
    announcement: { database: 'g-1', group: 'g', address: primary.address(), failureDomain: 'domain-1', departing: false, status: primary.status() }
  })
})

t.test('a stand-in announces changes of role and of departing, but sends no announcement while it is partitioned', async (t) => {
  const { instance, received } = await startInstance(t, 204)
  const [first, second] = await startDatabases(t, { size: 2, announcements: { instances: [instance], secret: 'announce' } })
  const findLastAnnouncement = (database: string): Announcement | undefined => received.findLast(({ announcement }) => announcement.database === database)?.announcement
  await orders.fence(second.address(), 2)
  await orders.promote(second.address(), 2)
  await waitUntil(() => findLastAnnouncement('g-2')?.status.role === 'primary')
  second.faults.partition('clients')
  second.setDeparting(true)
  first.setDeparting(true)
  await waitUntil(() => findLastAnnouncement('g-1')?.departing === true)
  t.equal(findLastAnnouncement('g-2')?.departing, false)
  second.faults.heal()
  await waitUntil(() => findLastAnnouncement('g-2')?.departing === true)
})
