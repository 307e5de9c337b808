import type { ConnectionMode } from '../../types/executor-message.js'
import type { DatabaseId, IncarnationId } from '../../types/ids.js'
import type { Refusal } from '../../types/outcome.js'
import { buildRefusal } from '../../types/result-code.js'
import { pickByFreeSlots, selectQualifyingDatabases, type ReadCandidate } from '../sessions/read-routing.js'
import type { ExecutorParts } from './executor-parts.js'
import { isRead } from './queue-lanes.js'
import type { RequestRecord } from './request-table.js'

/** The database and kind of connection that a queued request will run on. */
export interface Placement {
  database: DatabaseId
  mode: ConnectionMode
  /** Incarnation of the database that the connection must belong to. */
  incarnation: IncarnationId
  /** Current term of the group. */
  term: number
}

/** Finds a database with a free slot and an idle connection for each queued request, and counts missing connections. */
export interface RequestPlacer {
  /** Clears the counts of missing connections and the cached databases. Called at the start of each pass over the queue. */
  reset: () => void
  /** @returns where the request can run now; null when it must wait */
  place: (record: RequestRecord) => Placement | null
  /** Clears the free slots that `place` has cached. Called after each operation that was started. */
  invalidateCandidates: () => void
  /** @returns how often in this pass a request found a free slot of the database but no idle connection */
  countMissing: (database: DatabaseId, mode: ConnectionMode) => number
  /** @returns the refusal for a request that could not run before its deadline, with the reason why it had to wait */
  buildDeadlineRefusal: (record: RequestRecord) => Refusal
}

/** Creates the part of a group's executor that finds a database with a free slot and an idle connection for each queued request. */
export function createRequestPlacer (parts: ExecutorParts): RequestPlacer {
  const { options, view, slots, pool, transactions, runner } = parts
  const missingCounts: Record<ConnectionMode, Map<DatabaseId, number>> = { read: new Map(), write: new Map() }
  let cachedCandidates: ReadCandidate[] | null = null

  function buildCandidate (database: DatabaseId, weight: number): ReadCandidate {
    const observation = view.observed(database)
    const primary = view.group()?.primary === database
    const roleMatches = observation?.status.role === (primary ? 'primary' : 'replica')
    return {
      database,
      primary,
      weight,
      isCurrent: roleMatches && view.isCurrent(database),
      position: observation?.status.position ?? null,
      ageMs: observation === null ? Infinity : observation.status.ageMs + options.clock.now() - observation.observedAt,
      hasShare: view.slots(database) > 0 && view.connections(database) > 0,
      freeSlots: slots.countFree(database)
    }
  }

  function listCandidates (): ReadCandidate[] {
    cachedCandidates ??= view.databases().map(({ database, weight }) => buildCandidate(database, weight))
    return cachedCandidates
  }

  function recordMissing (database: DatabaseId, mode: ConnectionMode): void {
    const counts = missingCounts[mode]
    counts.set(database, (counts.get(database) ?? 0) + 1)
  }

  function hasIdleOrRecordMissing (database: DatabaseId, mode: ConnectionMode): boolean {
    const incarnation = view.observed(database)?.status.incarnation
    if (incarnation !== undefined && pool.hasIdle(database, mode, incarnation)) return true
    recordMissing(database, mode)
    return false
  }

  function buildPlacement (database: DatabaseId, mode: ConnectionMode): Placement | null {
    const incarnation = view.observed(database)?.status.incarnation
    const term = view.group()?.term
    if (incarnation === undefined || term === undefined) return null
    return { database, mode, incarnation, term }
  }

  function findQualifying (record: RequestRecord): ReadCandidate[] {
    const { required, primaryOnly, oldestAgeMs, remainingMs } = record.request
    const waitedMs = options.clock.now() - record.arrivedAt
    // With a short deadline, the read may use the primary from half of its time on, so that time remains to run it there.
    const canUsePrimary = waitedMs >= Math.min(options.replicaWaitMs, remainingMs / 2)
    return selectQualifyingDatabases(listCandidates(), { required, primaryOnly, oldestAgeMs, canUsePrimary })
  }

  function placeRead (record: RequestRecord): Placement | null {
    const withSlot = findQualifying(record).filter((candidate) => candidate.freeSlots > 0)
    const ready = withSlot.filter((candidate) => hasIdleOrRecordMissing(candidate.database, 'read'))
    const picked = pickByFreeSlots(ready, options.random)
    return picked === null ? null : buildPlacement(picked.database, 'read')
  }

  function countTransactions (database: DatabaseId): number {
    const openTransactions = transactions.countAt(database)
    const beginsInFlight = runner.all().filter((inFlight) => inFlight.kind === 'begin' && inFlight.connection.database === database).length
    return openTransactions + beginsInFlight
  }

  // Transactions hold their connections while idle. One connection per slot is reserved for single statements, so that
  // transactions can't block all other work.
  function canBegin (database: DatabaseId): boolean {
    const reservedForStatements = Math.max(1, view.slots(database))
    return countTransactions(database) < Math.max(1, view.connections(database) - reservedForStatements)
  }

  function placeWrite (record: RequestRecord): Placement | null {
    const primary = view.findWritePrimary()
    const term = view.group()?.term
    if (primary === null || term === undefined || slots.countFree(primary.database) === 0) return null
    // A session with a position of a later term shows that this instance's directory is out of date.
    if (record.request.required !== null && record.request.required.term > term) return null
    if (record.request.operation.kind === 'begin' && !canBegin(primary.database)) return null
    return hasIdleOrRecordMissing(primary.database, 'write') ? buildPlacement(primary.database, 'write') : null
  }

  function buildDeadlineRefusal (record: RequestRecord): Refusal {
    const retryAfterMs = parts.queue.retryAfterMs(record)
    if (isRead(record)) {
      if (findQualifying(record).length > 0) return buildRefusal('deadlineExceeded', 'not-run', 'no slot became free before the deadline', retryAfterMs)
      return buildRefusal('noFreshReplica', 'not-run', 'no database qualified for the read before the deadline', retryAfterMs)
    }
    const primary = view.findWritePrimary()
    if (primary === null) return buildRefusal('noPrimary', 'not-run', 'the group had no primary that accepts writes before the deadline', retryAfterMs)
    if (record.request.operation.kind === 'begin' && !canBegin(primary.database)) {
      return buildRefusal('tooManyTransactions', 'not-run', 'no connection became free for another transaction before the deadline', retryAfterMs)
    }
    return buildRefusal('deadlineExceeded', 'not-run', 'no slot became free before the deadline', retryAfterMs)
  }

  return {
    reset: () => {
      missingCounts.read.clear()
      missingCounts.write.clear()
      cachedCandidates = null
    },
    place: (record) => isRead(record) ? placeRead(record) : placeWrite(record),
    invalidateCandidates: () => { cachedCandidates = null },
    countMissing: (database, mode) => missingCounts[mode].get(database) ?? 0,
    buildDeadlineRefusal
  }
}
