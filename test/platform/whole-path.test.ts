import { createServer } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { listenForWireCallers } from '../../platform/caller-wire.js'
import { listenForDatabasesAndOperators } from '../../platform/control-server.js'
import { openWireSession, readWireStatus } from '../../platform/database-wire.js'
import { createPromotionOrders } from '../../platform/promotion-orders.js'
import { monotonicClock } from '../../src/adapters/timers/monotonic-clock.js'
import { createConfigurationService } from '../../src/control/configuration-service.js'
import { startControlCore } from '../../src/control/control-core.js'
import { createPromotionController } from '../../src/decisions/promotion/promotion-controller.js'
import { startSessionInstance } from '../../src/entry/session-instance.js'
import { address, failureDomainId, instanceId } from '../../src/types/ids.js'
import type { WireDatabase } from '../../stand-ins/platform/wire-database.js'
import { startWireDatabase } from '../../stand-ins/platform/wire-database.js'

/**
 * Sends configurations, announcements and statements through real sockets from the caller to the databases. Guards against parts that work
 * alone but not together, most of all during a switchover and after the withdrawal of a key.
 */

const SECRET = 'a secret of the test instances'
const KEY = 'the-key-of-the-caller'
const LEASE_MS = 2000
const HOST = '127.0.0.1'

async function freePort (): Promise<number> {
  const server = createTcpServer()
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  const listening = server.address()
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  return typeof listening === 'object' && listening !== null ? listening.port : 0
}

const buildConfiguration = (version: number, changes: object = {}): object => ({
  version,
  routes: [
    { name: 'r', database: 'shop', path_prefix: '/', route_type: 'read_own_writes', timeout_ms: 3000, target_latency_ms: 400, priority: 1, service: 'g', max_staleness_ms: 2000, public: false }
  ],
  services: [{ name: 'g', max_connections: 30, sync_replicas: 0 }],
  limits: { tx_idle_ms: 3000 },
  tenants: [{ name: 'w', api_keys: [KEY], rate_per_s: 500, burst: 200 }],
  ...changes
})

/** Starts one control instance, one entry instance, three databases and the authority in one process, connected as on the platform. */
async function startDeployment (teardown: (callback: () => unknown) => void) {
  const folder = await mkdtemp(join(tmpdir(), 'catkinrelay-path-'))
  const [internalPort, controlPort, callerPort, authorityPort, peerPort] = [await freePort(), await freePort(), await freePort(), await freePort(), await freePort()]
  const databases = new Map<string, WireDatabase>()
  for (const name of ['i-p', 'i-r', 'i-s']) databases.set(name, await startWireDatabase('g', name, name === 'i-p' ? 'primary' : 'replica'))
  const promotions: { id: string, token: string | undefined }[] = []

  const authority = createServer((request, response) => {
    let body = ''
    request.on('data', (piece) => { body += String(piece) })
    request.on('end', () => {
      const { id } = JSON.parse(body) as { id: string }
      promotions.push({ id, token: request.headers['fencing-token'] as string | undefined })
      const term = Math.max(...[...databases.values()].map((database) => database.term)) + 1
      for (const [name, database] of databases) Object.assign(database, { role: name === id ? 'primary' : 'replica', term })
      response.writeHead(200).end()
    })
  })
  await new Promise<void>((resolve) => { authority.listen(authorityPort, HOST, resolve) })

  const seed = address(`${HOST}:${internalPort}`)
  const core = await startControlCore({
    instance: instanceId('core-1'),
    listen: { host: HOST, port: internalPort },
    ownAddress: seed,
    members: [seed],
    dataFolder: join(folder, 'data'),
    clusterSecret: SECRET,
    tls: null,
    clock: monotonicClock,
    random: Math.random,
    logEvent: () => {},
    timeOfDay: () => new Date(),
    onFailure: () => {},
    coordination: {
      orders: createPromotionOrders({ instance: instanceId('core-1'), authority: `${HOST}:${authorityPort}`, open: openWireSession, readStatus: readWireStatus }),
      createFailoverController: ({ blackboard, clock }) => createPromotionController({ blackboard, clock, times: { leaseEndMs: LEASE_MS * 1.01, announcementMs: 1000 } }),
      holders: 'every-instance',
      instanceLostMs: LEASE_MS * 1.01,
      recordInstances: true,
      publishMembers: true,
      maxConfirmationAgeMs: 300
    },
    log: { consensus: { openMembership: true, targetVoters: 1 } }
  })
  const service = createConfigurationService({ log: core.log, clock: monotonicClock, requiredVoters: 1, formationTimeoutMs: 0, logEvent: () => {} })
  const control = await listenForDatabasesAndOperators({ host: HOST, port: controlPort, core, configuration: service, logEvent: () => {} })
  const instance = await startSessionInstance({
    instance: instanceId('entry-1'),
    failureDomain: failureDomainId('z'),
    peers: { host: HOST, port: peerPort },
    seeds: () => [seed],
    clusterSecret: SECRET,
    clock: monotonicClock,
    open: openWireSession,
    logEvent: () => {},
    leaseMs: LEASE_MS
  })
  const callers = await listenForWireCallers(HOST, callerPort, instance)

  async function send (path: string, body?: unknown, method = 'POST'): Promise<{ status: number, text: string }> {
    const init = body === undefined ? { method } : { method, body: typeof body === 'string' ? body : JSON.stringify(body), headers: { 'content-type': 'application/json' } }
    const response = await fetch(`http://${HOST}:${controlPort}${path}`, { ...init, redirect: 'manual' })
    return { status: response.status, text: await response.text() }
  }

  /** Repeats a call until control answers 200, as databases and operators do. */
  async function sendUntilAccepted (path: string, body?: unknown): Promise<void> {
    while ((await send(path, body)).status !== 200) await new Promise((resolve) => { setTimeout(resolve, 20) })
  }

  let sequence = 0
  async function announce (name: string, state = 'ready'): Promise<void> {
    const database = databases.get(name) as WireDatabase
    await sendUntilAccepted(`/api/instances/${name}/heartbeat`, { service: 'g', address: database.address, zone: 'z', version: 'v', slots: 5, state, cold_remaining_ms: 0, db_role: database.role, sequence: ++sequence, born: 1 })
  }

  teardown(async () => {
    callers.close()
    instance.stop()
    await core.stop()
    await Promise.all([...databases.values()].map(async (database) => { await database.close() }))
    for (const server of [authority, control]) {
      server.closeAllConnections()
      server.close()
    }
    await rm(folder, { recursive: true, force: true })
  })
  return { databases, promotions, send, sendUntilAccepted, announce, callerPort, instance }
}

