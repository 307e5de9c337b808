import type { Clock, Milliseconds } from '../../types/clock.js'
import type { DatabaseObservation } from '../../types/control-message.js'
import type { DatabaseId } from '../../types/ids.js'
import type { LenderQueue } from '../../types/session-peer-message.js'
import type { LogPosition } from '../../types/log-position.js'
import { compareLogPositions } from '../../types/log-position.js'

/** Weight of a new latency in the moving average. */
const NEW_LATENCY_WEIGHT = 0.1
/** Latency assumed before the first answer. */
const INITIAL_LATENCY_MS = 20
/** Pause without new work after a lost statement or a failed connection attempt. It doubles with each consecutive one, up to `MAX_PAUSE_MS`. */
const INITIAL_PAUSE_MS = 100
const MAX_PAUSE_MS = 2000
/**
 * A statement in flight counts as silence once its database has answered nothing for this long. A database that has been silent for
 * this long, for whichever reason, is not usable.
 */
const SILENT_STATEMENT_MS = 700
/**
 * An answer is reported as health evidence for this long. In a large deployment each instance uses a database rarely, so the database
 * may have crashed since its last answer. Older answers would hide the short outages of a database that keeps restarting.
 */
const EVIDENCE_MAX_AGE_MS = 600
/** A database that has been silent for this long gets single statements only: by then several connection attempts have failed. */
const SINGLE_ATTEMPTS_AFTER_MS = 300
/** Time between two such single statements of one instance: about the time that one of them takes to fail. */
const ATTEMPT_INTERVAL_MS = 150
/** Ratio of failed or lost recent statements above which a database gets no new work for `MAX_PAUSE_MS`. Other databases then serve the callers. */
const MAX_FAILURE_RATIO = 0.15
/** A reported queue counts for this long: crowds and the answers to them change within a second. */
const QUEUE_MAX_AGE_MS = 1000
/** Weight of a new statement in the failure ratio. */
const NEW_FAILURE_WEIGHT = 0.05

/** What this instance has observed of one database. */
interface DatabaseRecord {
  lastAnswerAt: Milliseconds | null
  /** Time of the first lost statement or failed connection attempt since the last answer; null when there was none. */
  failingSince: Milliseconds | null
  /** The database gets no new work before this time. */
  pausedUntil: number
  consecutiveFailures: number
  latencyMs: number
  failureRatio: number
  /** Statements in flight by the time at which they were sent, oldest first. */
  inFlight: Map<symbol, Milliseconds>
  /** When `canAttempt` last allowed a statement although the database was silent. */
  lastAttemptAt: number
  position: LogPosition | null
  positionReceivedAt: Milliseconds
  /** Expected wait for a slot by priority, as the lender of the last loan reported it. */
  queues: Map<number, { expectedWaitMs: number, receivedAt: Milliseconds }>
}

/**
 * How a statement ended, as evidence about its database.
 * - `answered`: the database answered
 * - `failed`: the database answered that the statement failed or timed out
 * - `lost`: the database did not answer
 * - `unjudged`: the statement ended for a reason other than the database
 */
export type StatementOutcome = 'answered' | 'failed' | 'lost' | 'unjudged'

/** Health of databases, derived from the answers to real statements. */
export interface DatabaseHealth {
  /** Records a statement that was sent. @returns a function that records its outcome */
  recordStatementStart: (database: DatabaseId) => (ended: StatementOutcome) => void
  /** Records that a connection could not be opened. */
  recordConnectionFailure: (database: DatabaseId) => void
  /** Records that a connection was opened, which counts as an answer of the database. */
  recordConnectionOpened: (database: DatabaseId) => void
  /** Records a position that the database reported. An earlier position than the known one is ignored. */
  recordPosition: (database: DatabaseId, position: LogPosition) => void
  /** @returns the last position that the database reported, when it was received, and its age in milliseconds; null when none is known */
  position: (database: DatabaseId) => { position: LogPosition, at: Milliseconds, ageMs: number } | null
  /** @returns whether the database may get new work: it is neither paused nor silent */
  isUsable: (database: DatabaseId) => boolean
  /**
   * Limits statements that only this database can run. A silent database gets a single statement per `ATTEMPT_INTERVAL_MS`.
   * Without this limit, all statements for it would wait for answers and keep its connection holders busy.
   * @returns whether a statement may be sent now
   */
  canAttempt: (database: DatabaseId) => boolean
  /** Records the queue for the slots of the database that a lender reported. @param priority - priority to which the expected wait applies */
  recordQueue: (database: DatabaseId, priority: number, queue: LenderQueue) => void
  /**
   * @param priority - default: the priority with the longest wait
   * @returns expected wait for a slot of the database in milliseconds; 0 when none was reported within `QUEUE_MAX_AGE_MS`
   */
  expectedWaitMs: (database: DatabaseId, priority?: number) => number
  /** @returns how long the database has not answered statements or connection attempts, in milliseconds; 0 when it is not silent */
  silentForMs: (database: DatabaseId) => number
  /** @returns expected latency of a statement in milliseconds, including the statements that this instance has in flight there */
  expectedLatencyMs: (database: DatabaseId) => number
  /** @returns health evidence for the control leader: databases that are silent or answered recently */
  observations: () => DatabaseObservation[]
  /** Removes the records of databases that are not listed. */
  keepOnly: (databases: ReadonlySet<DatabaseId>) => void
}

