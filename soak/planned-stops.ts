import type { Random } from '../src/utils/create-random.js'
import type { Fleet, InstanceProcess } from './fleet.js'

/** Options of the planned stops. */
export interface PlannedStopsOptions {
  random: Random
  fleet: Fleet
  /** Time between SIGTERM and SIGKILL in milliseconds. */
  stopLimitMs: number
  /** Called with a description of each signal and start. */
  onEvent: (event: string) => void
}

/** Longest pause between two stops, and between the exit of a process and its next start, in milliseconds. */
const MAX_PAUSE_MS = 1500
/** Shares of the stops with a second SIGTERM, with a SIGHUP beside them, and with another SIGTERM right after the next start. */
const SECOND_SIGTERM_SHARE = 0.15
const SIGHUP_SHARE = 0.2
const EARLY_SIGTERM_SHARE = 0.15
/** Longest time from a start to an early SIGTERM, in milliseconds. It covers the start of Node.js and of the program. */
const MAX_EARLY_MS = 800
const POLL_INTERVAL_MS = 20
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/**
 * Stops and restarts entry instances as the platform does it, for `durationMs` milliseconds: in series or overlapping, as the seed draws it, and
 * never all at the same time. Resolves when the last stop has ended and its instance has been started again.
 */
export async function playPlannedStops ({ random, fleet, stopLimitMs, onEvent }: PlannedStopsOptions, durationMs: number): Promise<void> {
  const entries = fleet.instances.filter(({ role }) => role === 'entry')
  const maxConcurrent = Math.max(1, [1, Math.floor(entries.length / 2), entries.length - 1][Math.floor(random() * 3)] as number)
  const endsAt = Date.now() + durationMs
  const stopping = new Set<InstanceProcess>()
  const running: Promise<void>[] = []

  function signal (instance: InstanceProcess, name: NodeJS.Signals): void {
    onEvent(`${name} to ${instance.name}`)
    fleet.signal(instance, name)
  }

  function start (instance: InstanceProcess): void {
    onEvent(`start of ${instance.name}`)
    fleet.start(instance)
  }

  async function stop (instance: InstanceProcess): Promise<void> {
    const child = instance.process
    const killAt = Date.now() + stopLimitMs
    signal(instance, 'SIGTERM')
    const extra = random()
    if (extra < SECOND_SIGTERM_SHARE + SIGHUP_SHARE) {
      const name = extra < SECOND_SIGTERM_SHARE ? 'SIGTERM' : 'SIGHUP'
      setTimeout(() => { if (instance.process === child) signal(instance, name) }, random() * stopLimitMs / 2)
    }
    while (instance.process !== null && Date.now() < killAt) await pause(POLL_INTERVAL_MS)
    if (instance.process !== null) signal(instance, 'SIGKILL')
    while (instance.process !== null) await pause(POLL_INTERVAL_MS)
    await pause(random() * MAX_PAUSE_MS)
    start(instance)
    if (random() >= EARLY_SIGTERM_SHARE) return
    await pause(random() * MAX_EARLY_MS)
    await stop(instance)
  }

  while (Date.now() < endsAt) {
    const candidates = entries.filter((entry) => !stopping.has(entry) && entry.process !== null)
    const entry = candidates[Math.floor(random() * candidates.length)]
    if (entry !== undefined && stopping.size < maxConcurrent) {
      stopping.add(entry)
      running.push(stop(entry).then(() => { stopping.delete(entry) }))
    }
    await pause(random() * MAX_PAUSE_MS)
  }
  await Promise.all(running)
}
