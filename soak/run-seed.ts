import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { appendFileSync, mkdirSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { createRandom } from '../src/utils/create-random.js'
import { startWireGroup } from '../stand-ins/platform/wire-group.js'
import type { GroupMember } from '../stand-ins/platform/group-member.js'
import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import { checkPromises, rateExcess } from './check-promises.js'
import { listCutStatements } from './cut-statements.js'
import type { ConfigurationChanges } from './configuration-changes.js'
import { createConfigurationChanges } from './configuration-changes.js'
import { createDatabaseAnnouncer } from './database-announcer.js'
import { createFleet, ports } from './fleet.js'
import type { Fleet } from './fleet.js'
import type { LoopbackProxy } from './loopback-proxy.js'
import { startLoopbackProxy } from './loopback-proxy.js'
import { playPlannedStops } from './planned-stops.js'
import type { Habit, PlannedRoute } from './planned-workload.js'
import { startPlannedWorkload } from './planned-workload.js'
import { reserveNetwork } from './reserve-network.js'
import type { Disturbance } from './schedule.js'
import { runSchedule } from './schedule.js'
import { startStallClock } from './stall-clock.js'
import { STATEMENT_TIMEOUT_MS, startWorkload } from './workload.js'

export interface SeedOptions {
  seed: number
  /** Time during which faults are injected, in milliseconds. */
  durationMs: number
  entries: number
  controls: number
  /** Whether databases accept so few connections that instances lend them to each other. */
  lendsConnections?: boolean
  /** Plays planned stops of the entry instances, and nothing unplanned, instead of random faults. */
  planned?: { sessions: number, habits: readonly Habit[] }
  /** Folder for settings, data and logs of this seed. It is removed if no promise was broken, unless `keepsFolder` is set. */
  folder: string
  keepsFolder?: boolean
  /** Preferred second byte of all loopback addresses. Another one is taken when a run on this machine uses it. */
  network: number
}

/** Result of one seed: one line for each broken promise, and counts of operations, promotions and faults. */
export interface SeedResult {
  seed: number
  violations: string[]
  served: number
  notServed: number
  promotions: number
  faults: number
  /** Sent statements, and statements that were cut by the end of their connection, by their excuse. */
  statements: number
  cut: Record<string, number>
  /** Planned stops, those that ended by SIGKILL, and the longest time from SIGTERM to the exit in milliseconds. */
  stops: number
  killedStops: number
  longestStopMs: number
  /** Answers without success by their code. */
  codes: Record<string, number>
  /** Longest time for which this program did not handle events, in milliseconds. Observed times are late by up to this time. */
  longestStallMs: number
}

const ANNOUNCEMENT_INTERVAL_MS = 400
/** Time that the system has to recover after the last fault before the checks. */
const SETTLE_MS = 3000
/** Time within which all processes must have started and acknowledged the first configuration. */
const START_TIMEOUT_MS = 30_000
const FAILURE_DOMAINS = 3
/** Pause between two versions of the configuration while stops are planned. */
const PLANNED_VERSION_PAUSE_MS = 1500
/** Replication delay of a group whose route moves, less than the staleness that the routes allow, and its duration, in milliseconds. */
const MOVED_ROUTE_LAG_MS = 1500
/** Time in milliseconds from the begin of that delay to the move, in which sessions commit what replicas lack afterwards. */
const MOVED_ROUTE_LEAD_MS = 300
const MOVED_ROUTE_LAG_DURATION_MS = 3000
/** Connections that a database accepts where instances lend them. */
const SCARCE_CONNECTIONS = 12
const IDLE_WORKSPACES = 29
/** Time between SIGTERM and SIGKILL in seconds: of planned stops as the platform plays them, and among random faults. */
const STOP_LIMIT_SECONDS = { planned: 6, mixed: 4 }
/** Rate and burst with which planned stops are not disturbed by refusals. */
const AMPLE_RATE = { rate: 5000, burst: 5000 }
/** Range of the work of a statement in milliseconds, and the longest work and its share, while stops are planned. */
const WORK_MS = { shortest: 5, longest: 60, exceptional: 400, exceptionalShare: 0.03 }
const UNREAD_SLACK_MS = 200
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/**
 * Runs one seed: starts real processes, stand-in databases and callers, injects faults, and then checks the promises against what callers and
 * databases observed.
 * @throws Error if the first configuration is not acknowledged within 30 s
 */
export async function runSeed (options: SeedOptions): Promise<SeedResult> {
  const { seed, folder } = options
  const { network, release } = await reserveNetwork(options.network)
  const random = createRandom(seed)
  mkdirSync(folder, { recursive: true })
  const syncReplicas = random() < 0.5 ? 0 : 1
  const host = `127.${network}.9.1`
  const groups: WireGroup[] = []
  const { planned } = options
  const drawWork = createRandom(seed + 1)
  const statementMs = (): number => {
    if (planned === undefined) return WORK_MS.shortest
    const longest = drawWork() < WORK_MS.exceptionalShare ? WORK_MS.exceptional : WORK_MS.longest
    return WORK_MS.shortest + drawWork() * (longest - WORK_MS.shortest)
  }
  for (const service of ['alpha', 'beta']) groups.push(await startWireGroup({ service, host, size: 3, syncReplicas, statementMs, promotionMs: 200 }))
  const authority = await startAuthority(groups, host)
  const proxies = new Map<GroupMember, LoopbackProxy>()
  for (const { members } of groups) for (const member of planned === undefined ? members : []) proxies.set(member, await startLoopbackProxy(host, { host, port: member.port }))
  const authorityProxy = await startLoopbackProxy(host, { host, port: portOf(authority) })
  const stopLimitSeconds = planned === undefined ? STOP_LIMIT_SECONDS.mixed : STOP_LIMIT_SECONDS.planned
  const fleet = createFleet({ folder, entries: options.entries, controls: options.controls, failureDomains: FAILURE_DOMAINS, network, authority: authorityProxy.address, settings: { announcementIntervalMs: ANNOUNCEMENT_INTERVAL_MS, rateExcessShare: rateExcess.share, rateExcessRequests: rateExcess.requests, stopLimitSeconds } })
  // The names of the first two differ only in bytes that Latin-1 does not have.
  const workspaces = [
    { name: 'chợ-mơ', key: `key-large-${seed}`, rate: 400, burst: 200 },
    { name: 'chợ-mạ', key: `key-small-${seed}`, rate: 12, burst: 12 },
    { name: 'third', key: `key-third-${seed}`, rate: 200, burst: 100 }
  ].map((workspace) => planned === undefined ? workspace : { ...workspace, ...AMPLE_RATE })
  const ownWritesRoute = { type: 'read_own_writes', timeoutMs: STATEMENT_TIMEOUT_MS, readsOnly: false }
  const routes: (PlannedRoute & { service: string, type: string })[] = planned === undefined
    ? groups.map(({ service }) => ({ ...ownWritesRoute, database: `db-${service}`, service }))
    : [
        { database: 'db-alpha', service: 'alpha', type: 'primary', timeoutMs: 1000, readsOnly: false },
        { ...ownWritesRoute, database: 'db-beta', service: 'beta' },
        { database: 'db-reports', service: 'beta', type: 'bounded_staleness', timeoutMs: 3000, readsOnly: true }
      ]
  /** Workspaces without traffic. With more workspaces, instances lend connections from a higher limit on. */
  const idleWorkspaces = Array.from({ length: options.lendsConnections === true ? IDLE_WORKSPACES : 0 }, (_, number) => ({ name: `idle-${number}`, key: `key-idle-${number}-${seed}`, rate: 1, burst: 1 }))
  const changes: ConfigurationChanges = createConfigurationChanges({ random: createRandom(seed + 3), routes, services: groups.map(({ service }) => service), workspaces: workspaces.map(({ name }) => name), onMove: delayReplication })
  const state = { isStopping: false, isSettling: false }
  let faults = 0
  const controlHosts = fleet.instances.filter(({ role }) => role === 'control').map(({ host: control }) => control)

  async function post (path: string, body: unknown, timeoutMs: number): Promise<boolean> {
    const until = Date.now() + timeoutMs
    for (let attempt = Math.floor(random() * controlHosts.length); Date.now() < until && !state.isStopping; attempt++) {
      try {
        const response = await fetch(`http://${controlHosts[attempt % controlHosts.length]}:${ports.registry}${path}`, { method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(1000) })
        if (response.status === 200) return true
      } catch {
        // This instance did not answer; the next attempt goes to another one.
      }
      await pause(50)
    }
    return false
  }

  /** Delays replication in a group whose route moves, since a session that comes back must not read at a replica that lacks its commits. */
  function delayReplication (service: string): void {
    // Commits that wait for a replica would take as long.
    if (syncReplicas > 0) return
    const members = groups.find((group) => group.service === service)?.members ?? []
    for (const member of members) {
      const { lagMs } = member
      if (lagMs === MOVED_ROUTE_LAG_MS) continue
      member.lagMs = MOVED_ROUTE_LAG_MS
      setTimeout(() => { member.lagMs = lagMs }, MOVED_ROUTE_LAG_DURATION_MS)
    }
  }

  /** @returns keys that a workspace holds now. @param ownKey - its key at the start */
  function keysOf (name: string, ownKey: string): string[] {
    const held = workspaces.filter((owner) => changes.holderOf(owner.name) === name).map(({ key }) => key)
    return workspaces.some((owner) => owner.name === name) ? held : [ownKey]
  }

  function buildConfiguration (version: number): object {
    const unusedRoutes = Array.from({ length: changes.unusedRoutes() }, (_, number) => ({ ...ownWritesRoute, database: `db-unused-${number}`, service: 'alpha' }))
    const servedRoutes = routes.map((route) => ({ ...route, service: changes.serviceOf(route.database) }))
    return {
      version,
      routes: [...servedRoutes, ...unusedRoutes].map(({ database, service, type, timeoutMs }) => ({ name: `route-${database}`, database, path_prefix: '/', route_type: type, timeout_ms: timeoutMs, target_latency_ms: 400, priority: 1, service, max_staleness_ms: 2000, public: false })),
      services: groups.map(({ service }) => ({ name: service, max_connections: options.lendsConnections === true ? SCARCE_CONNECTIONS : 40, sync_replicas: syncReplicas })),
      limits: { tx_idle_ms: 3000 },
      tenants: [...workspaces, ...idleWorkspaces].map(({ name, key, rate, burst }) => ({ name, api_keys: keysOf(name, key), rate_per_s: rate, burst }))
    }
  }

  function onFault (fault: string): void {
    faults++
    appendFileSync(join(folder, 'faults.log'), `${new Date().toISOString()} ${fault}\n`)
  }

  const violations: string[] = []
  const announcer = createDatabaseAnnouncer({ post, addressOf: (member) => proxies.get(member)?.address ?? `${host}:${member.port}`, failureDomains: FAILURE_DOMAINS, intervalMs: ANNOUNCEMENT_INTERVAL_MS, onError: (message) => { violations.push(message) } })
  const stallClock = startStallClock()
  let acknowledgedVersion = 0
  /** Replaces the configuration by ever higher versions. After a version was acknowledged, no instance may show a lower one. */
  async function replaceConfigurations (): Promise<void> {
    for (let version = 2; !state.isStopping; version++) {
      await pause(planned === undefined ? changes.pauseMs() : PLANNED_VERSION_PAUSE_MS)
      const drawn = planned === undefined && !state.isSettling ? changes.draw() : ''
      if (drawn !== '') onFault(`version ${version}: ${drawn}`)
      if (drawn !== '') await pause(MOVED_ROUTE_LEAD_MS)
      if (!await post('/api/config/replace', buildConfiguration(version), 5000)) continue
      acknowledgedVersion = version
      changes.acknowledge()
    }
  }

  async function checkStoredConfiguration (): Promise<void> {
    const expected = acknowledgedVersion
    for (let attempt = 0; attempt < 100; attempt++) {
      try {
        const response = await fetch(`http://${controlHosts[attempt % controlHosts.length]}:${ports.registry}/api/config/describe`, { signal: AbortSignal.timeout(1000) })
        if (response.status === 200) {
          const { version } = await response.json() as { version: number }
          if (version < expected) violations.push(`CONFIG: version ${version} is shown after ${expected} was acknowledged`)
          return
        }
      } catch {
        // This instance did not answer; the next attempt goes to another one.
      }
      await pause(50)
    }
    violations.push('CONFIG: no instance shows the configuration after the faults')
  }

  /** The successor of a database has its address. */
  function passProxyOn (ended: GroupMember, successor: GroupMember): void {
    const proxy = proxies.get(ended)
    if (proxy !== undefined) proxies.set(successor, proxy)
  }

  try {
    for (const instance of fleet.instances) fleet.start(instance)
    if (!await post('/api/config/replace', buildConfiguration(1), START_TIMEOUT_MS)) throw new Error('the first configuration was not acknowledged')
    acknowledgedVersion = 1
    for (const group of groups) for (const member of group.members) announcer.start(group, member)
    const configurationLoop = replaceConfigurations()
    const entries = fleet.instances.filter(({ role }) => role === 'entry')
    const workload = planned !== undefined ? startPlannedWorkload({ random, entries, workspaces, routes, stalledMs: stallClock.totalMs, ...planned }) : startWorkload({ random, entries, workspaces, databases: routes.map(({ database }) => database), callers: 24, stalledMs: stallClock.totalMs, groupOf: createGroupLookup(groups), canLoseCommits: syncReplicas === 0 })
    const disturbances: Disturbance[] = []
    if (planned !== undefined) await playPlannedStops({ random: createRandom(seed + 2), fleet, stopLimitMs: stopLimitSeconds * 1000, onEvent: onFault }, options.durationMs)
    else disturbances.push(...await runSchedule({ random, fleet, groups, proxies: [...proxies.values(), authorityProxy], proxyOf: (member) => proxies.get(member), toleratedControls: Math.floor((options.controls - 1) / 2), announcer, lostForGood: new Set(), onSucceeded: passProxyOn, onFault }, options.durationMs))
    state.isSettling = true
    await pause(SETTLE_MS)
    await checkStoredConfiguration()
    await workload.stop()
    state.isStopping = true
    announcer.stop()
    await configurationLoop
    const { history } = workload
    const plannedStops = { stops: fleet.stops, disturbances, stopLimitMs: stopLimitSeconds * 1000, unreadSlackMs: UNREAD_SLACK_MS }
    violations.push(...checkPromises({ history, groups, workspaces, mayHaveHeld: changes.mayHaveHeld, canLoseCommits: syncReplicas === 0, planned: plannedStops }))
    violations.push(...fleet.listUnexpectedExits().map((name) => `ENDED: ${name}`))
    const promotions = groups.reduce((sum, group) => sum + group.term() - 1, 0)
    const cutStatements = listCutStatements(history, groups, plannedStops)
    appendFileSync(join(folder, 'cut-statements.log'), cutStatements.map(({ description, excuse }) => `${excuse ?? 'BROKEN'}: ${description}\n`).join(''))
    return {
      seed,
      violations,
      served: history.served,
      notServed: history.notServed,
      promotions,
      faults,
      statements: history.sent.size,
      cut: countByName(cutStatements.map(({ excuse }) => excuse ?? 'broken')),
      stops: fleet.stops.length,
      killedStops: fleet.stops.filter(({ endedBy }) => endedBy === 'SIGKILL').length,
      longestStopMs: Math.max(0, ...fleet.stops.map(({ signalledAt, exitedAt }) => (exitedAt ?? signalledAt) - signalledAt)),
      codes: countByName([...history.sent.values()].flatMap(({ answer }) => answer?.code ?? [])),
      longestStallMs: stallClock.longestMs()
    }
  } finally {
    state.isStopping = true
    announcer.stop()
    stallClock.stop()
    await stopAll(fleet, groups, [...proxies.values(), authorityProxy], authority)
    release()
    if (violations.length === 0 && options.keepsFolder !== true) rmSync(folder, { recursive: true, force: true })
  }
}

/** @returns a function that finds the group whose database ran a statement last */
function createGroupLookup (groups: readonly WireGroup[]): (id: string) => WireGroup | undefined {
  const groupById = new Map<string, WireGroup>()
  const readCounts = groups.map(() => 0)
  return (id) => {
    for (const [index, group] of groups.entries()) {
      for (const statement of group.statements.slice(readCounts[index])) groupById.set(statement.id, group)
      readCounts[index] = group.statements.length
    }
    return groupById.get(id)
  }
}

function countByName (names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}

async function stopAll (fleet: Fleet, groups: readonly WireGroup[], proxies: readonly LoopbackProxy[], authority: Server): Promise<void> {
  await fleet.stop()
  for (const proxy of proxies) proxy.close()
  for (const group of groups) await group.close()
  authority.closeAllConnections()
  authority.close()
}

/** Starts the authority that carries out promotions. It passes the fencing token to the group, which decides on the HTTP status. */
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
