// Starts the project's own program, as the deploy file does, on loopback addresses, with settings like those of a small deployment.
import { spawn } from 'node:child_process'
import { mkdtempSync, mkdirSync, writeFileSync, rmSync, createWriteStream, appendFileSync } from 'node:fs'
import { createServer, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const program = join(root, 'target', 'catkinrelay-platform.cjs')
/** Arguments of Node.js in the deploy file, by role. */
const nodeArguments = { entry: ['--max-old-space-size=160', '--max-semi-space-size=2'], control: ['--max-old-space-size=192', '--max-semi-space-size=2'] }
export const pause = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Writes one line to record.txt and to the standard output. */
export function createRecord (folder) {
  const file = join(folder, 'record.txt')
  writeFileSync(file, '')
  const startedAt = Date.now()
  return (text) => {
    const line = `${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`
    appendFileSync(file, `${line}\n`)
    if (process.env.QUIET !== '1') console.log(line)
  }
}

/** @returns a second byte of loopback addresses that no other run uses */
export async function pickNetwork () {
  for (;;) {
    const network = 10 + Math.floor(Math.random() * 200)
    const server = createServer()
    const isFree = await new Promise((resolve) => {
      server.once('error', () => { resolve(false) })
      server.listen(8466, `127.${network}.9.1`, () => { resolve(true) })
    })
    if (!isFree) continue
    await new Promise((resolve) => { server.close(resolve) })
    return network
  }
}

export function createFleet ({ controls = 5, entries = 3, network, settings = {}, onExit = () => {} }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const port = { callers: 8465, readiness: 8460, registry: 8462, internal: 7560, metrics: 7575 }
  const zones = ['zone-a', 'zone-b', 'zone-c']
  const authority = `127.${network}.9.1:8466`
  const make = (role, number) => ({ name: `${role}-${number}`, role, host: `127.${network}.${role === 'control' ? 1 : 2}.${number}`, zone: zones[(number - 1) % zones.length], child: null, shouldRun: false })
  const instances = [...Array.from({ length: controls }, (_, i) => make('control', i + 1)), ...Array.from({ length: entries }, (_, i) => make('entry', i + 1))]
  const seeds = instances.filter(({ role }) => role === 'control').slice(0, 3).map(({ host }) => `${host}:${port.registry}`)
  let first = true

  function start (instance) {
    const { name, role, host, zone } = instance
    const file = join(folder, `${name}.json`)
    const data = join(folder, `data-${name}`)
    mkdirSync(data, { recursive: true })
    writeFileSync(file, JSON.stringify({
      instance: name,
      failureDomain: zone,
      host,
      internalPorts: [port.internal, port.metrics],
      seeds,
      ...(role === 'entry' ? { callers: `${host}:${port.callers}`, readiness: `${host}:${port.readiness}` } : { registry: `${host}:${port.registry}`, dataFolder: data }),
      authority,
      processorShare: role === 'entry' ? 0.675 : 1.62,
      linkMegabits: 1000,
      limits: { memoryMb: role === 'entry' ? 350 : 346, descriptors: 4096 },
      isFirstStart: first,
      announcementIntervalMs: 1200,
      toleratedInstances: Math.floor((controls - 1) / 2),
      rateExcessShare: 0.1,
      rateExcessRequests: 20,
      stopLimitSeconds: 6,
      recoveryLimitSeconds: 12,
      failsClosed: false,
      contactMs: 4000,
      configurationApplyMs: 3000,
      failureDomainExitMs: 5000,
      ...settings
    }))
    const child = spawn(process.execPath, [...nodeArguments[role], program, role], { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '', CATKINRELAY_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    instance.child = child
    instance.shouldRun = true
    child.on('exit', (code, signal) => {
      if (instance.child !== child) return
      instance.child = null
      onExit(instance, code, signal, instance.shouldRun)
    })
  }

  return {
    folder,
    port,
    instances,
    seeds,
    authority,
    network,
    startAll: () => { for (const instance of instances) start(instance); first = false },
    start,
    find: (name) => instances.find((instance) => instance.name === name),
    controls: instances.filter(({ role }) => role === 'control'),
    entries: instances.filter(({ role }) => role === 'entry'),
    signal: (instance, signal) => { if (signal === 'SIGKILL' || signal === 'SIGTERM') instance.shouldRun = false; instance.child?.kill(signal) },
    stop: async () => {
      for (const instance of instances) { instance.shouldRun = false; instance.child?.kill('SIGKILL') }
      for (let i = 0; i < 100 && instances.some(({ child }) => child !== null); i++) await pause(20)
      if (process.env.KEEP !== '1') rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Sends one HTTP call and follows redirects twice, as the operator and the databases do. */
export function call (address, method, path, body, { limitMs = 1000, redirects = 2 } = {}) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':')
    const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body)
    const request = httpRequest({ host, port, path, method, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => {})
      response.on('end', () => {
        clearTimeout(timer)
        const location = response.headers.location
        if (response.statusCode === 307 && location !== undefined && redirects > 0) {
          const url = new URL(location)
          resolve(call(url.host, method, url.pathname, body, { limitMs, redirects: redirects - 1 }))
        } else resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8'), by: address })
      })
    })
    const timer = setTimeout(() => { request.destroy(new Error('no answer')) }, limitMs)
    request.on('error', (error) => { clearTimeout(timer); resolve({ status: 0, text: error.message, by: address }) })
    request.end(text)
  })
}

