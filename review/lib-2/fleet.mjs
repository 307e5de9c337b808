// Starts the project's own programs as separate processes on loopback addresses, with the commands of the deploy file and settings like those of a small deployment.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const repository = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const ports = { callers: 8465, readiness: 8460, registry: 8462, internal: 7560, lastInternal: 7575, authority: 8466, database: 8080 }
export const pause = (durationMs) => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Thrown when a case could not run; the script then ends with code 2. */
export class CaseError extends Error {}

/** Reserves a second byte of loopback addresses that no other run on this machine uses. */
export async function reserveNetwork () {
  for (let network = 60; network < 200; network++) {
    const server = createServer()
    const isFree = await new Promise((resolve) => {
      server.once('error', () => { resolve(false) })
      server.listen(8400, `127.${network}.9.254`, () => { resolve(true) })
    })
    if (isFree) return { network, release: () => { server.close() } }
  }
  throw new CaseError('all loopback networks are in use')
}

/** @returns the arguments of Node.js with which the deploy file starts a role */
function readRunArguments (role) {
  const deployFile = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8')
  const section = deployFile.split(`[roles.${role}]`)[1] ?? ''
  const run = /^run = "node (.*)"$/m.exec(section)?.[1]
  if (run === undefined) throw new CaseError(`the deploy file starts no role ${role}`)
  return run.split(' ')
}

/**
 * Plans the processes of a deployment.
 * @param overrides - changes the settings of one instance
 */
export function createFleet ({ network, zones, controls, entries, overrides = () => ({}) }) {
  const folder = mkdtempSync(join(tmpdir(), 'catkinrelay-review-'))
  const instances = []
  for (let index = 0; index < controls; index++) instances.push({ role: 'control', name: `core-${index + 1}`, host: `127.${network}.1.${index + 1}`, zone: zones[index % zones.length], child: null, exits: [] })
  for (let index = 0; index < entries; index++) instances.push({ role: 'entry', name: `front-${index + 1}`, host: `127.${network}.2.${index + 1}`, zone: zones[index % zones.length], child: null, exits: [] })
  // Also after an error or the end of the time that the script has, no process may stay behind.
  process.on('exit', () => { for (const { child } of instances) child?.kill('SIGKILL') })
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => { process.exit(2) })
  const seeds = instances.filter(({ role }) => role === 'control').slice(0, 3).map(({ host }) => `${host}:${ports.registry}`)

  function buildSettings (instance, isFirstStart) {
    const { role, name, host, zone } = instance
    return {
      instance: name,
      failureDomain: zone,
      host,
      internalPorts: [ports.internal, ports.lastInternal],
      seeds,
      ...(role === 'entry' ? { callers: `${host}:${ports.callers}`, readiness: `${host}:${ports.readiness}` } : { registry: `${host}:${ports.registry}`, dataFolder: join(folder, name) }),
      authority: `127.${network}.4.1:${ports.authority}`,
      processorShare: role === 'entry' ? 0.675 : 0.81,
      linkMegabits: 1000,
      failureDomainExitMs: 5000,
      limits: { memoryMb: role === 'entry' ? 350 : 346, descriptors: role === 'entry' ? 4200 : 4096 },
      isFirstStart,
      announcementIntervalMs: 1200,
      toleratedInstances: Math.floor((controls - 1) / 2),
      rateExcessShare: 0.1,
      rateExcessRequests: 20,
      stopLimitSeconds: 6,
      recoveryLimitSeconds: 12,
      failsClosed: false,
      contactMs: 4000,
      configurationApplyMs: 3000,
      ...overrides(instance)
    }
  }

  function start (instance, isFirstStart = false) {
    const file = join(folder, `${instance.name}.json`)
    if (instance.role === 'control') mkdirSync(join(folder, instance.name), { recursive: true })
    writeFileSync(file, JSON.stringify(buildSettings(instance, isFirstStart)))
    const child = spawn(process.execPath, readRunArguments(instance.role), { cwd: repository, env: { PATH: process.env.PATH, CATKINRELAY_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(folder, `${instance.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    instance.child = child
    child.on('exit', (code, signal) => {
      instance.exits.push({ at: Date.now(), code, signal })
      if (instance.child === child) instance.child = null
    })
  }

  async function stop () {
    for (const { child } of instances) child?.kill('SIGKILL')
    for (let waitedMs = 0; instances.some(({ child }) => child !== null) && waitedMs < 3000; waitedMs += 20) await pause(20)
  }

  const readLogs = () => instances.flatMap(({ name }) => {
    let text = ''
    try { text = readFileSync(join(folder, `${name}.log`), 'utf8') } catch {}
    return text.split('\n').filter((line) => line !== '').map((line) => ({ name, line }))
  })

  return {
    folder,
    instances,
    controls: instances.filter(({ role }) => role === 'control'),
    entries: instances.filter(({ role }) => role === 'entry'),
    start,
    startAll: () => { for (const instance of instances) start(instance, true) },
    stop,
    readLogs,
    remove: () => { rmSync(folder, { recursive: true, force: true }) }
  }
}

/** Sends one HTTP request. Resolves with the status, 0 without a response. */
export function call (method, address, path, body, timeoutMs = 1000) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':')
    const text = body === undefined ? '' : JSON.stringify(body)
    const sent = request({ host, port, path, method, headers: body === undefined ? { 'content-length': 0 } : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } })
    const timer = setTimeout(() => { sent.destroy() }, timeoutMs)
    sent.on('response', (response) => {
      const chunks = []
      response.on('data', (chunk) => { chunks.push(chunk) })
      response.on('end', () => {
        clearTimeout(timer)
        resolve({ status: response.statusCode, location: response.headers.location, body: Buffer.concat(chunks).toString('utf8') })
      })
      response.on('error', () => { resolve({ status: 0 }) })
    })
    sent.on('error', () => {
      clearTimeout(timer)
      resolve({ status: 0 })
    })
    sent.end(text)
  })
}

/** Sends a call to one control instance after the other, as the platform does, until one confirms it. It follows a 307 twice. */
export async function callControl (fleet, method, path, body, limitMs = 20_000) {
  const until = Date.now() + limitMs
  for (let attempt = Math.floor(Math.random() * fleet.controls.length); Date.now() < until; attempt++) {
    let address = `${fleet.controls[attempt % fleet.controls.length].host}:${ports.registry}`
    for (let hops = 0; hops < 3; hops++) {
      const answer = await call(method, address, path, body)
      if (answer.status >= 200 && answer.status < 300) return answer
      if (answer.status >= 400 && answer.status < 500 && answer.status !== 408 && answer.status !== 429) return answer
      if (answer.status !== 307) break
      address = new URL(answer.location).host
    }
    await pause(100)
  }
  return { status: 0 }
}

/** Waits until all entry instances report themselves ready. */
export async function waitUntilReady (fleet, limitMs = 25_000) {
  const until = Date.now() + limitMs
  while (Date.now() < until) {
    const answers = await Promise.all(fleet.entries.map(({ host }) => call('GET', `${host}:${ports.readiness}`, '/api/readiness')))
    if (answers.every(({ status }) => status === 200)) return
    await pause(200)
  }
  throw new CaseError('the entry instances did not become ready')
}
