import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Announcement, DatabaseStatus } from '../../src/types/database-status.js'
import { address, type Address } from '../../src/types/ids.js'
import { createAnnouncer } from './announcer.js'
import { createDatabaseCore, type DatabaseCore } from './database-core.js'
import { createFaultSwitches, type FaultSwitches } from './fault-switches.js'
import type { AppliedWrite } from './history.js'
import type { LogEntry } from './log-state.js'
import { resolveDatabaseStandInOptions, type DatabaseStandInOptions } from './options.js'
import type { SlotCounts } from './slots.js'
import { serveConnection, type ConnectionCounter } from './startup.js'
import { createWire, type Wire } from './wire.js'

export interface StandInCounts {
  slots: SlotCounts
  openConnections: number
  highestConnections: number
  totalConnections: number
  /** Answers to batches or simple queries, without those to status calls alone. */
  answers: number
}

/** A database that speaks the PostgreSQL protocol and replicates within its group. */
export interface DatabaseStandIn {
  /** Known from the first start on; stays the same over restarts. */
  address: () => Address
  /**
   * Listens and replicates. Log, term and fence are those before the stop.
   * @param options - `empty`: forgets all of them and waits for an order to follow
   */
  start: (options?: { empty?: boolean }) => Promise<void>
  /** Ends all connections at once; open transactions are rolled back. */
  stop: () => Promise<void>
  status: () => DatabaseStatus
  setDeparting: (departing: boolean) => void
  counts: () => StandInCounts
  /** @returns applied writes, oldest first; empty unless `recordHistory` is set */
  history: () => readonly AppliedWrite[]
  /** @returns the replicated log */
  log: () => readonly LogEntry[]
  /** @returns the committed value of a key */
  value: (workspace: string, key: string) => string | null
  /** @returns the committed entries of a key, in order */
  entries: (workspace: string, key: string) => readonly string[]
  readonly faults: FaultSwitches
}

function announcementOf (core: DatabaseCore, ownAddress: Address, departing: boolean): Announcement {
  const { database, group, failureDomain } = core.options
  return { database, group, address: ownAddress, failureDomain, departing, status: core.status() }
}

/** @returns a stand-in that was not started yet */
export function createDatabaseStandIn (options: DatabaseStandInOptions): DatabaseStandIn {
  const resolved = resolveDatabaseStandInOptions(options)
  const core = createDatabaseCore(resolved)
  const counter: ConnectionCounter = { open: 0, highest: 0, total: 0 }
  const wires = new Set<Wire>()
  let server: Server | null = null
  let port = resolved.port
  let departing = false
  let firstStart = true

  const ownAddress = (): Address => address(`${resolved.host}:${port}`)
  const isCutOff = (): boolean => core.conditions.frozen || core.conditions.dropped.has('client')
  const announcer = resolved.announcements === null
    ? null
    : createAnnouncer(resolved.announcements, () => announcementOf(core, ownAddress(), departing), isCutOff)

  let announcedRole = ''
  core.onChange(() => {
    const role = `${core.log.role()} ${core.log.term()} ${core.log.fencedTerm()}`
    if (role === announcedRole) return
    announcedRole = role
    announcer?.announceNow()
  })

  function serve (socket: Socket): void {
    const wire = createWire(socket, 'client', core.conditions)
    wires.add(wire)
    wire.onEnd(() => { wires.delete(wire) })
    serveConnection(core, wire, counter)
  }

  async function listen (): Promise<void> {
    const listening = createServer(serve)
    await new Promise<void>((resolve, reject) => {
      listening.once('error', reject)
      listening.listen(port, resolved.host, resolve)
    })
    server = listening
    port = (listening.address() as AddressInfo).port
  }

  async function takeFirstRole (): Promise<void> {
    firstStart = false
    if (resolved.firstPrimary === 'self') {
      core.log.fence(resolved.firstTerm)
      core.promote(resolved.firstTerm)
    } else if (resolved.firstPrimary !== null) {
      await core.follow(resolved.firstTerm, resolved.firstPrimary)
    }
  }

  async function start ({ empty = false }: { empty?: boolean } = {}): Promise<void> {
    if (server !== null) return
    core.restart(empty)
    if (empty) core.receiver.stop()
    await listen()
    if (firstStart && !empty) await takeFirstRole()
    else core.receiver.resume()
    firstStart = false
    announcer?.start()
  }

  async function stop (): Promise<void> {
    const stopping = server
    if (stopping === null) return
    server = null
    announcer?.stop()
    core.receiver.suspend()
    for (const wire of wires) wire.destroy()
    await new Promise<void>((resolve) => stopping.close(() => resolve()))
  }

  return {
    address: ownAddress,
    start,
    stop,
    status: core.status,
    setDeparting: (next) => {
      departing = next
      announcer?.announceNow()
    },
    counts: () => ({ slots: core.slots.counts(), openConnections: counter.open, highestConnections: counter.highest, totalConnections: counter.total, answers: core.faults.answers() }),
    history: () => core.history?.list() ?? [],
    log: () => core.log.entriesAfter(0, core.log.position().offset),
    value: (workspace, key) => core.log.data().value(workspace, key),
    entries: (workspace, key) => core.log.data().entries(workspace, key),
    faults: createFaultSwitches(core, wires)
  }
}
