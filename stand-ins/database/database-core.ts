import { randomUUID } from 'node:crypto'
import type { DatabaseStatus } from '../../src/types/database-status.js'
import { incarnationId, type Address, type IncarnationId } from '../../src/types/ids.js'
import { compareLogPositions, type LogPosition } from '../../src/types/log-position.js'
import { createFaults, type Faults } from './faults.js'
import { createHistory, type History } from './history.js'
import { createKeyLocks, type KeyLocks } from './key-locks.js'
import { createLogState, type LogState } from './log-state.js'
import { createNetworkConditions, type NetworkConditions } from './network-conditions.js'
import type { ResolvedDatabaseStandInOptions } from './options.js'
import { createReplicationReceiver, type ReplicationReceiver } from './replication-receiver.js'
import { createSlots, type Slots } from './slots.js'

/** State that all connections of one stand-in share. */
export interface DatabaseCore {
  readonly options: ResolvedDatabaseStandInOptions
  readonly log: LogState
  readonly locks: KeyLocks
  readonly slots: Slots
  readonly history: History | null
  readonly conditions: NetworkConditions
  readonly faults: Faults
  readonly receiver: ReplicationReceiver
  status: () => DatabaseStatus
  /**
   * Resolves when the position is past `after`, when any other part of the status except the age changes, or after `waitMs`.
   * @param signal - ends the wait early
   */
  waitForStatus: (after: LogPosition, waitMs: number, signal: AbortSignal) => Promise<void>
  /** Makes the database the primary of `term` and ends its replication link. @throws SqlError CR003 */
  promote: (term: number) => void
  /** Resolves when the log is aligned with that of the primary, or after a bounded wait. @throws SqlError CR003 */
  follow: (term: number, primaryAddress: Address | string) => Promise<void>
  /** Begins a new incarnation. @param empty - whether to discard log, term and fence */
  restart: (empty: boolean) => void
  /** Calls the listener after each change of log, term, role or fence. @returns a function that removes the listener */
  onChange: (listener: () => void) => () => void
}

/** @returns the state of a stand-in before its first start */
export function createDatabaseCore (options: ResolvedDatabaseStandInOptions): DatabaseCore {
  const listeners = new Set<() => void>()
  const conditions = createNetworkConditions(options.networkDelayMs)
  let incarnation: IncarnationId = incarnationId(randomUUID())
  let log = createLog()

  function createLog (): LogState {
    const created = createLogState()
    created.onChange(() => { for (const listener of [...listeners]) listener() })
    return created
  }

  function onChange (listener: () => void): () => void {
    listeners.add(listener)
    return () => { listeners.delete(listener) }
  }

  const receiver = createReplicationReceiver({ log: () => log, conditions, lagMs: options.replicationLagMs })

  function status (): DatabaseStatus {
    return {
      database: options.database,
      incarnation,
      role: log.role(),
      term: log.term(),
      fencedTerm: log.fencedTerm(),
      position: log.position(),
      ageMs: log.role() === 'primary' ? 0 : receiver.ageMs()
    }
  }

  const buildStatusFingerprint = (): string => JSON.stringify({ ...status(), ageMs: 0 })

  async function waitForStatus (after: LogPosition, waitMs: number, signal: AbortSignal): Promise<void> {
    const initialFingerprint = buildStatusFingerprint()
    if (signal.aborted || compareLogPositions(log.position(), after) > 0) return
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        stopListening()
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      const stopListening = onChange(() => { if (buildStatusFingerprint() !== initialFingerprint) finish() })
      signal.addEventListener('abort', finish)
    })
  }

  function promote (term: number): void {
    log.promote(term)
    receiver.stop()
  }

  async function follow (term: number, primaryAddress: string): Promise<void> {
    log.follow(term)
    await receiver.follow(term, primaryAddress)
  }

  function restart (isEmpty: boolean): void {
    incarnation = incarnationId(randomUUID())
    if (isEmpty) log = createLog()
  }

  return {
    options,
    get log () { return log },
    locks: createKeyLocks(),
    slots: createSlots(options.slots),
    history: options.recordHistory ? createHistory() : null,
    conditions,
    faults: createFaults(),
    receiver,
    status,
    waitForStatus,
    promote,
    follow,
    restart,
    onChange
  }
}