/** Sends an order to one node after another until it is acknowledged. */
export async function callUntilAcknowledged (addresses, method, path, body, { limitMs = 1000, totalMs = 15000 } = {}) {
  const until = Date.now() + totalMs
  for (let i = 0; ; i++) {
    const answer = await call(addresses[i % addresses.length], method, path, body, { limitMs })
    if ((answer.status >= 200 && answer.status < 300) || [400, 409, 412, 413, 422].includes(answer.status) || Date.now() > until) return answer
    await pause(Math.min(50 * (i + 1), 400))
  }
}

/** Starts the stand-in of the provider's call for promotions. */
export async function startProvider (address, onPromote) {
  const [host, port] = address.split(':')
  const server = createServer((request, response) => {
    let text = ''
    request.on('data', (chunk) => { text += chunk })
    request.on('end', async () => {
      const body = JSON.parse(text || '{}')
      const status = request.url === '/promote' ? await onPromote(body.service, body.id, Number(request.headers['fencing-token']), request.headers['lease-holder']) : 404
      response.writeHead(status, { 'content-length': 0 })
      response.end()
    })
  })
  await new Promise((resolve, reject) => { server.once('error', reject); server.listen(Number(port), host, resolve) })
  return { close: () => { server.closeAllConnections(); server.close() } }
}

/** A caller of the wire protocol. */
export function openCaller (address, database, key, { limitMs = 2000 } = {}) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port), noDelay: true })
    let buffered = ''
    let waiting = null
    let ended = false
    const caller = {
      socket,
      get ended () { return ended },
      /** Sends one statement. @returns the lines of the answer up to READY; null when the connection ended or no answer came in time */
      query: (id, text, ms = 4000) => new Promise((resolve) => {
        if (ended) return resolve(null)
        const timer = setTimeout(() => finish(null), ms)
        const lines = []
        function finish (result) {
          clearTimeout(timer)
          waiting = null
          resolve(result)
        }
        waiting = (line) => {
          if (line === null) return finish(null)
          lines.push(line)
          if (line.startsWith('READY')) finish(lines)
        }
        socket.write(`QUERY ${id} ${text}\r\n`, 'latin1')
      }),
      close: () => { socket.destroy() }
    }
    const timer = setTimeout(() => { socket.destroy(); resolve(null) }, limitMs)
    let opened = false
    socket.on('connect', () => { socket.write(`START ${database} ${key}\r\n`, 'latin1') })
    socket.on('data', (bytes) => {
      buffered += bytes.toString('latin1')
      const lines = buffered.split('\r\n')
      buffered = lines.pop()
      for (const line of lines) {
        if (!opened) {
          clearTimeout(timer)
          opened = line.startsWith('READY')
          if (opened) resolve(caller)
          else { socket.destroy(); resolve(null) }
        } else waiting?.(line)
      }
    })
    socket.on('error', () => {})
    socket.on('close', () => { ended = true; clearTimeout(timer); waiting?.(null); resolve(null) })
  })
}
