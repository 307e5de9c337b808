import { addTime, milliseconds, type Clock, type Milliseconds } from '../../types/clock.js'
import type { ConnectionMode, ExecutorEffect } from '../../types/executor-message.js'
import { connectionId, type ConnectionId, type DatabaseId, type GroupId, type IncarnationId } from '../../types/ids.js'
import type { ConnectionTarget, PooledConnection } from './pooled-connection.js'

/** Connections of one executor to the databases of its group. */
export interface ConnectionPool {
  /** The connection answered a status call. @returns whether it is in the pool */
  opened: (id: ConnectionId, incarnation: IncarnationId) => boolean
  openFailed: (id: ConnectionId) => void
  /** Drops a connection that ended by itself. */
  forget: (id: ConnectionId) => void
  /** Makes an idle connection of this mode and incarnation busy. */
  acquire: (database: DatabaseId, mode: ConnectionMode, incarnation: IncarnationId) => PooledConnection | null
  hasIdle: (database: DatabaseId, mode: ConnectionMode, incarnation: IncarnationId) => boolean
  /** Gives back a busy connection that is clean. */
  release: (id: ConnectionId) => void
  /** Closes a connection for good. */
  discard: (id: ConnectionId) => void
  /** Closes what the targets do not allow. Called before idle connections are given out. */
  closeForbidden: (targets: readonly ConnectionTarget[]) => void
  /** Opens what the targets want. Called after idle connections were given out, so that those left are not needed now. */
  openWanted: (targets: readonly ConnectionTarget[]) => void
  count: (database: DatabaseId) => number
  busyCount: (database: DatabaseId, mode: ConnectionMode) => number
}

export interface ConnectionPoolOptions {
  group: GroupId
  clock: Clock
  emit: (effect: ExecutorEffect) => void
  /** First wait after a failed open in milliseconds; doubles with each further failure. Default 50. */
  firstBackoffMs?: number
  /** Longest wait after failed opens, in milliseconds. Default 2,000. */
  longestBackoffMs?: number
  /** An open that takes longer is given up, in milliseconds. Default 3,000. */
  longestOpenMs?: number
  /** An unwanted idle connection is closed after this time, in milliseconds. Default 30,000. */
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
  return { firstBackoffMs: 50, longestBackoffMs: 2000, longestOpenMs: 3000, idleCloseMs: 30_000, ...options }
}

