import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

export type Role = 'entry' | 'control'

/** One instance of the deployment. It runs as its own process on its own loopback address. */
export interface InstanceProcess {
  readonly name: string
  readonly role: Role
  readonly host: string
  readonly failureDomain: string
  /** Null while no process runs. */
  process: ChildProcess | null
  /** Whether the instance is supposed to run. If its process exits while this is true, the exit is unexpected. */
  shouldRun: boolean
  /** Time at which the process received SIGTERM, in milliseconds since the Unix epoch; null while it is not stopping. */
  stoppingSince: number | null
}

/** A planned stop of an instance, from SIGTERM on. Times are in milliseconds since the Unix epoch. */
export interface PlannedStop {
  host: string
  signalledAt: number
  /** Null while the process runs. */
  exitedAt: number | null
  /** Signal that ended the process; null when it exited by itself. */
  endedBy: string | null
}

export interface FleetOptions {
  /** Folder for settings, data and logs. */
  folder: string
  entries: number
  controls: number
  failureDomains: number
  /** Second byte of all loopback addresses. Fleets that run at the same time need different values. */
  network: number
  /** Address of the authority that carries out promotions. */
  authority: string
  /** Additional settings of every instance. */
  settings?: Record<string, unknown>
  /** File of the program that the instances run. Default: the bundle that the deploy file starts. */
  program?: string
  /** Command-line arguments of Node.js itself. */
  nodeArguments?: readonly string[]
}

/** Ports of the instances. Each instance listens on its own loopback address. */
export const ports = { callers: 8465, readiness: 8460, registry: 8462, internal: 7560, metrics: 7575 }

/** The processes of all instances. Only this program starts and stops them. */
export interface Fleet {
  readonly instances: readonly InstanceProcess[]
  start: (instance: InstanceProcess) => void
  /** Sends a signal to the process of an instance. After SIGTERM or SIGKILL its exit is expected. */
  signal: (instance: InstanceProcess, signal: NodeJS.Signals) => void
  /** Planned stops in the order of their SIGTERM. */
  readonly stops: readonly PlannedStop[]
  /** @returns names of instances whose process exited unexpectedly, each with its exit code or signal */
  listUnexpectedExits: () => readonly string[]
  /** Kills all processes and waits up to 3 s for their exits. */
  stop: () => Promise<void>
}

const STOP_TIMEOUT_MS = 3000

/** Plans the instances of a deployment. No process runs until `start` is called. */
export function createFleet (options: FleetOptions): Fleet {
  const { folder, network } = options
  const unexpectedExits: string[] = []
  const stops: PlannedStop[] = []
  let isFirstStart = true
  const instances: InstanceProcess[] = []
  for (let index = 0; index < options.controls + options.entries; index++) {
    const role: Role = index < options.controls ? 'control' : 'entry'
    const number = role === 'control' ? index : index - options.controls
    instances.push({ name: `${role}-${number + 1}`, role, host: `127.${network}.${role === 'control' ? 1 : 2}.${number + 1}`, failureDomain: `domain-${number % options.failureDomains}`, process: null, shouldRun: false, stoppingSince: null })
  }
  const seeds = instances.filter(({ role }) => role === 'control').slice(0, 3).map(({ host }) => `${host}:${ports.registry}`)

  function buildSettings ({ name, role, host, failureDomain }: InstanceProcess): object {
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

  function start (instance: InstanceProcess): void {
    const file = join(folder, `${instance.name}.json`)
    mkdirSync(join(folder, `data-${instance.name}`), { recursive: true })
    writeFileSync(file, JSON.stringify(buildSettings(instance)))
    const child = spawn(process.execPath, [...options.nodeArguments ?? [], options.program ?? 'target/catkinrelay-platform.cjs', instance.role], { env: { PATH: process.env.PATH, CATKINRELAY_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(folder, `${instance.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    instance.process = child
    instance.shouldRun = true
    instance.stoppingSince = null
    child.on('exit', (code, signal) => {
      const stop = stops.find(({ host, exitedAt }) => host === instance.host && exitedAt === null)
      if (stop !== undefined) Object.assign(stop, { exitedAt: Date.now(), endedBy: signal })
      if (instance.process === child) instance.process = null
      if (instance.shouldRun && instance.process === null) unexpectedExits.push(`${instance.name}: ${code ?? signal ?? ''}`)
    })
  }

  function signal (instance: InstanceProcess, name: NodeJS.Signals): void {
    if (name === 'SIGTERM' && instance.process !== null && instance.stoppingSince === null) {
      instance.stoppingSince = Date.now()
      stops.push({ host: instance.host, signalledAt: instance.stoppingSince, exitedAt: null, endedBy: null })
    }
    if (name === 'SIGTERM' || name === 'SIGKILL') instance.shouldRun = false
    instance.process?.kill(name)
  }

  async function stop (): Promise<void> {
    const running = instances.filter((instance) => instance.process !== null)
    for (const instance of running) signal(instance, 'SIGKILL')
    const until = Date.now() + STOP_TIMEOUT_MS
    while (instances.some((instance) => instance.process !== null) && Date.now() < until) await new Promise((resolve) => { setTimeout(resolve, 20) })
  }

  return {
    instances,
    start: (instance) => {
      start(instance)
      // Once every instance runs, each later start is a restart, and no longer part of the first start of the deployment.
      if (instances.every(({ process }) => process !== null)) isFirstStart = false
    },
    signal,
    stops,
    listUnexpectedExits: () => unexpectedExits,
    stop
  }
}
