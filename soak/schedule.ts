import type { Random } from '../src/utils/create-random.js'
import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import type { Fleet, InstanceProcess, Role } from './fleet.js'
import type { LoopbackProxy, ProxyMode } from './loopback-proxy.js'

/** Targets of the faults, and what the schedule needs to choose and report them. */
export interface ScheduleTargets {
  random: Random
  fleet: Fleet
  groups: readonly WireGroup[]
  /** Proxies in front of databases and of the authority. */
  proxies: readonly LoopbackProxy[]
  /** Maximum number of control instances that have a fault at the same time. */
  toleratedControls: number
  /** Called with a description of each fault when it begins. */
  onFault: (fault: string) => void
}

/** Time during which a fault was in force, in milliseconds since the Unix epoch. */
export interface Disturbance {
  from: number
  until: number
}

/** A fault. `begin` injects it and `end` undoes it. */
interface Fault {
  name: string
  /** Whether it belongs to the operation of the system, as a stop or a reload does. */
  isPlanned?: boolean
  begin: () => void
  end: () => void | Promise<void>
  /** Minimum and maximum duration in milliseconds. */
  durationMs: [number, number]
}

/** Mean pause between the starts of two faults. Most faults last longer, so that they overlap. */
const MEAN_PAUSE_MS = 700
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Injects random, overlapping faults for `durationMs` milliseconds. Resolves with the unplanned ones when all have ended. */
export async function runSchedule (targets: ScheduleTargets, durationMs: number): Promise<Disturbance[]> {
  const { random } = targets
  const disturbedTargets = new Set<unknown>()
  const runningFaults: Promise<void>[] = []
  const disturbances: Disturbance[] = []
  const endsAt = Date.now() + durationMs

  async function runFault (target: unknown, { name, isPlanned, begin, end, durationMs: [shortest, longest] }: Fault): Promise<void> {
    disturbedTargets.add(target)
    const faultMs = Math.round(shortest + random() * (longest - shortest))
    targets.onFault(`${name} for ${faultMs} ms`)
    const from = Date.now()
    begin()
    await pause(Math.min(faultMs, Math.max(0, endsAt - Date.now())))
    await end()
    if (isPlanned !== true) disturbances.push({ from, until: Date.now() })
    disturbedTargets.delete(target)
  }

  while (Date.now() < endsAt) {
    await pause(random() * MEAN_PAUSE_MS * 2)
    const chosen = chooseFault(targets, disturbedTargets)
    if (chosen !== null) runningFaults.push(runFault(chosen.target, chosen.fault))
  }
  await Promise.all(runningFaults)
  return disturbances
}

function pick<Item> (random: Random, items: readonly Item[]): Item | undefined {
  return items[Math.floor(random() * items.length)]
}

/** @returns a random target without a fault, and a fault for it; null if no other target of the drawn kind may have a fault now */
function chooseFault (targets: ScheduleTargets, disturbedTargets: ReadonlySet<unknown>): { target: unknown, fault: Fault } | null {
  const { random, fleet, groups, proxies } = targets
  const kind = random()
  if (kind < 0.5) {
    const role: Role = random() < 0.5 ? 'entry' : 'control'
    const sameRole = fleet.instances.filter((instance) => instance.role === role)
    const disturbedCount = sameRole.filter((instance) => disturbedTargets.has(instance)).length
    if (disturbedCount >= (role === 'control' ? targets.toleratedControls : sameRole.length - 1)) return null
    const instance = pick(random, sameRole.filter((candidate) => !disturbedTargets.has(candidate)))
    return instance === undefined ? null : { target: instance, fault: createProcessFault(random, fleet, instance) }
  }
  if (kind < 0.7) {
    const group = pick(random, groups.filter((candidate) => !disturbedTargets.has(candidate)))
    return group === undefined ? null : { target: group, fault: createDatabaseFault(random, group) }
  }
  const proxy = pick(random, proxies.filter((candidate) => !disturbedTargets.has(candidate)))
  return proxy === undefined ? null : { target: proxy, fault: createProxyFault(random, proxy) }
}

function createProcessFault (random: Random, fleet: Fleet, instance: InstanceProcess): Fault {
  const { name } = instance
  const kind = random()
  const restart = (): void => { if (instance.process === null) fleet.start(instance) }
  if (kind < 0.35) return { name: `kill ${name}`, begin: () => { fleet.signal(instance, 'SIGKILL') }, end: restart, durationMs: [300, 2500] }
  if (kind < 0.65) return { name: `freeze ${name}`, begin: () => { fleet.signal(instance, 'SIGSTOP') }, end: () => { fleet.signal(instance, 'SIGCONT') }, durationMs: [200, 3500] }
  if (kind < 0.9) {
    return {
      name: `stop ${name}`,
      isPlanned: true,
      begin: () => { fleet.signal(instance, 'SIGTERM') },
      end: async () => {
        for (let waits = 0; instance.process !== null && waits < 100; waits++) await pause(50)
        if (instance.process !== null) fleet.signal(instance, 'SIGKILL')
        for (let waits = 0; instance.process !== null && waits < 100; waits++) await pause(20)
        restart()
      },
      durationMs: [1000, 2500]
    }
  }
  return { name: `reload ${name}`, isPlanned: true, begin: () => { fleet.signal(instance, 'SIGHUP') }, end: () => {}, durationMs: [10, 100] }
}

function createDatabaseFault (random: Random, group: WireGroup): Fault {
  const kind = random()
  const primary = group.primary()
  const member = kind < 0.5 ? primary : pick(random, group.members.filter((other) => other !== primary)) ?? primary
  if (kind < 0.75) return { name: `crash ${member.id}`, begin: () => { group.crash(member) }, end: async () => { await group.restart(member) }, durationMs: [500, 3000] }
  return { name: `replication to ${member.id} stops`, begin: () => { member.isCutOff = true }, end: () => { member.isCutOff = false }, durationMs: [300, 3000] }
}

function createProxyFault (random: Random, proxy: LoopbackProxy): Fault {
  const mode = pick<ProxyMode | 'reset'>(random, ['slow', 'silent', 'deaf', 'partition', 'reset']) ?? 'reset'
  if (mode === 'reset') return { name: `reset connections to ${proxy.address}`, begin: () => { proxy.reset() }, end: () => {}, durationMs: [10, 100] }
  return {
    name: `${mode} path to ${proxy.address}`,
    begin: () => { proxy.mode = mode },
    end: () => {
      proxy.mode = 'forward'
      if (mode === 'silent' || mode === 'deaf') proxy.reset()
    },
    durationMs: [300, 3000]
  }
}
