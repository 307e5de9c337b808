import type { ChildProcess } from 'node:child_process'
import type { Random } from '../src/utils/create-random.js'
import type { GroupMember } from '../stand-ins/platform/group-member.js'
import type { WireGroup } from '../stand-ins/platform/wire-group.js'
import type { DatabaseAnnouncer } from './database-announcer.js'
import type { Fleet, InstanceProcess, Role } from './fleet.js'
import type { LoopbackProxy, ProxyMode } from './loopback-proxy.js'

/** Targets of the faults, and what the schedule needs to choose and report them. */
export interface ScheduleTargets {
  random: Random
  fleet: Fleet
  groups: readonly WireGroup[]
  /** Proxies in front of databases and of the authority. */
  proxies: readonly LoopbackProxy[]
  proxyOf: (member: GroupMember) => LoopbackProxy | undefined
  /** Maximum number of control instances that have a fault at the same time. */
  toleratedControls: number
  announcer: DatabaseAnnouncer
  /** Databases that stay away until the faults end; one of a group at most. */
  lostForGood: Set<GroupMember>
  /** Called when a database has taken the place of one that ended as planned, before it is announced. */
  onSucceeded: (ended: GroupMember, successor: GroupMember) => void
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
/** Databases of a group that may have a fault at the same time. */
const MAX_DISTURBED_MEMBERS = 2
const LOSS_FOR_GOOD_SHARE = 0.1
/** Longer than all faults, so that a database that is lost for good comes back only to be compared with the others. */
const FOR_GOOD_MS = 3_600_000
/** Time from the end of a database to the start of its successor, in milliseconds. */
const SUCCESSOR_MS = 600
/** Target of the loss of all control instances. */
const ALL_CONTROLS = Symbol('all control instances')
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

interface ChosenFault {
  target: unknown
  fault: Fault
}

/** @returns a random target without a fault, and a fault for it; null if no other target of the drawn kind may have a fault now */
function chooseFault (targets: ScheduleTargets, disturbedTargets: ReadonlySet<unknown>): ChosenFault | null {
  const { random, fleet, proxies } = targets
  const kind = random()
  if (kind < 0.45) {
    const role: Role = random() < 0.5 ? 'entry' : 'control'
    const sameRole = fleet.instances.filter((instance) => instance.role === role)
    const disturbedCount = sameRole.filter((instance) => disturbedTargets.has(instance)).length
    if (disturbedCount >= (role === 'control' ? targets.toleratedControls : sameRole.length - 1)) return null
    const instance = pick(random, sameRole.filter((candidate) => !disturbedTargets.has(candidate)))
    return instance === undefined ? null : { target: instance, fault: createProcessFault(random, fleet, instance) }
  }
  if (kind < 0.52) return disturbedTargets.has(ALL_CONTROLS) ? null : { target: ALL_CONTROLS, fault: createControlLoss(fleet) }
  if (kind < 0.77) return chooseDatabaseFault(targets, disturbedTargets)
  const proxy = pick(random, proxies.filter((candidate) => !disturbedTargets.has(candidate)))
  return proxy === undefined ? null : { target: proxy, fault: createProxyFault(random, proxy) }
}

const isRunning = (child: ChildProcess | null): boolean => child?.exitCode === null && child.signalCode === null

/** Kills all control instances at once. Their disks remain. */
function createControlLoss (fleet: Fleet): Fault {
  const controls = fleet.instances.filter(({ role }) => role === 'control')
  const killed = new Map<InstanceProcess, ChildProcess | null>()
  return {
    name: 'kill all control instances',
    begin: () => {
      for (const control of controls) {
        killed.set(control, control.process)
        fleet.signal(control, 'SIGKILL')
      }
    },
    end: async () => {
      // Another fault may have started one of them again.
      for (const [control, killedProcess] of killed) {
        for (let waits = 0; isRunning(killedProcess) && waits < 100; waits++) await pause(20)
        if (control.process === null) fleet.start(control)
      }
    },
    durationMs: [100, 900]
  }
}

function chooseDatabaseFault (targets: ScheduleTargets, disturbedTargets: ReadonlySet<unknown>): ChosenFault | null {
  const { random, groups } = targets
  const group = pick(random, groups)
  if (group === undefined) return null
  const members = group.members.filter(({ hasEnded }) => !hasEnded)
  const free = members.filter((member) => !disturbedTargets.has(member))
  if (members.length - free.length >= MAX_DISTURBED_MEMBERS) return null
  const primary = group.primary()
  const member = random() < 0.5 && free.includes(primary) ? primary : pick(random, free)
  if (member === undefined) return null
  const isForGood = random() < LOSS_FOR_GOOD_SHARE && !members.some((other) => targets.lostForGood.has(other))
  if (isForGood) targets.lostForGood.add(member)
  const isCrash = isForGood || random() < 0.5
  return { target: member, fault: isCrash ? createCrash(targets, group, member, isForGood) : createDatabaseFault(targets, group, member) }
}

/** Ends a database without a word. Its address refuses connections, or takes them without an answer, like that of a lost machine. */
function createCrash ({ random, proxyOf }: ScheduleTargets, group: WireGroup, member: GroupMember, isForGood: boolean): Fault {
  const refusing = random() < 0.5 ? proxyOf(member) : undefined
  return {
    name: `crash ${member.id}${refusing === undefined ? '' : ', connections refused'}${isForGood ? ', for good' : ''}`,
    begin: () => {
      group.crash(member)
      refusing?.refuse()
    },
    end: async () => {
      await refusing?.accept()
      await group.restart(member)
    },
    durationMs: isForGood ? [FOR_GOOD_MS, FOR_GOOD_MS] : [500, 3000]
  }
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

function createDatabaseFault ({ random, announcer, onSucceeded }: ScheduleTargets, group: WireGroup, member: GroupMember): Fault {
  if (random() < 0.5) return { name: `replication to ${member.id} stops`, begin: () => { member.isCutOff = true }, end: () => { member.isCutOff = false }, durationMs: [300, 3000] }
  return {
    name: `replace ${member.id} as planned`,
    begin: () => { announcer.drain(member) },
    end: async () => {
      await announcer.deregister(group, member)
      if (member.isUp) group.crash(member)
      await pause(SUCCESSOR_MS)
      const successor = await group.succeed(member, `${member.id}n`)
      onSucceeded(member, successor)
      announcer.start(group, successor)
    },
    durationMs: [800, 3000]
  }
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
