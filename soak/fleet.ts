import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

export type Role = 'entry' | 'control'

/** One program of the deployment, as its own process on its own loopback address. */
export interface Machine {
  readonly name: string
  readonly role: Role
  readonly host: string
  readonly failureDomain: string
  process: ChildProcess | null
  /** Whether the schedule wants it to run; a process that ends while this holds ended by itself. */
  wanted: boolean
}

export interface FleetOptions {
  /** Folder of settings, data and logs. */
  folder: string
  entries: number
  controls: number
  failureDomains: number
  /** Second byte of all loopback addresses, so that fleets beside each other do not meet. */
  network: number
  /** Address of the authority that names primaries. */
  authority: string
  /** Further settings of every process. */
  settings?: Record<string, unknown>
  /** Arguments of Node itself. */
  nodeArguments?: readonly string[]
}

export const ports = { callers: 8465, readiness: 8460, registry: 8462, internal: 7560, metrics: 7575 }

/** Processes that are started by this program, and ended by it alone. */
export interface Fleet {
  readonly machines: readonly Machine[]
  start: (machine: Machine) => void
  /** Sends a signal; SIGTERM and SIGKILL also mean that the process is no longer wanted. */
  signal: (machine: Machine, signal: NodeJS.Signals) => void
  /** @returns names of processes that ended although they were wanted, with their exit codes */
  endedByThemselves: () => readonly string[]
  stop: () => Promise<void>
}

/** Exit of the last process is waited for this long, in milliseconds. */
const STOP_WAIT_MS = 3000

/** Writes settings and starts nothing yet. */
export function createFleet (options: FleetOptions): Fleet {
  const { folder, network } = options
  const ended: string[] = []
  let isFirstStart = true
  const machines: Machine[] = []
  for (let index = 0; index < options.controls + options.entries; index++) {
    const role: Role = index < options.controls ? 'control' : 'entry'
    const number = role === 'control' ? index : index - options.controls
    machines.push({ name: `${role}-${number + 1}`, role, host: `127.${network}.${role === 'control' ? 1 : 2}.${number + 1}`, failureDomain: `domain-${number % options.failureDomains}`, process: null, wanted: false })
  }
  const seeds = machines.filter(({ role }) => role === 'control').slice(0, 3).map(({ host }) => `${host}:${ports.registry}`)

  function settingsOf ({ name, role, host, failureDomain }: Machine): object {
    return {
      instance: name,
      failureDomain,
      host,
      internalPorts: [ports.internal, ports.metrics],
      seeds,
      ...(role === 'entry' ? { callers: `${host}:${ports.callers}`, readiness: `${host}:${ports.readiness}` } : { registry: `${host}:${ports.registry}`, dataFolder: join(folder, `data-${name}`) }),
      authority: options.authority,
      isFirstStart,
      toleratedInstances: Math.floor((options.controls - 1) / 2),
      stopLimitSeconds: 4,
      ...options.settings
    }
  }

  function start (machine: Machine): void {
    const file = join(folder, `${machine.name}.json`)
    mkdirSync(join(folder, `data-${machine.name}`), { recursive: true })
    writeFileSync(file, JSON.stringify(settingsOf(machine)))
    const child = spawn(process.execPath, [...options.nodeArguments ?? [], 'target/catkinrelay-platform.cjs', machine.role], { env: { PATH: process.env.PATH, CATKINRELAY_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(folder, `${machine.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    machine.process = child
    machine.wanted = true
    child.on('exit', (code, signal) => {
      if (machine.process === child) machine.process = null
      if (machine.wanted && machine.process === null) ended.push(`${machine.name}: ${code ?? signal ?? ''}`)
    })
  }

  function signal (machine: Machine, name: NodeJS.Signals): void {
    if (name === 'SIGTERM' || name === 'SIGKILL') machine.wanted = false
    machine.process?.kill(name)
  }

  async function stop (): Promise<void> {
    const running = machines.filter((machine) => machine.process !== null)
    for (const machine of running) signal(machine, 'SIGKILL')
    const until = Date.now() + STOP_WAIT_MS
    while (machines.some((machine) => machine.process !== null) && Date.now() < until) await new Promise((resolve) => { setTimeout(resolve, 20) })
  }

  return {
    machines,
    start: (machine) => {
      start(machine)
      // The first start of the deployment ends when one process starts again.
      if (machines.every(({ process }) => process !== null)) isFirstStart = false
    },
    signal,
    endedByThemselves: () => ended,
    stop
  }
}
