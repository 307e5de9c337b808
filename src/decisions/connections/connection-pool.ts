import { addTime, milliseconds, type Clock, type Milliseconds } from '../../types/clock.js'
import type { ConnectionMode, ExecutorEffect } from '../../types/executor-message.js'
import { connectionId, type ConnectionId, type DatabaseId, type GroupId, type IncarnationId } from '../../types/ids.js'
import type { ConnectionTarget, PooledConnection } from './pooled-connection.js'

/** Connections of one executor to the databases of its group. Each has a mode, and belongs to one incarnation of its database. */
export interface ConnectionPool {
  /** Records that a new connection answered a status query, which makes it idle. @returns whether the connection is in the pool */
  markOpened: (id: ConnectionId, incarnation: IncarnationId) => boolean
  /** Removes a connection that could not be opened, and delays the next open to its database. */
  markOpenFailed: (id: ConnectionId) => void
  /** Removes a connection that has already ended. */
  remove: (id: ConnectionId) => void
  /** Makes an idle connection of this mode and incarnation busy. @returns the connection, or null when there is none */
  acquire: (database: DatabaseId, mode: ConnectionMode, incarnation: IncarnationId) => PooledConnection | null
  hasIdle: (database: DatabaseId, mode: ConnectionMode, incarnation: IncarnationId) => boolean
  /** Makes a busy connection idle again. It must be outside of any transaction. */
  release: (id: ConnectionId) => void
  /** Closes a connection and removes it from the pool. */
  discard: (id: ConnectionId) => void
  /** Closes connections that the targets do not allow. Called before idle connections are acquired. */
  closeDisallowed: (targets: readonly ConnectionTarget[]) => void
  /** Opens missing connections of the targets and closes surplus idle ones. Called after idle connections were acquired, so that the remaining ones are not needed now. */
  openWanted: (targets: readonly ConnectionTarget[]) => void
  /** @returns number of connections to a database in any state */
  count: (database: DatabaseId) => number
  /** @returns number of busy connections of a mode to a database */
  busyCount: (database: DatabaseId, mode: ConnectionMode) => number
}

export interface ConnectionPoolOptions {
  group: GroupId
  clock: Clock
  emit: (effect: ExecutorEffect) => void
  /** Delay after the first failed open in milliseconds; doubles with each further failure. Default 50. */
  initialBackoffMs?: number
  /** Longest delay after failed opens, in milliseconds. Default 2,000. */
  maxBackoffMs?: number
  /** The pool abandons an open that takes longer, in milliseconds. Default 3,000. */
  openTimeoutMs?: number
  /** An idle connection above the wanted number is closed after this time, in milliseconds. Default 30,000. */
  idleCloseMs?: number
}

interface Backoff {
  failures: number
  until: Milliseconds
}

const MODES: readonly ConnectionMode[] = ['read', 'write']
const WRITE_FIRST: readonly ConnectionMode[] = ['write', 'read']
const NONE: ReadonlySet<PooledConnection> = new Set()
const NO_BACKOFF: Backoff = { failures: 0, until: milliseconds(-Infinity) }

function resolveOptions (options: ConnectionPoolOptions): Required<ConnectionPoolOptions> {
  return { initialBackoffMs: 50, maxBackoffMs: 2000, openTimeoutMs: 3000, idleCloseMs: 30_000, ...options }
}

