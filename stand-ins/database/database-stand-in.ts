import { createServer, type Server, type Socket } from 'node:net'
import type { Announcement, DatabaseStatus } from '../../src/types/database-status.js'
import { address, type Address } from '../../src/types/ids.js'
import { reservePort } from '../network/reserve-ports.js'
import { createAnnouncer } from './announcer.js'
import { createDatabaseCore, type DatabaseCore } from './database-core.js'
import { createFaultSwitches, type FaultSwitches } from './fault-switches.js'
import type { AppliedWrite } from './history.js'
import type { LogEntry } from './log-state.js'
import { resolveDatabaseStandInOptions, type DatabaseStandInOptions } from './options.js'
import type { SlotCounts } from './slots.js'
import { serveConnection, type ConnectionCounter } from './startup.js'
import { createWire, type Wire } from './wire.js'

/** Load of a stand-in since it was created. */
export interface StandInCounts {
  slots: SlotCounts
  openConnections: number
  /** Highest number of client connections that were open at the same time. */
  highestConnections: number
  totalConnections: number
  /** Answers to batches and simple queries that ran anything other than functions of the schema `catkinrelay`. */
  answers: number
}

/** Simulated database that speaks the PostgreSQL protocol and replicates within its group. */
export interface DatabaseStandIn {
  /** @returns the listening address; valid after the first start and the same after restarts */
  address: () => Address
  /**
   * Opens the listening port and begins to replicate. Log, term and fence are those from before the last stop.
   * @param options - `empty`: discards log, term and fence, and waits for an order to follow
   */
  start: (options?: { empty?: boolean }) => Promise<void>
  /** Closes all connections at once. Open transactions are rolled back. */
  stop: () => Promise<void>
  status: () => DatabaseStatus
  /** Changes whether announcements mark the database as departing, and announces it at once. */
  setDeparting: (departing: boolean) => void
  counts: () => StandInCounts
  /** @returns writes that this database applied as primary, oldest first; empty unless `recordHistory` is set */
  history: () => readonly AppliedWrite[]
  /** @returns the replicated log */
  log: () => readonly LogEntry[]
  /** @returns the committed value of a key, or null when it has none */
  value: (workspace: string, key: string) => string | null
  /** @returns the committed entries of a key, in order */
  entries: (workspace: string, key: string) => readonly string[]
  readonly faults: FaultSwitches
}

function buildAnnouncement (core: DatabaseCore, ownAddress: Address, departing: boolean): Announcement {
  const { database, group, failureDomain } = core.options
  return { database, group, address: ownAddress, failureDomain, departing, status: core.status() }
}

/** @returns a stand-in that listens once `start` is called */
export function createDatabaseStandIn (options: DatabaseStandInOptions): DatabaseStandIn {
  const resolvedOptions = resolveDatabaseStandInOptions(options)
  const core = createDatabaseCore(resolvedOptions)
  const counter: ConnectionCounter = { open: 0, highest: 0, total: 0 }
  const wires = new Set<Wire>()
  let server: Server | null = null
  let port = resolvedOptions.port
  let isDeparting = false
  let isFirstStart = true

  const ownAddress = (): Address => address(`${resolvedOptions.host}:${port}`)
  const isCutOff = (): boolean => core.conditions.isFrozen || core.conditions.dropped.has('client')
  const announcer = resolvedOptions.announcements === null
    ? null
    : createAnnouncer(resolvedOptions.announcements, () => buildAnnouncement(core, ownAddress(), isDeparting), isCutOff)

  let announcedState = ''
  core.onChange(() => {
    const state = `${core.log.role()} ${core.log.term()} ${core.log.fencedTerm()}`
    if (state === announcedState) return
    announcedState = state
    announcer?.announceNow()
  })

  function serveSocket (socket: Socket): void {
    const wire = createWire(socket, 'client', core.conditions)
    wires.add(wire)
    wire.onEnd(() => { wires.delete(wire) })
    serveConnection(core, wire, counter)
  }

  async function listen (): Promise<void> {
    // The port stays reserved until this process ends, since the stand-in can be started again after any stop.
    if (port === 0) port = (await reservePort(resolvedOptions.host)).port
    const newServer = createServer(serveSocket)
    await new Promise<void>((resolve, reject) => {
      newServer.once('error', reject)
      newServer.listen(port, resolvedOptions.host, resolve)
    })
    server = newServer
  }

  async function assumeFirstRole (): Promise<void> {
    isFirstStart = false
    if (resolvedOptions.firstPrimary === 'self') {
      core.log.fence(resolvedOptions.firstTerm)
      core.promote(resolvedOptions.firstTerm)
    } else if (resolvedOptions.firstPrimary !== null) {
      await core.follow(resolvedOptions.firstTerm, resolvedOptions.firstPrimary)
    }
  }

  async function start ({ empty = false }: { empty?: boolean } = {}): Promise<void> {
    if (server !== null) return
    core.restart(empty)
    if (empty) core.receiver.stop()
    await listen()
    if (isFirstStart && !empty) await assumeFirstRole()
    else core.receiver.resume()
    isFirstStart = false
    announcer?.start()
  }

  async function stop (): Promise<void> {
    const runningServer = server
    if (runningServer === null) return
    server = null
    announcer?.stop()
    core.receiver.suspend()
    for (const wire of wires) wire.destroy()
    await new Promise<void>((resolve) => runningServer.close(() => resolve()))
  }

  return {
    address: ownAddress,
    start,
    stop,
    status: core.status,
    setDeparting: (next) => {
      isDeparting = next
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
