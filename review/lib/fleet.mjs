// Starts the project's programs as separate processes on loopback addresses, one address a machine.
import { spawn } from 'node:child_process'
import { closeSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { buildFields, readRole, renderTemplate, repositoryRoot } from './settings.mjs'

const ZONES = ['moat-n', 'moat-s', 'river-w']

export const pause = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

function canListen (host, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Finds a port that is free on all of the addresses. */
export async function findPort (hosts) {
  for (let attempt = 0; attempt < 200; attempt++) {
    const port = 11000 + Math.floor(Math.random() * 20000)
    const free = await Promise.all(hosts.map((host) => canListen(host, port)))
    if (free.every(Boolean)) return port
  }
  throw new Error('no free port')
}

/**
 * @param options - numbers of front and core machines, tolerated losses, and the authority's address
 */
export async function createFleet ({ fronts, cores, tolerated, authority }) {
  const folder = mkdtempSync(join(tmpdir(), 'catkinrelay-review-'))
  const frontHosts = Array.from({ length: fronts }, (_, index) => `127.1.1.${index + 1}`)
  const coreHosts = Array.from({ length: cores }, (_, index) => `127.1.2.${index + 1}`)
  const internal = await findPort([...frontHosts, ...coreHosts])
  const ports = { internal, front: await findPort(frontHosts), readiness: await findPort(frontHosts), control: await findPort(coreHosts) }
  const seeds = coreHosts.slice(0, 3)
  const machines = new Map()
  let isFirstStart = true

  function add (machineClass, role, ip, index) {
    const zone = ZONES[index % ZONES.length]
    const node = `${machineClass}-${zone}-${index + 1}`
    const dataFolder = join(folder, `${node}-data`)
    if (machineClass === 'core') mkdirSync(dataFolder)
    machines.set(node, { node, machineClass, role, ip, zone, dataFolder, process: null, exits: [] })
  }
  frontHosts.forEach((ip, index) => add('front', 'entry', ip, index))
  coreHosts.forEach((ip, index) => add('core', 'control', ip, index))

  function start (node) {
    const machine = machines.get(node)
    const { run, template } = readRole(machine.role)
    const settings = join(folder, `${node}.json`)
    const { machineClass, role, ip, zone, dataFolder } = machine
    writeFileSync(settings, renderTemplate(template, buildFields({ node, role, machineClass, zone, ip, ports, seeds, authority, dataFolder, bootstrap: isFirstStart, tolerated })))
    const output = openSync(join(folder, `${node}.out`), 'a')
    const child = spawn(run[0], run.slice(1), { cwd: repositoryRoot, stdio: ['ignore', output, output], env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/tmp', LANG: 'C', CATKINRELAY_BOOT: settings } })
    closeSync(output)
    machine.process = child
    child.on('exit', (code, signal) => {
      machine.exits.push({ code, signal })
      if (machine.process === child) machine.process = null
    })
    return child
  }

  function isReady ({ ip }) {
    return new Promise((resolve) => {
      const request = get({ host: ip, port: ports.readiness, path: '/api/readiness', timeout: 500 }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    })
  }

  return {
    folder,
    ports,
    machines,
    start,
    frontMachines: () => [...machines.values()].filter(({ machineClass }) => machineClass === 'front'),
    controlAddresses: () => [...machines.values()].filter(({ machineClass }) => machineClass === 'core').map(({ ip }) => ({ host: ip, port: ports.control })),
    startAll: () => {
      for (const node of machines.keys()) start(node)
      isFirstStart = false
    },
    waitUntilReady: async (limitMs) => {
      const until = performance.now() + limitMs
      while (performance.now() < until) {
        const ready = await Promise.all([...machines.values()].filter(({ machineClass }) => machineClass === 'front').map(isReady))
        if (ready.every(Boolean)) return true
        await pause(200)
      }
      return false
    },
    /** Kills all processes that this fleet has started and removes its folder. */
    end: async () => {
      const ends = [...machines.values()].filter(({ process }) => process !== null).map(({ process: child }) => new Promise((resolve) => {
        child.once('exit', resolve)
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      }))
      await Promise.all(ends)
      if (process.env.KEEP_FOLDER === undefined) rmSync(folder, { recursive: true, force: true })
    }
  }
}