/** Connects a caller that sends one message at a time and waits for its answer. */
async function connectCaller (port: number, key = KEY) {
  const socket = connect({ port, host: HOST })
  let text = ''
  let check = (): void => {}
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1')
    check()
  })
  socket.on('error', () => {})
  socket.on('close', () => { check() })

  async function sendMessage (message: string): Promise<string> {
    text = ''
    socket.write(message + '\r\n')
    return await new Promise((resolve) => {
      check = () => { if (/READY [ITE] \S+\r\n$/.test(text) || socket.closed || socket.destroyed) resolve(text) }
    })
  }

  const greeting = await sendMessage(`START shop ${key}`)
  return { greeting, sendMessage, close: () => { socket.destroy() } }
}

t.test('the whole path: configuration, announcements, a write, a read, a switchover and the withdrawal of a key', async (t) => {
  const deployment = await startDeployment((callback) => { t.teardown(callback) })
  const { databases, promotions, send, sendUntilAccepted, announce } = deployment
  await sendUntilAccepted('/api/config/replace', buildConfiguration(7))
  for (const name of databases.keys()) await announce(name)

  t.equal((await send('/api/config/replace', buildConfiguration(8, { services: [] }))).status, 400, 'a route of an unknown service')
  t.equal((await send('/api/config/replace', JSON.stringify(buildConfiguration(8)).slice(0, -10))).status, 400, 'a truncated document')
  t.equal((await send('/api/config/replace', buildConfiguration(7, { routes: [] }))).status, 200, 'another document with the current version changes nothing')
  t.same(JSON.parse((await send('/api/config/describe', undefined, 'GET')).text), buildConfiguration(7))
  t.equal((await send('/api/instances/x/heartbeat', { service: 'g' })).status, 400)

  const caller = await connectCaller(deployment.callerPort)
  t.match(caller.greeting, /^READY I/)
  let answer = ''
  while (!answer.startsWith('DONE')) answer = await caller.sendMessage('QUERY w1 WRITE item data')
  t.match(answer, /^DONE proof\.w1\r\nREADY I 3\.101\r\n$/)
  t.match(await caller.sendMessage('QUERY r1 READ item'), /^ROW item=v\r\nDONE proof\.r1\r\n/)
  t.match(await caller.sendMessage('QUERY b BEGIN'), /^DONE -\r\nREADY T/)
  t.match(await caller.sendMessage('QUERY w2 WRITE item data'), /^DONE proof\.w2/)
  t.match(await caller.sendMessage('QUERY c COMMIT'), /^DONE proof\.c\r\nREADY I 3\.102/)

  for (const database of databases.values()) database.offset = 102
  await announce('i-p', 'draining')
  while (promotions.length === 0) await new Promise((resolve) => { setTimeout(resolve, 20) })
  const [promotion] = promotions
  t.not(promotion?.id, 'i-p')
  t.ok(Number(promotion?.token) >= 2)
  await announce(promotion?.id as string)
  answer = ''
  while (!answer.startsWith('DONE')) answer = await caller.sendMessage('QUERY w3 WRITE item data')
  t.ok(databases.get(promotion?.id as string)?.ran.some(({ id }) => id === 'w3'))

  await sendUntilAccepted('/api/config/replace', buildConfiguration(9, { tenants: [] }))
  answer = 'DONE'
  while (answer.startsWith('DONE')) answer = await caller.sendMessage('QUERY r2 READ item')
  t.match(answer, /^ERROR NOAUTH/, 'a withdrawn key stops working on an open connection')
  t.match((await connectCaller(deployment.callerPort)).greeting, /^ERROR NOAUTH/)
  const receivedText = [...databases.values()].flatMap(({ received }) => received).join('\n')
  t.notMatch(receivedText, new RegExp(KEY), 'no database receives a key')
  caller.close()
})