export function createConnectionPool (poolOptions: ConnectionPoolOptions): ConnectionPool {
  const options = resolveOptions(poolOptions)
  const { clock, emit } = options
  const connections = new Map<ConnectionId, PooledConnection>()
  const byDatabase = new Map<DatabaseId, Set<PooledConnection>>()
  const backoffs = new Map<DatabaseId, Backoff>()
  let nextNumber = 1

  const of = (database: DatabaseId): ReadonlySet<PooledConnection> => byDatabase.get(database) ?? NONE

  function countOf (database: DatabaseId, matches: (connection: PooledConnection) => boolean): number {
    let count = 0
    for (const connection of of(database)) if (matches(connection)) count++
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
    const wait = Math.min(options.firstBackoffMs * 2 ** (failures - 1), options.longestBackoffMs)
    backoffs.set(database, { failures, until: addTime(clock.now(), wait) })
  }

  function isBackingOff (database: DatabaseId): boolean {
    return clock.now() < (backoffs.get(database) ?? NO_BACKOFF).until
  }

  function openFailed (id: ConnectionId): void {
    const connection = connections.get(id)
    if (connection === undefined) return
    remove(id)
    backOff(connection.database)
  }

  function opened (id: ConnectionId, incarnation: IncarnationId): boolean {
    const connection = connections.get(id)
    if (connection === undefined || connection.state !== 'opening') return connection !== undefined
    connection.incarnation = incarnation
    setState(connection, 'idle')
    backoffs.delete(connection.database)
    return true
  }

  function findIdle (database: DatabaseId, mode: ConnectionMode, incarnation: IncarnationId): PooledConnection | undefined {
    for (const connection of of(database)) {
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

  // A busy connection is judged when it is released.
  function isForbidden (connection: PooledConnection, target: ConnectionTarget | undefined): boolean {
    if (target === undefined || connection.address !== target.address) return true
    return connection.incarnation !== null && connection.incarnation !== target.incarnation
  }

  function giveUpOverdueOpens (): void {
    for (const connection of connections.values()) {
      if (connection.state !== 'opening' || clock.now() - connection.since <= options.longestOpenMs) continue
      discard(connection.id)
      backOff(connection.database)
    }
  }

  function closeForbidden (targets: readonly ConnectionTarget[]): void {
    giveUpOverdueOpens()
    for (const connection of connections.values()) {
      if (connection.state === 'busy') continue
      const target = targets.find((entry) => entry.database === connection.database)
      if (!isForbidden(connection, target)) continue
      // Without a pause, a status that lags behind a restart would cause one open after another.
      if (target !== undefined && !isBackingOff(connection.database)) backOff(connection.database)
      discard(connection.id)
    }
    for (const target of targets) shrink(target)
  }

  function shrink (target: ConnectionTarget): void {
    const excess = of(target.database).size - target.limit
    if (excess <= 0) return
    const held = [...of(target.database)]
    const spare = [...held.filter((connection) => connection.state === 'opening'), ...held.filter((connection) => connection.state === 'idle')]
    for (const connection of spare.slice(0, excess)) discard(connection.id)
  }

  function closeUnwantedIdle (target: ConnectionTarget): void {
    for (const mode of MODES) {
      const isIdle = (connection: PooledConnection): boolean => connection.mode === mode && connection.state === 'idle'
      const isOld = (connection: PooledConnection): boolean => isIdle(connection) && clock.now() - connection.since > options.idleCloseMs
      if (countOf(target.database, isOld) === 0) continue
      const idle = [...of(target.database)].filter(isIdle)
      const old = idle.filter(isOld)
      for (const connection of old.slice(0, Math.max(0, idle.length - target.wanted[mode]))) discard(connection.id)
    }
  }

  function spareCount (database: DatabaseId, mode: ConnectionMode): number {
    return countOf(database, (connection) => connection.mode === mode && connection.state !== 'busy')
  }

  /** Closes an idle connection of the other mode when requests wait for the first one of this mode. */
  function makeRoom (target: ConnectionTarget, mode: ConnectionMode): void {
    if (target.missing[mode] === 0 || spareCount(target.database, mode) > 0) return
    const other = [...of(target.database)].find((connection) => connection.mode !== mode && connection.state === 'idle')
    if (other !== undefined) discard(other.id)
  }

  function open (target: ConnectionTarget, mode: ConnectionMode): void {
    const id = connectionId(`${options.group}.${nextNumber++}`)
    add({ id, database: target.database, address: target.address, mode, state: 'opening', incarnation: null, since: clock.now() })
    emit({ kind: 'open-connection', connection: id, database: target.database, address: target.address, mode })
  }

  function openMissing (target: ConnectionTarget, mode: ConnectionMode): void {
    if (of(target.database).size >= target.limit) makeRoom(target, mode)
    const missing = target.wanted[mode] - spareCount(target.database, mode)
    const room = target.limit - of(target.database).size
    for (let count = Math.min(missing, room); count > 0; count--) open(target, mode)
  }

  /** Modes that requests wait for come first, so that a spare connection of the other mode doesn't take the last place. */
  function byNeed (target: ConnectionTarget): readonly ConnectionMode[] {
    return target.missing.write > target.missing.read ? WRITE_FIRST : MODES
  }

  function openWanted (targets: readonly ConnectionTarget[]): void {
    for (const target of targets) {
      closeUnwantedIdle(target)
      if (isBackingOff(target.database)) continue
      for (const mode of byNeed(target)) openMissing(target, mode)
    }
  }

  return {
    opened,
    openFailed,
    forget: (id) => { remove(id) },
    acquire,
    hasIdle: (database, mode, incarnation) => findIdle(database, mode, incarnation) !== undefined,
    release,
    discard,
    closeForbidden,
    openWanted,
    count: (database) => of(database).size,
    busyCount: (database, mode) => countOf(database, (connection) => connection.mode === mode && connection.state === 'busy')
  }
}