/** Creates a pool without connections. */
export function createConnectionPool (poolOptions: ConnectionPoolOptions): ConnectionPool {
  const options = resolveOptions(poolOptions)
  const { clock, emit } = options
  const connections = new Map<ConnectionId, PooledConnection>()
  const byDatabase = new Map<DatabaseId, Set<PooledConnection>>()
  const backoffs = new Map<DatabaseId, Backoff>()
  let nextNumber = 1

  const connectionsTo = (database: DatabaseId): ReadonlySet<PooledConnection> => byDatabase.get(database) ?? NONE

  function countMatching (database: DatabaseId, matches: (connection: PooledConnection) => boolean): number {
    let count = 0
    for (const connection of connectionsTo(database)) if (matches(connection)) count++
    return count
  }

  function add (connection: PooledConnection): void {
    connections.set(connection.id, connection)
    const held = byDatabase.get(connection.database) ?? new Set()
    byDatabase.set(connection.database, held.add(connection))
  }

  /** @returns whether the connection was in the pool */
  function remove (id: ConnectionId): boolean {
    const connection = connections.get(id)
    if (connection === undefined) return false
    connections.delete(id)
    const held = byDatabase.get(connection.database)
    held?.delete(connection)
    if (held?.size === 0) byDatabase.delete(connection.database)
    return true
  }

  function setState (connection: PooledConnection, state: PooledConnection['state']): void {
    connection.state = state
    connection.since = clock.now()
  }

  function discard (id: ConnectionId): void {
    if (remove(id)) emit({ kind: 'close-connection', connection: id })
  }

  function backOff (database: DatabaseId): void {
    const failures = (backoffs.get(database)?.failures ?? 0) + 1
    const waitMs = Math.min(options.initialBackoffMs * 2 ** (failures - 1), options.maxBackoffMs)
    backoffs.set(database, { failures, until: addTime(clock.now(), waitMs) })
  }

  function isBackingOff (database: DatabaseId): boolean {
    return clock.now() < (backoffs.get(database) ?? NO_BACKOFF).until
  }

  function markOpenFailed (id: ConnectionId): void {
    const connection = connections.get(id)
    if (connection === undefined) return
    remove(id)
    backOff(connection.database)
  }

  function markOpened (id: ConnectionId, incarnation: IncarnationId): boolean {
    const connection = connections.get(id)
    if (connection === undefined || connection.state !== 'opening') return connection !== undefined
    connection.incarnation = incarnation
    setState(connection, 'idle')
    backoffs.delete(connection.database)
    return true
  }

  function findIdle (database: DatabaseId, mode: ConnectionMode, incarnation: IncarnationId): PooledConnection | undefined {
    for (const connection of connectionsTo(database)) {
      if (connection.mode === mode && connection.state === 'idle' && connection.incarnation === incarnation) return connection
    }
    return undefined
  }

  function acquire (database: DatabaseId, mode: ConnectionMode, incarnation: IncarnationId): PooledConnection | null {
    const connection = findIdle(database, mode, incarnation)
    if (connection === undefined) return null
    setState(connection, 'busy')
    return connection
  }

  function release (id: ConnectionId): void {
    const connection = connections.get(id)
    if (connection?.state === 'busy') setState(connection, 'idle')
  }

  // Whether a connection must be closed: its database has no target any more, or the target has another address or incarnation.
  // `closeDisallowed` skips busy connections. Its first call after the release of a connection compares that connection with its target.
  function isDisallowed (connection: PooledConnection, target: ConnectionTarget | undefined): boolean {
    if (target === undefined || connection.address !== target.address) return true
    return connection.incarnation !== null && connection.incarnation !== target.incarnation
  }

  function abandonOverdueOpens (): void {
    for (const connection of connections.values()) {
      if (connection.state !== 'opening' || clock.now() - connection.since <= options.openTimeoutMs) continue
      discard(connection.id)
      backOff(connection.database)
    }
  }

  function closeDisallowed (targets: readonly ConnectionTarget[]): void {
    abandonOverdueOpens()
    for (const connection of connections.values()) {
      if (connection.state === 'busy') continue
      const target = targets.find((entry) => entry.database === connection.database)
      if (!isDisallowed(connection, target)) continue
      // After a restart of the database its known status is outdated for a while. Without a delay, the pool would open and close connections in a loop.
      if (target !== undefined && !isBackingOff(connection.database)) backOff(connection.database)
      discard(connection.id)
    }
    for (const target of targets) closeExcess(target)
  }

  /** Closes connections above the limit that are not busy, opening ones first. */
  function closeExcess (target: ConnectionTarget): void {
    const excess = connectionsTo(target.database).size - target.limit
    if (excess <= 0) return
    const held = [...connectionsTo(target.database)]
    const spare = [...held.filter((connection) => connection.state === 'opening'), ...held.filter((connection) => connection.state === 'idle')]
    for (const connection of spare.slice(0, excess)) discard(connection.id)
  }

  function closeUnwantedIdle (target: ConnectionTarget): void {
    for (const mode of MODES) {
      const isIdle = (connection: PooledConnection): boolean => connection.mode === mode && connection.state === 'idle'
      const isOld = (connection: PooledConnection): boolean => isIdle(connection) && clock.now() - connection.since > options.idleCloseMs
      if (countMatching(target.database, isOld) === 0) continue
      const idle = [...connectionsTo(target.database)].filter(isIdle)
      const old = idle.filter(isOld)
      for (const connection of old.slice(0, Math.max(0, idle.length - target.wanted[mode]))) discard(connection.id)
    }
  }

  function spareCount (database: DatabaseId, mode: ConnectionMode): number {
    return countMatching(database, (connection) => connection.mode === mode && connection.state !== 'busy')
  }

  /** Closes an idle connection of the other mode when requests wait for a connection of this mode and none is idle or opening. */
  function makeRoom (target: ConnectionTarget, mode: ConnectionMode): void {
    if (target.missing[mode] === 0 || spareCount(target.database, mode) > 0) return
    const idleOfOtherMode = [...connectionsTo(target.database)].find((connection) => connection.mode !== mode && connection.state === 'idle')
    if (idleOfOtherMode !== undefined) discard(idleOfOtherMode.id)
  }

  function open (target: ConnectionTarget, mode: ConnectionMode): void {
    const id = connectionId(`${options.group}.${nextNumber++}`)
    add({ id, database: target.database, address: target.address, mode, state: 'opening', incarnation: null, since: clock.now() })
    emit({ kind: 'open-connection', connection: id, database: target.database, address: target.address, mode })
  }

  function openMissing (target: ConnectionTarget, mode: ConnectionMode): void {
    if (connectionsTo(target.database).size >= target.limit) makeRoom(target, mode)
    const missing = target.wanted[mode] - spareCount(target.database, mode)
    const room = target.limit - connectionsTo(target.database).size
    for (let count = Math.min(missing, room); count > 0; count--) open(target, mode)
  }

  /** Orders the modes by waiting requests, most first. A spare connection of the other mode could otherwise use up the limit. */
  function orderModes (target: ConnectionTarget): readonly ConnectionMode[] {
    return target.missing.write > target.missing.read ? WRITE_FIRST : MODES
  }

  function openWanted (targets: readonly ConnectionTarget[]): void {
    for (const target of targets) {
      closeUnwantedIdle(target)
      if (isBackingOff(target.database)) continue
      for (const mode of orderModes(target)) openMissing(target, mode)
    }
  }

  return {
    markOpened,
    markOpenFailed,
    remove: (id) => { remove(id) },
    acquire,
    hasIdle: (database, mode, incarnation) => findIdle(database, mode, incarnation) !== undefined,
    release,
    discard,
    closeDisallowed,
    openWanted,
    count: (database) => connectionsTo(database).size,
    busyCount: (database, mode) => countMatching(database, (connection) => connection.mode === mode && connection.state === 'busy')
  }
}
