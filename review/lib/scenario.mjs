// Sets up a small deployment with stand-ins, runs a case, and turns its result into an exit code.
import { writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { startService } from './service.mjs'
import { createFleet, findPort, pause } from './fleet.mjs'
import { order } from './operator.mjs'

const HELD = 0
const BROKEN = 1
const NOT_RUN = 2

export const isTrouble = process.env.TROUBLE !== '0'

/** Routes like those of the site kp-hosted: endpoint name, kind, time-out of a statement, staleness. */
const ROUTES = [
  ['shop-sale', 'primary', 1000, 0],
  ['menu-read', 'bounded_staleness', 3000, 1500],
  ['room-book', 'read_own_writes', 1000, 2500]
]

const TENANTS = [['noodle', 'noodle-key-1'], ['tailor', 'tailor-key-1']]

export function buildConfig (version, service, { txIdleMs = 3000, rate = 2000, syncReplicas = 0, tenants = TENANTS } = {}) {
  return {
    version,
    routes: ROUTES.map(([database, kind, timeout, staleness]) => ({ name: `r-${database}`, database, path_prefix: '/', route_type: kind, timeout_ms: timeout, target_latency_ms: 400, priority: 1, service, max_attempts: 2, max_staleness_ms: staleness, public: false })),
    services: [{ name: service, health_path: '/health', max_connections: 33, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0, sync_replicas: syncReplicas }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000, tx_idle_ms: txIdleMs },
    tenants: tenants.map(([name, key]) => ({ name, api_keys: [key], priority: 1, rate_per_s: rate, burst: rate }))
  }
}

/**
 * Runs a case: starts the deployment, waits until it serves, and calls `play`.
 * @param play - gets the deployment; returns the list of breaks, empty when the rule held
 */
export async function runCase (metaUrl, { fronts = 3, cores = 5, tolerated = 2, workMs = () => 12, syncReplicas = 0, tenants = TENANTS, lasting = 100_000 }, play) {
  const startedAt = performance.now()
  const now = () => Math.round(performance.now() - startedAt)
  const lines = [`${isTrouble ? 'with' : 'without'} the disruption`]
  const record = (text) => { lines.push(`${String(now()).padStart(6)} ms  ${text}`) }
  const finish = (code) => {
    writeFileSync(join(dirname(fileURLToPath(metaUrl)), 'record.txt'), lines.join('\n') + '\n')
    process.exit(code)
  }
  const authorityHost = '127.1.4.1'
  const authorityPort = await findPort([authorityHost])
  const hosts = ['127.1.3.1', '127.1.3.2', '127.1.3.3']
  const service = await startService({ name: 'tenantdb1', hosts, port: await findPort(hosts), zones: ['moat-n', 'moat-s', 'river-w'], maxConnections: 33, workMs, syncReplicas, promoteMs: 600, now })
  await service.listenAuthority(authorityHost, authorityPort)
  const fleet = await createFleet({ fronts, cores, tolerated, authority: `${authorityHost}:${authorityPort}` })
  const end = async (code) => {
    await fleet.end()
    finish(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { end(NOT_RUN) })
  setTimeout(() => {
    record('the case took too long')
    end(NOT_RUN)
  }, lasting).unref()
  try {
    fleet.startAll()
    service.announceTo(fleet.controlAddresses())
    const configured = await order(fleet.controlAddresses(), 'POST', '/api/config/replace', buildConfig(7, service.name, { syncReplicas, tenants }), 25_000)
    const isReady = configured !== null && await fleet.waitUntilReady(25_000)
    record(`config confirmed: ${configured !== null}, all front machines ready: ${isReady}`)
    if (!isReady) return await end(NOT_RUN)
    await pause(1500)
    const breaks = await play({ fleet, service, record, now })
    if (breaks === null) return await end(NOT_RUN)
    for (const text of breaks) record(`BROKEN: ${text}`)
    record(breaks.length === 0 ? 'the rule held' : `the rule was broken ${breaks.length} times`)
    console.log(lines.slice(-Math.min(lines.length, breaks.length + 1, 12)).join('\n'))
    await end(breaks.length === 0 ? HELD : BROKEN)
  } catch (error) {
    record(`the case could not run: ${error.stack}`)
    console.log(lines.at(-1))
    await end(NOT_RUN)
  }
}
