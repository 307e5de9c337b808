import type { Clock, Milliseconds } from '../../types/clock.js'
import type { DatabaseObservation } from '../../types/control-message.js'
import type { DatabaseId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import { compareLogPositions } from '../../types/log-position.js'

/** Weight of a new latency in the moving average. */
const LATENCY_WEIGHT = 0.1
/** Latency assumed before the first answer, in milliseconds. */
const FIRST_LATENCY_MS = 20
/** A database that failed gets no further work for this long, in milliseconds; doubled with each failure in a row. */
const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 2000
/** A statement that waits longer than this without any answer of its database counts as a sign of silence, in milliseconds. */
const QUIET_STATEMENT_MS = 700
/**
 * An answer is reported for this long, in milliseconds. In large fleets each instance uses a database rarely: an older answer would
 * speak for one that has crashed since, for longer than one that goes down and up by turns is down.
 */
const REPORTED_MS = 600
/** A database that has been silent for this long is tried by single statements only, in milliseconds: several lost tries to connect. */
const GATED_AFTER_MS = 300
/** Time between two such statements of one instance, in milliseconds: about what one of them takes to fail. */
const TRY_GAP_MS = 150
/** A part of recent statements that failed, above which a database counts as failing; callers then get their answers elsewhere. */
const FAILING_RATIO = 0.15
/** Weight of a new answer in the share of failures. */
const FAILURE_WEIGHT = 0.05

/** What this instance has seen of one database. */
interface DatabaseRecord {
  lastAnswerAt: Milliseconds | null
  /** First failure since the last answer. */
  failingSince: Milliseconds | null
  pausedUntil: number
  failuresInRow: number
  latencyMs: number
  failureShare: number
  outstanding: Map<symbol, Milliseconds>
  /** When a statement was let through last although the database was silent. */
  triedAt: number
  position: LogPosition | null
  positionAt: Milliseconds
}

export type StatementEnd = 'answered' | 'failed' | 'lost' | 'unjudged'

/** Judges databases from the answers to real statements. */
export interface DatabaseHealth {
  /** Notes a statement that was sent. @returns a function that notes how it ended; `unjudged`: for a reason other than the database */
  began: (database: DatabaseId) => (ended: StatementEnd) => void
  /** Notes a connection that could not be opened or was lost. */
  connectionFailed: (database: DatabaseId) => void
  connectionOpened: (database: DatabaseId) => void
  learned: (database: DatabaseId, position: LogPosition) => void
  /** @returns position that the database told last, and its age in milliseconds */
  position: (database: DatabaseId) => { position: LogPosition, at: Milliseconds, ageMs: number } | null
  /** @returns whether the database gets new work */
  isUsable: (database: DatabaseId) => boolean
  /**
   * Asked before a statement that only this database can run. A silent one gets a single statement from time to time; if all were
   * sent, those that hold its connections would do nothing else.
   */
  mayTry: (database: DatabaseId) => boolean
  /** @returns expected time of a statement in milliseconds, with what this instance has under way there */
  expectedMs: (database: DatabaseId) => number
  observations: () => DatabaseObservation[]
  /** Forgets databases that are not listed. */
  keepOnly: (databases: ReadonlySet<DatabaseId>) => void
}

/** Creates the judge. A database that fails is tried again after a growing pause, by one instance's real statements. */
export function createDatabaseHealth (clock: Clock): DatabaseHealth {
  const records = new Map<DatabaseId, DatabaseRecord>()

  function recordOf (database: DatabaseId): DatabaseRecord {
    const known = records.get(database)
    if (known !== undefined) return known
    const record: DatabaseRecord = { lastAnswerAt: null, failingSince: null, pausedUntil: 0, failuresInRow: 0, latencyMs: FIRST_LATENCY_MS, failureShare: 0, outstanding: new Map(), triedAt: -Infinity, position: null, positionAt: clock.now() }
    records.set(database, record)
    return record
  }

  function answered (record: DatabaseRecord): void {
    record.lastAnswerAt = clock.now()
    record.failingSince = null
    record.failuresInRow = 0
    record.pausedUntil = 0
  }

  function failed (record: DatabaseRecord): void {
    record.failingSince ??= clock.now()
    record.pausedUntil = clock.now() + Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** record.failuresInRow)
    record.failuresInRow++
  }

  function began (database: DatabaseId): (ended: StatementEnd) => void {
    const record = recordOf(database)
    const key = Symbol('statement')
    const sentAt = clock.now()
    record.outstanding.set(key, sentAt)
    return (ended) => {
      if (!record.outstanding.delete(key) || ended === 'unjudged') return
      const isFailure = ended !== 'answered'
      record.failureShare += ((isFailure ? 1 : 0) - record.failureShare) * FAILURE_WEIGHT
      if (ended === 'lost') return failed(record)
      record.latencyMs += (clock.now() - sentAt - record.latencyMs) * LATENCY_WEIGHT
      answered(record)
      if (ended === 'failed' && record.failureShare > FAILING_RATIO) record.pausedUntil = clock.now() + LONGEST_PAUSE_MS
    }
  }

  /** @returns how long the database has given no sign of life although it was asked, in milliseconds */
  function silentForMs (record: DatabaseRecord): number {
    const now = clock.now()
    const oldest = record.outstanding.values().next().value
    const quiet = oldest === undefined ? 0 : now - Math.max(oldest, record.lastAnswerAt ?? oldest)
    const failing = record.failingSince === null ? 0 : Math.max(1, now - record.failingSince)
    return Math.max(failing, quiet >= QUIET_STATEMENT_MS ? quiet : 0)
  }

  function observations (): DatabaseObservation[] {
    const now = clock.now()
    return [...records].flatMap(([database, record]): DatabaseObservation[] => {
      const silence = silentForMs(record)
      const isRecent = record.lastAnswerAt !== null && now - record.lastAnswerAt < REPORTED_MS
      return silence > 0 || isRecent ? [{ database, status: null, silentForMs: silence }] : []
    })
  }

  function learned (database: DatabaseId, position: LogPosition): void {
    const record = recordOf(database)
    if (record.position !== null && compareLogPositions(position, record.position) < 0) return
    record.position = position
    record.positionAt = clock.now()
  }

  return {
    began,
    learned,
    observations,
    connectionFailed: (database) => failed(recordOf(database)),
    connectionOpened: (database) => answered(recordOf(database)),
    position: (database) => {
      const record = records.get(database)
      return record?.position == null ? null : { position: record.position, at: record.positionAt, ageMs: clock.now() - record.positionAt }
    },
    isUsable: (database) => {
      const record = records.get(database)
      if (record === undefined) return true
      return clock.now() >= record.pausedUntil && silentForMs(record) < QUIET_STATEMENT_MS
    },
    mayTry: (database) => {
      const record = records.get(database)
      if (record === undefined || silentForMs(record) < GATED_AFTER_MS) return true
      if (clock.now() - record.triedAt < TRY_GAP_MS) return false
      record.triedAt = clock.now()
      return true
    },
    expectedMs: (database) => {
      const record = recordOf(database)
      return record.latencyMs * (1 + record.outstanding.size)
    },
    keepOnly: (databases) => {
      for (const database of records.keys()) if (!databases.has(database)) records.delete(database)
    }
  }
}