/** Creates the health records. A database that did not answer gets statements of callers again after a growing pause, since this instance sends no probes. */
export function createDatabaseHealth (clock: Clock): DatabaseHealth {
  const records = new Map<DatabaseId, DatabaseRecord>()

  function findOrCreateRecord (database: DatabaseId): DatabaseRecord {
    const known = records.get(database)
    if (known !== undefined) return known
    const record: DatabaseRecord = { lastAnswerAt: null, failingSince: null, pausedUntil: 0, consecutiveFailures: 0, latencyMs: INITIAL_LATENCY_MS, failureRatio: 0, inFlight: new Map(), lastAttemptAt: -Infinity, position: null, positionReceivedAt: clock.now(), queues: new Map() }
    records.set(database, record)
    return record
  }

  function markResponsive (record: DatabaseRecord): void {
    record.lastAnswerAt = clock.now()
    record.failingSince = null
    record.consecutiveFailures = 0
    record.pausedUntil = 0
  }

  function markUnresponsive (record: DatabaseRecord): void {
    record.failingSince ??= clock.now()
    record.pausedUntil = clock.now() + Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** record.consecutiveFailures)
    record.consecutiveFailures++
  }

  function recordStatementStart (database: DatabaseId): (ended: StatementOutcome) => void {
    const record = findOrCreateRecord(database)
    const key = Symbol('statement')
    const sentAt = clock.now()
    record.inFlight.set(key, sentAt)
    return (ended) => {
      if (!record.inFlight.delete(key) || ended === 'unjudged') return
      const isFailure = ended !== 'answered'
      record.failureRatio += ((isFailure ? 1 : 0) - record.failureRatio) * NEW_FAILURE_WEIGHT
      if (ended === 'lost') return markUnresponsive(record)
      record.latencyMs += (clock.now() - sentAt - record.latencyMs) * NEW_LATENCY_WEIGHT
      markResponsive(record)
      if (ended === 'failed' && record.failureRatio > MAX_FAILURE_RATIO) record.pausedUntil = clock.now() + MAX_PAUSE_MS
    }
  }

  /** @returns how long the database has not answered statements or connection attempts, in milliseconds; 0 when it is not silent */
  function computeSilenceMs (record: DatabaseRecord): number {
    const now = clock.now()
    const oldestSentAt = record.inFlight.values().next().value
    const inFlightSilenceMs = oldestSentAt === undefined ? 0 : now - Math.max(oldestSentAt, record.lastAnswerAt ?? oldestSentAt)
    const failingMs = record.failingSince === null ? 0 : Math.max(1, now - record.failingSince)
    return Math.max(failingMs, inFlightSilenceMs >= SILENT_STATEMENT_MS ? inFlightSilenceMs : 0)
  }

  function observations (): DatabaseObservation[] {
    const now = clock.now()
    return [...records].flatMap(([database, record]): DatabaseObservation[] => {
      const silenceMs = computeSilenceMs(record)
      const isRecent = record.lastAnswerAt !== null && now - record.lastAnswerAt < EVIDENCE_MAX_AGE_MS
      return silenceMs > 0 || isRecent ? [{ database, status: null, silentForMs: silenceMs }] : []
    })
  }

  function recordPosition (database: DatabaseId, position: LogPosition): void {
    const record = findOrCreateRecord(database)
    if (record.position !== null && compareLogPositions(position, record.position) < 0) return
    record.position = position
    record.positionReceivedAt = clock.now()
  }

  function expectedWaitMs (database: DatabaseId, priority?: number): number {
    const recent = [...records.get(database)?.queues ?? []].filter(([other, { receivedAt }]) => (priority === undefined || other === priority) && clock.now() - receivedAt < QUEUE_MAX_AGE_MS)
    return Math.max(0, ...recent.map(([, queue]) => queue.expectedWaitMs))
  }

  return {
    recordStatementStart,
    recordQueue: (database, priority, queue) => { findOrCreateRecord(database).queues.set(priority, { expectedWaitMs: queue.expectedWaitMs, receivedAt: clock.now() }) },
    expectedWaitMs,
    recordPosition,
    observations,
    recordConnectionFailure: (database) => markUnresponsive(findOrCreateRecord(database)),
    recordConnectionOpened: (database) => markResponsive(findOrCreateRecord(database)),
    position: (database) => {
      const record = records.get(database)
      return record?.position == null ? null : { position: record.position, at: record.positionReceivedAt, ageMs: clock.now() - record.positionReceivedAt }
    },
    isUsable: (database) => {
      const record = records.get(database)
      if (record === undefined) return true
      return clock.now() >= record.pausedUntil && computeSilenceMs(record) < SILENT_STATEMENT_MS
    },
    canAttempt: (database) => {
      const record = records.get(database)
      if (record === undefined || computeSilenceMs(record) < SINGLE_ATTEMPTS_AFTER_MS) return true
      if (clock.now() - record.lastAttemptAt < ATTEMPT_INTERVAL_MS) return false
      record.lastAttemptAt = clock.now()
      return true
    },
    silentForMs: (database) => {
      const record = records.get(database)
      return record === undefined ? 0 : computeSilenceMs(record)
    },
    expectedLatencyMs: (database) => {
      const record = findOrCreateRecord(database)
      return record.latencyMs * (1 + record.inFlight.size)
    },
    keepOnly: (databases) => {
      for (const database of records.keys()) if (!databases.has(database)) records.delete(database)
    }
  }
}
