// A route moves to another service and back while a session uses it. See claim.txt.
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { newId, openSession, resultOf } from '../lib-2/callers.mjs'
import { startAuthority, startService } from '../lib-2/databases.mjs'
import { CaseError, callControl, createFleet, pause, reserveNetwork, waitUntilReady } from '../lib-2/fleet.mjs'
import { createRecord } from '../lib-2/record.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const ZONES = ['moat-n', 'moat-s', 'river-w']
const SESSIONS = 6
const ROUNDS = 4
/** Replicas apply commits this much later: 60 ms x 30; the site kp-hosted has `replica_lag` with x up to 150. */
const LAG_MS = 1800
/** Pause between two changes: a storm of configurations of kp-hosted has one each 330 ms. */
const CHANGE_GAP_MS = 330
const record = createRecord(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))
const cleanups = []

function buildConfig (version, bookingService) {
  const route = (database, type, service, staleness) => ({ name: `r-${database}`, database, path_prefix: '/', route_type: type, timeout_ms: 1000, target_latency_ms: 400, priority: 1, service, max_attempts: 2, public: false, ...staleness })
  return {
    version,
    routes: [route('booking', 'read_own_writes', bookingService, { max_staleness_ms: 2500 }), route('sale', 'primary', 'svc1', {}), route('browse', 'read_own_writes', 'svc1', { max_staleness_ms: 2500 })],
    services: ['svc1', 'svc2'].map((name) => ({ name, health_path: '/health', max_connections: 33, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0, sync_replicas: 0 })),
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000, tx_idle_ms: 3000 },
    tenants: [{ name: 'tenant-1', api_keys: ['key-1'], priority: 1, rate_per_s: 2000, burst: 2000 }]
  }
}

async function run () {
  const { network, release } = await reserveNetwork()
  cleanups.push(release)
  const fleet = createFleet({ network, zones: ZONES, controls: 5, entries: 3 })
  cleanups.push(fleet.remove, fleet.stop)
  const services = new Map()
  const ranAt = new Map()
  function recordAll (kind, details) {
    record.add(kind, details)
    if (kind === 'run') ranAt.set(details.id, details.database)
  }
  const authority = await startAuthority({ network, services, record: recordAll })
  cleanups.push(authority.stop)
  fleet.startAll()
  let version = 7
  const configure = async (bookingService) => {
    const { status } = await callControl(fleet, 'POST', '/api/config/replace', buildConfig(version, bookingService))
    record.add('config', { version, bookingService, status })
    version++
    if (status !== 200) throw new CaseError('the configuration was not acknowledged')
  }
  await configure('svc1')
  for (const [number, name] of ['svc1', 'svc2'].entries()) {
    const service = await startService({ fleet, name, syncReplicas: 0, applyMs: name === 'svc1' ? LAG_MS : 60, delayMs: () => 1.4, record: recordAll, members: ZONES.map((zone, index) => ({ id: `${name}-${index}`, host: `127.${network}.3.${number * 10 + index + 1}`, zone })) })
    services.set(name, service)
    cleanups.push(service.stop)
  }
  await waitUntilReady(fleet)
  await pause(6000)

  // An entry instance in the zone of a replica. Other sessions write and read there all the while.
  const { host } = fleet.entries[1]
  const state = { isRunning: true }
  async function work (database, verb, pauseMs) {
    const session = await openSession(host, database, 'key-1')
    for (; state.isRunning && session?.hasEnded() === false;) {
      const id = newId()
      await session.query(id, verb === 'READ' ? `READ ${id.slice(0, 3)}` : `WRITE ${id.slice(0, 3)} ${id}`)
      await pause(pauseMs)
    }
    session?.close()
  }
  const others = [...Array.from({ length: 4 }, () => work('sale', 'WRITE', 40)), ...Array.from({ length: 6 }, () => work('browse', 'READ', 30))]
  await pause(4000)

  const sessions = []
  for (let index = 0; index < SESSIONS; index++) {
    const session = await openSession(host, 'booking', 'key-1')
    if (session === null) throw new CaseError('no session')
    sessions.push(session)
  }
  async function ask (session, text) {
    const id = newId()
    const answer = await session.query(id, text)
    record.add('answered', { id, session: sessions.indexOf(session), text, database: ranAt.get(id) ?? null, answer })
    return { id, answer, result: resultOf(answer), database: ranAt.get(id) ?? '' }
  }
  /** Writes until the write has run at the service that the route names now. */
  async function writeAt (session, service, item) {
    for (const until = Date.now() + 3000; Date.now() < until;) {
      const data = newId()
      const { result, database } = await ask(session, `WRITE ${item} ${data}`)
      if (result === 'DONE' && database.startsWith(service)) return data
      await pause(20)
    }
    throw new CaseError(`no write ran at ${service}`)
  }

  const stale = []
  let reads = 0
  for (let round = 0; round < ROUNDS; round++) {
    const items = sessions.map((_, index) => `z${round}x${index}`)
    const written = await Promise.all(sessions.map((session, index) => writeAt(session, 'svc1', items[index])))
    if (hasTrouble) {
      await configure('svc2')
      await Promise.all(sessions.map((session, index) => writeAt(session, 'svc2', `${items[index]}y`)))
      await pause(CHANGE_GAP_MS)
      await configure('svc1')
    }
    for (let count = 0; count < 5; count++) {
      await Promise.all(sessions.map(async (session, index) => {
        const { id, answer, result, database } = await ask(session, `READ ${items[index]}`)
        if (result !== 'DONE' || !database.startsWith('svc1')) return
        reads++
        if (answer[0] !== `ROW ${written[index]}`) stale.push({ id, session: index, item: items[index], acknowledged: written[index], row: answer[0], database })
      }))
      await pause(60)
    }
    await pause(2500)
  }
  state.isRunning = false
  for (const session of sessions) session.close()
  await Promise.all(others)
  record.add('judged', { reads, stale })
  console.log(`${reads} reads of items that their session had written, ${stale.length} without the acknowledged write`)
  if (reads === 0) throw new CaseError('no read ran')
  return stale.length > 0 ? 1 : 0
}

let code = 2
try {
  code = await run()
} catch (error) {
  console.log(String(error.stack ?? error))
  record.add('failed', { message: String(error) })
}
for (const cleanup of cleanups.reverse()) await cleanup()
record.write()
process.exit(code)
