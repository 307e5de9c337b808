import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { appendFileSync, mkdirSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { createRandom } from '../src/utils/create-random.js'
import { startWireGroup } from '../stand-ins/platform/wire-group.js'
import type { GroupMember, WireGroup } from '../stand-ins/platform/wire-group.js'
import { checkPromises, rateExcess } from './check-promises.js'
import { createFleet, ports } from './fleet.js'
import type { Fleet } from './fleet.js'
import type { LoopbackProxy } from './loopback-proxy.js'
import { startLoopbackProxy } from './loopback-proxy.js'
import { playSchedule } from './schedule.js'
import { startWorkload } from './workload.js'

export interface SeedOptions {
  seed: number
  /** Time of the faults in milliseconds. */
  durationMs: number
  entries: number
  controls: number
  /** Folder of settings, data and logs of this seed; it is removed when no promise was broken. */
  folder: string
  /** Second byte of the loopback addresses. */
  network: number
}

export interface SeedResult {
  seed: number
  violations: string[]
  served: number
  notServed: number
  promotions: number
  faults: number
}

const ANNOUNCE_MS = 400
/** Time after the last fault in which the system may settle, in milliseconds. */
const SETTLE_MS = 3000
/** Time in which a fleet of processes starts and takes its first manifest, in milliseconds. */
const START_LIMIT_MS = 30_000
const DOMAINS = 3
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Plays one seed: real programs, stand-in databases, callers, faults; then compares what all of them saw. */
export async function runSeed (options: SeedOptions): Promise<SeedResult> {
  const { seed, folder, network } = options
  const random = createRandom(seed)
  mkdirSync(folder, { recursive: true })
  const syncReplicas = random() < 0.5 ? 0 : 1
  const host = `127.${network}.9.1`
  const groups: WireGroup[] = []
  for (const service of ['alpha', 'beta']) groups.push(await startWireGroup({ service, host, size: 3, syncReplicas, workMs: 5, promoteMs: 200 }))
  const authority = await startAuthority(groups, host)
  const proxies = new Map<GroupMember, LoopbackProxy>()
  for (const { members } of groups) for (const member of members) proxies.set(member, await startLoopbackProxy(host, { host, port: member.port }))
  const authorityProxy = await startLoopbackProxy(host, { host, port: portOf(authority) })
  const fleet = createFleet({ folder, entries: options.entries, controls: options.controls, failureDomains: DOMAINS, network, authority: authorityProxy.address, settings: { announcementIntervalMs: ANNOUNCE_MS, rateExcessShare: rateExcess.share, rateExcessRequests: rateExcess.requests } })
  const workspaces = [
    { name: 'large', key: `key-large-${seed}`, rate: 400, burst: 200 },
    { name: 'small', key: `key-small-${seed}`, rate: 12, burst: 12 },
    { name: 'third', key: `key-third-${seed}`, rate: 200, burst: 100 }
  ]
  const progress = { isOver: false }
  let faults = 0
  const controlHosts = fleet.machines.filter(({ role }) => role === 'control').map(({ host: control }) => control)

  async function post (path: string, body: unknown, limitMs: number): Promise<boolean> {
    const until = Date.now() + limitMs
    for (let tries = Math.floor(random() * controlHosts.length); Date.now() < until && !progress.isOver; tries++) {
      try {
        const response = await fetch(`http://${controlHosts[tries % controlHosts.length]}:${ports.registry}${path}`, { method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(1000) })
        if (response.status === 200) return true
      } catch {
        // The instance is away; the next one is asked.
      }
      await pause(50)
    }
    return false
  }

  async function announce (group: WireGroup, member: GroupMember, number: number): Promise<void> {
    for (let sequence = 1; !progress.isOver; sequence++) {
      const role = group.primary() === member ? 'primary' : 'replica'
      const body = { service: group.service, address: proxies.get(member)?.address, zone: `domain-${number % DOMAINS}`, version: '1', slots: 8, state: 'ready', cold_remaining_ms: 0, db_role: role, sequence, born: 1 }
      if (member.isUp) await post(`/api/instances/${member.id}/heartbeat`, body, 1000)
      await pause(ANNOUNCE_MS)
    }
  }

  function configuration (version: number): object {
    return {
      version,
      routes: groups.map(({ service }) => ({ name: `route-${service}`, database: `db-${service}`, path_prefix: '/', route_type: 'read_own_writes', timeout_ms: 1500, target_latency_ms: 400, priority: 1, service, max_staleness_ms: 2000, public: false })),
      services: groups.map(({ service }) => ({ name: service, max_connections: 40, sync_replicas: syncReplicas })),
      limits: { tx_idle_ms: 3000 },
      tenants: workspaces.map(({ name, key, rate, burst }) => ({ name, api_keys: [key], rate_per_s: rate, burst }))
    }
  }

  const violations: string[] = []
  let newest = 0
  /** Configurations go on rising; an acknowledged one must never be shown in an older state again. */
  async function configure (): Promise<void> {
    for (let version = 2; !progress.isOver; version++) {
      await pause(1500)
      if (await post('/api/config/replace', configuration(version), 5000)) newest = version
    }
  }

  async function readBack (): Promise<void> {
    const expected = newest
    for (let tries = 0; tries < 100; tries++) {
      try {
        const response = await fetch(`http://${controlHosts[tries % controlHosts.length]}:${ports.registry}/api/config/describe`, { signal: AbortSignal.timeout(1000) })
        if (response.status === 200) {
          const { version } = await response.json() as { version: number }
          if (version < expected) violations.push(`CONFIG: version ${version} is shown after ${expected} was acknowledged`)
          return
        }
      } catch {
        // Asked again at the next instance.
      }
      await pause(50)
    }
    violations.push('CONFIG: no instance shows the configuration after the faults')
  }

  try {
    for (const machine of fleet.machines) fleet.start(machine)
    if (!await post('/api/config/replace', configuration(1), START_LIMIT_MS)) throw new Error('the first configuration was not acknowledged')
    newest = 1
    for (const group of groups) group.members.forEach((member, number) => { announce(group, member, number).catch((error: unknown) => { violations.push(`announcer: ${String(error)}`) }) })
    const configuring = configure()
    const databaseOf = new Map(groups.map((group) => [`db-${group.service}`, group]))
    const workload = startWorkload({ random, entries: fleet.machines.filter(({ role }) => role === 'entry'), workspaces, databases: [...databaseOf.keys()], callers: 24, termOf: (database) => databaseOf.get(database)?.term() ?? 0, mayLose: syncReplicas === 0 })
    await playSchedule({
      random,
      fleet,
      groups,
      proxies: [...proxies.values(), authorityProxy],
      toleratedControls: Math.floor((options.controls - 1) / 2),
      onFault: (fault) => {
        faults++
        appendFileSync(join(folder, 'faults.log'), `${new Date().toISOString()} ${fault}\n`)
      }
    }, options.durationMs)
    await pause(SETTLE_MS)
    await readBack()
    await workload.stop()
    progress.isOver = true
    await configuring
    const { history } = workload
    violations.push(...checkPromises({ history, groups, workspaces, mayLose: syncReplicas === 0 }))
    violations.push(...fleet.endedByThemselves().map((name) => `ENDED: ${name}`))
    const promotions = groups.reduce((sum, group) => sum + group.term() - 1, 0)
    return { seed, violations, served: history.served, notServed: history.notServed, promotions, faults }
  } finally {
    progress.isOver = true
    await stopAll(fleet, groups, [...proxies.values(), authorityProxy], authority)
    if (violations.length === 0) rmSync(folder, { recursive: true, force: true })
  }
}

async function stopAll (fleet: Fleet, groups: readonly WireGroup[], proxies: readonly LoopbackProxy[], authority: Server): Promise<void> {
  await fleet.stop()
  for (const proxy of proxies) proxy.close()
  for (const group of groups) await group.close()
  authority.closeAllConnections()
  authority.close()
}

/** The authority looks at the fencing token when it carries a promotion out. */
async function startAuthority (groups: readonly WireGroup[], host: string): Promise<Server> {
  const server = createServer((request, response) => {
    let body = ''
    request.on('data', (piece) => { body += String(piece) })
    request.on('end', () => {
      const { service, id } = JSON.parse(body) as { service: string, id: string }
      const group = groups.find((candidate) => candidate.service === service)
      const token = Number(request.headers['fencing-token'])
      if (group === undefined) response.writeHead(404).end()
      else group.promote(id, token).then((status) => { response.writeHead(status).end() }, () => { response.writeHead(500).end() })
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, host, resolve) })
  return server
}

function portOf (server: Server): number {
  const address = server.address()
  return typeof address === 'object' && address !== null ? address.port : 0
}
