import type { Random } from '../src/utils/create-random.js'
import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import type { Fleet, Machine, Role } from './fleet.js'
import type { LoopbackProxy, ProxyMode } from './loopback-proxy.js'

export interface ScheduleTargets {
  random: Random
  fleet: Fleet
  groups: readonly WireGroup[]
  /** Proxies in front of databases and of the authority. */
  proxies: readonly LoopbackProxy[]
  /** Control processes that may be away at once. */
  toleratedControls: number
  /** Called with a line for each fault. */
  onFault: (fault: string) => void
}

/** A fault, and how it ends. */
interface Fault {
  name: string
  begin: () => void
  end: () => void | Promise<void>
  /** Shortest and longest time in milliseconds. */
  durationMs: [number, number]
}

/** Pause between the begins of two faults, on average, in milliseconds: most last longer, so that they overlap. */
const GAP_MS = 700
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Plays faults one after the other and over one another, until the time is over; then all of them end. */
export async function playSchedule (targets: ScheduleTargets, durationMs: number): Promise<void> {
  const { random } = targets
  const disturbed = new Set<unknown>()
  const running: Promise<void>[] = []
  const until = Date.now() + durationMs

  async function play (target: unknown, { name, begin, end, durationMs: [shortest, longest] }: Fault): Promise<void> {
    disturbed.add(target)
    const lasts = Math.round(shortest + random() * (longest - shortest))
    targets.onFault(`${name} for ${lasts} ms`)
    begin()
    await pause(Math.min(lasts, Math.max(0, until - Date.now())))
    await end()
    disturbed.delete(target)
  }

  while (Date.now() < until) {
    await pause(random() * GAP_MS * 2)
    const chosen = chooseFault(targets, disturbed)
    if (chosen !== null) running.push(play(chosen.target, chosen.fault))
  }
  await Promise.all(running)
}

function pick<Item> (random: Random, items: readonly Item[]): Item | undefined {
  return items[Math.floor(random() * items.length)]
}

function chooseFault (targets: ScheduleTargets, disturbed: ReadonlySet<unknown>): { target: unknown, fault: Fault } | null {
  const { random, fleet, groups, proxies } = targets
  const kind = random()
  if (kind < 0.5) {
    const role: Role = random() < 0.5 ? 'entry' : 'control'
    const alike = fleet.machines.filter((machine) => machine.role === role)
    const away = alike.filter((machine) => disturbed.has(machine)).length
    if (away >= (role === 'control' ? targets.toleratedControls : alike.length - 1)) return null
    const machine = pick(random, alike.filter((candidate) => !disturbed.has(candidate)))
    return machine === undefined ? null : { target: machine, fault: processFault(random, fleet, machine) }
  }
  if (kind < 0.7) {
    const group = pick(random, groups.filter((candidate) => !disturbed.has(candidate)))
    return group === undefined ? null : { target: group, fault: databaseFault(random, group) }
  }
  const proxy = pick(random, proxies.filter((candidate) => !disturbed.has(candidate)))
  return proxy === undefined ? null : { target: proxy, fault: pathFault(random, proxy) }
}

function processFault (random: Random, fleet: Fleet, machine: Machine): Fault {
  const { name } = machine
  const kind = random()
  const startAgain = (): void => { if (machine.process === null) fleet.start(machine) }
  if (kind < 0.35) return { name: `kill ${name}`, begin: () => { fleet.signal(machine, 'SIGKILL') }, end: startAgain, durationMs: [300, 2500] }
  if (kind < 0.65) return { name: `freeze ${name}`, begin: () => { fleet.signal(machine, 'SIGSTOP') }, end: () => { fleet.signal(machine, 'SIGCONT') }, durationMs: [200, 3500] }
  if (kind < 0.9) {
    return {
      name: `stop ${name}`,
      begin: () => { fleet.signal(machine, 'SIGTERM') },
      end: async () => {
        for (let waits = 0; machine.process !== null && waits < 100; waits++) await pause(50)
        if (machine.process !== null) fleet.signal(machine, 'SIGKILL')
        for (let waits = 0; machine.process !== null && waits < 100; waits++) await pause(20)
        startAgain()
      },
      durationMs: [1000, 2500]
    }
  }
  return { name: `reload ${name}`, begin: () => { fleet.signal(machine, 'SIGHUP') }, end: () => {}, durationMs: [10, 100] }
}

function databaseFault (random: Random, group: WireGroup): Fault {
  const kind = random()
  const primary = group.primary()
  const member = kind < 0.5 ? primary : pick(random, group.members.filter((other) => other !== primary)) ?? primary
  if (kind < 0.75) return { name: `crash ${member.id}`, begin: () => { group.crash(member) }, end: async () => { await group.restart(member) }, durationMs: [500, 3000] }
  return { name: `replication to ${member.id} stops`, begin: () => { member.isCut = true }, end: () => { member.isCut = false }, durationMs: [300, 3000] }
}

function pathFault (random: Random, proxy: LoopbackProxy): Fault {
  const mode = pick<ProxyMode | 'reset'>(random, ['slow', 'silent', 'deaf', 'reset']) ?? 'reset'
  if (mode === 'reset') return { name: `reset connections to ${proxy.address}`, begin: () => { proxy.reset() }, end: () => {}, durationMs: [10, 100] }
  return {
    name: `${mode} path to ${proxy.address}`,
    begin: () => { proxy.mode = mode },
    end: () => {
      proxy.mode = 'forward'
      if (mode !== 'slow') proxy.reset()
    },
    durationMs: [300, 3000]
  }
}
