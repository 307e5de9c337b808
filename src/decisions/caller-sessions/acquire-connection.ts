import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { Overload } from '../../types/database-session.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId, GroupId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import { computeHoldLimitMs, computeNoPrimaryRetryMs, computeRetryAfterMs } from './bounded-holding.js'
import { chooseDatabase } from './choose-database.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionCommit } from './required-position.js'
import { findRequiredPosition } from './required-position.js'
import type { SessionGrant, SessionServices } from './session-services.js'
import { buildRefusalPromisingNothingKept, refuseWhileStopping } from './session-services.js'
import type { SessionValues } from './session-values.js'
import { runStatement } from './statement-runner.js'

/** Longest wait for a connection to the selected database. A new database is selected afterwards. */
const CONNECTION_WAIT_MS = 150
/** Longest wait for a change of the directory before the primary is checked again. */
const PRIMARY_WAIT_MS = 100
/** Retry delay sent with refusals: a new primary usually serves after this time. */
const PRIMARY_RETRY_MS = 500
/** Fraction of the statement timeout after which an unsent statement is refused, so that the refusal still reaches the caller in time. */
const UNSENT_TIME_FRACTION = 0.9

/** Databases without room that an operation tries: a read goes to one other database, since each attempt costs a call to another instance. */
const MAX_OVERLOADED_DATABASES = 2
/** Pause after a database without room, for an operation that another database has refused before. */
const OVERLOADED_DATABASE_PAUSE_MS = 25

/** Requirements of a statement or transaction on its connection. */
export interface ConnectionRequirements {
  grant: SessionGrant
  kind: 'read' | 'write'
  /**
   * Transaction that will be opened on the connection.
   * - `none`: a single statement
   * - `plain`: a transaction that is not declared read-only; only a primary accepts it
   */
  transactionMode: 'none' | 'plain' | 'read-only'
  arrivedAt: Milliseconds
  deadline: Milliseconds
  /** The session's last commit; null before the first. */
  lastCommit: SessionCommit | null
  values: SessionValues
  /** Databases that refused the statement or could not be used. They are selected again only when no other database is left. */
  excludedDatabases: Set<DatabaseId>
  /** Set after a replica refused because it lags. */
  needsPrimary?: boolean
  /** Time in milliseconds that the operation has waited for room at the databases. Waits for a primary don't count. */
  heldMs: number
  /** Whether a database has received and refused the operation. It may then go on until its statement timeout. */
  wasOffered: boolean
  /** Databases that had no room, with the expected time in milliseconds until they have. */
  overloads: Map<DatabaseId, number>
}

/** A connection for one statement or transaction, with the evidence that its database may serve it. */
export interface AcquiredConnection {
  pooled: PooledSession
  group: GroupId
  isPrimary: boolean
  /** Required position, sent with the statement; null when the database does not have to check one. */
  after: LogPosition | null
  /** Age in milliseconds of the primary's answer that confirmed `after`. */
  positionAgeMs: number | null
  /** Term of the group; null for a replica. */
  groupTerm: number | null
  /** Whether this instance had a valid freshness lease when the connection was acquired; false for a replica. */
  hadFreshnessLease: boolean
  /** Whether a plain transaction surrounds a single read. Without a freshness lease, only the database itself can tell whether it is still the primary. */
  hasGuardTransaction: boolean
}

/** Database selected for a statement or transaction, or why there is none. */
type Target =
  | { kind: 'primary', database: DirectoryDatabase, term: number, proven: boolean, after: LogPosition | null, positionAgeMs: number | null }
  | { kind: 'replica', database: DirectoryDatabase, after: LogPosition, positionAgeMs: number }
  | { kind: 'none', message: string }

/**
 * Acquires a connection to a database that may serve the statement or transaction.
 * Database selection is repeated until a connection is ready or the time for unsent statements has passed.
 * @returns the connection, or the refusal `noPrimary`, `noDatabase`, `overloaded` or `shuttingDown`
 */
export async function acquireConnection (services: SessionServices, requirements: ConnectionRequirements): Promise<AcquiredConnection | SessionRefusal> {
  const { clock, access, pool } = services
  const { endpoint, workspace } = requirements.grant
  const sendDeadline = addTime(requirements.arrivedAt, endpoint.statementTimeoutMs * UNSENT_TIME_FRACTION)
  let unavailableReason = ''
  for (;;) {
    const stopping = refuseWhileStopping(services, 'shuttingDown')
    if (stopping !== null) return stopping
    const remainingMs = sendDeadline - clock.now()
    if (remainingMs <= 0) return refuseUnsent(services, unavailableReason)
    const target = selectTarget(services, requirements)
    if (target.kind === 'none') {
      unavailableReason = target.message
      await access.changed(Math.min(remainingMs, PRIMARY_WAIT_MS))
      continue
    }
    if (target.kind === 'primary' && !services.health.canAttempt(target.database.database)) {
      unavailableReason = 'the primary does not answer'
      await access.changed(Math.min(remainingMs, PRIMARY_WAIT_MS))
      continue
    }
    const roomWaitMs = computeRoomWaitMs(services, requirements)
    if (roomWaitMs <= 0 || isWithoutRoom(services, requirements, target.database.database)) return refuseWithoutRoom(services, requirements)
    const startedAt = clock.now()
    const acquired = await pool.acquire(target.database, workspace, endpoint.priority, Math.min(remainingMs, roomWaitMs, CONNECTION_WAIT_MS))
    if (acquired.isErr()) {
      if (acquired.error !== 'unreachable') requirements.heldMs += clock.now() - startedAt
      if (acquired.error === 'overloaded') recordOverload(requirements, target.database.database, { expectedWaitMs: pool.expectedWaitMs(target.database.database, workspace, endpoint.priority) })
      if (acquired.error === 'overloaded' && requirements.wasOffered) await access.changed(Math.min(remainingMs, OVERLOADED_DATABASE_PAUSE_MS))
      if (requirements.kind === 'read') requirements.excludedDatabases.add(target.database.database)
      // A read can go to another database at once. Everything else waits for a change of the directory, such as a new primary.
      if (acquired.error === 'unreachable') await access.changed(Math.min(remainingMs, requirements.kind === 'read' && hasOtherDatabases(services, requirements) ? 1 : PRIMARY_WAIT_MS))
      if (!hasOtherDatabases(services, requirements)) requirements.excludedDatabases.clear()
      continue
    }
    const acquiredConnection = await revalidateTarget(services, requirements, target, acquired.value)
    if (acquiredConnection !== null) return acquiredConnection
  }
}

/** @returns time for which the operation may still wait for room at the databases, in milliseconds; infinite when only its deadline limits the wait */
function computeRoomWaitMs ({ boundedHolding }: SessionServices, { grant, heldMs, wasOffered }: ConnectionRequirements): number {
  return boundedHolding === undefined || wasOffered ? Infinity : computeHoldLimitMs(grant.endpoint) - heldMs
}

/** @param unavailableReason - why there was no primary; empty when the operation waited for a connection */
function refuseUnsent ({ boundedHolding }: SessionServices, unavailableReason: string): SessionRefusal {
  const retryAfterMs = boundedHolding === undefined ? PRIMARY_RETRY_MS : computeNoPrimaryRetryMs(boundedHolding)
  if (unavailableReason !== '') return buildRefusalPromisingNothingKept('noPrimary', unavailableReason, retryAfterMs)
  return buildRefusalPromisingNothingKept('noDatabase', 'no connection to a database became free before the statement deadline', retryAfterMs)
}

/** Records that a database has no room for the operation. */
export function recordOverload (requirements: ConnectionRequirements, database: DatabaseId, { expectedWaitMs }: Overload): void {
  requirements.overloads.set(database, expectedWaitMs)
}

/** @returns whether the operation is refused in place of going to a database: it, or as many as an operation tries, had no room */
function isWithoutRoom ({ boundedHolding }: SessionServices, { overloads, wasOffered }: ConnectionRequirements, database: DatabaseId): boolean {
  return boundedHolding !== undefined && !wasOffered && (overloads.has(database) || overloads.size >= MAX_OVERLOADED_DATABASES)
}

function refuseWithoutRoom ({ boundedHolding }: SessionServices, { overloads, heldMs }: ConnectionRequirements): SessionRefusal {
  // What has waited in vain has shown that the wait is at least this long.
  const expectedWaitMs = overloads.size === 0 ? heldMs : Math.max(heldMs, Math.min(...overloads.values()))
  const retryAfterMs = boundedHolding === undefined ? PRIMARY_RETRY_MS : computeRetryAfterMs(expectedWaitMs, boundedHolding)
  return buildRefusalPromisingNothingKept('overloaded', 'the databases have no room for the operation within a part of its objective', retryAfterMs)
}

/**
 * Checks again whether the database of a connection is the confirmed primary, since a transaction can outlive the freshness lease and
 * the term under which it began.
 * @returns the connection with the evidence at this time
 */
export function refreshPrimaryEvidence ({ access }: Pick<SessionServices, 'access'>, acquired: AcquiredConnection): AcquiredConnection {
  if (!acquired.isPrimary) return acquired
  const primary = access.primary(acquired.group)
  const isSamePrimary = primary !== null && primary.database.database === acquired.pooled.database && primary.term === acquired.groupTerm
  return { ...acquired, hadFreshnessLease: isSamePrimary && primary.proven }
}

function hasOtherDatabases ({ access }: SessionServices, { grant, excludedDatabases }: ConnectionRequirements): boolean {
  return access.databases(grant.endpoint.group).some(({ database }) => !excludedDatabases.has(database))
}

/**
 * Checks the target against the current directory, since the primary may have changed during the wait for a connection. Surrounds a
 * read on the primary with a plain transaction where nothing else shows that the database is still the primary.
 * @returns null when a new target must be selected
 */
async function revalidateTarget (services: SessionServices, requirements: ConnectionRequirements, target: Exclude<Target, { kind: 'none' }>, pooled: PooledSession): Promise<AcquiredConnection | null> {
  const { access, pool } = services
  const { group } = requirements.grant.endpoint
  if (target.kind === 'replica') {
    return { pooled, group, isPrimary: false, after: target.after, positionAgeMs: target.positionAgeMs, groupTerm: null, hadFreshnessLease: false, hasGuardTransaction: false }
  }
  const primary = access.primary(group)
  if (primary === null || primary.database.database !== target.database.database || primary.term !== target.term) {
    pool.release(pooled)
    return null
  }
  const acquired: AcquiredConnection = { pooled, group, isPrimary: true, after: target.after, positionAgeMs: target.positionAgeMs, groupTerm: primary.term, hadFreshnessLease: primary.proven, hasGuardTransaction: false }
  const isSafeWithoutGuard = requirements.kind === 'write' || requirements.transactionMode === 'plain' || target.after !== null || primary.proven
  if (isSafeWithoutGuard) return acquired
  return await openGuardTransaction(services, requirements, acquired)
}

/**
 * Opens a plain transaction around a read. A database that is no longer the primary refuses plain transactions.
 * @returns null when a new target must be selected
 */
async function openGuardTransaction (services: SessionServices, requirements: ConnectionRequirements, acquired: AcquiredConnection): Promise<AcquiredConnection | null> {
  const { clock, pool, access } = services
  if (requirements.transactionMode === 'read-only') {
    // The next attempt opens the caller's transaction as a plain one, which needs no guard.
    pool.release(acquired.pooled)
    requirements.transactionMode = 'plain'
    return null
  }
  const result = await runStatement(services, acquired.pooled, { id: null, statement: { kind: 'begin', readOnly: false }, after: null, values: requirements.values, limitMs: Math.max(1, requirements.deadline - clock.now()), isLast: false })
  if (result.isErr()) return null
  if (result.value.reply.outcome.kind === 'done') return { ...acquired, hasGuardTransaction: true }
  if (result.value.reply.state === 'idle') pool.release(acquired.pooled)
  else pool.discard(acquired.pooled)
  await access.changed(PRIMARY_WAIT_MS)
  return null
}

function selectTarget (services: SessionServices, requirements: ConnectionRequirements): Target {
  if (requirements.kind === 'write' || requirements.transactionMode === 'plain') return selectPrimaryTarget(services, requirements, null, null)
  const { endpoint } = requirements.grant
  if (endpoint.consistency === 'primary') return selectPrimaryTarget(services, requirements, null, null)
  return selectReadTarget(services, requirements)
}

function selectPrimaryTarget ({ access }: SessionServices, { grant }: ConnectionRequirements, after: LogPosition | null, positionAgeMs: number | null): Target {
  const primary = access.primary(grant.endpoint.group)
  if (primary === null) return { kind: 'none', message: 'the group has no primary at this time' }
  return { kind: 'primary', ...primary, after, positionAgeMs }
}

/** Selects the database for a read. Without a position that it can require, the read goes to the primary, whose answer confirms a new one. */
function selectReadTarget (services: SessionServices, requirements: ConnectionRequirements): Target {
  const { access, clock, failureDomain, health, pool, crossDomainReads } = services
  const { endpoint, workspace } = requirements.grant
  const required = findRequiredPosition(access.history(endpoint.group), endpoint, requirements)
  if (required === null || requirements.needsPrimary === true) return selectPrimaryTarget(services, requirements, null, null)
  const after = required.position
  const positionAgeMs = clock.now() - required.confirmedAt
  const database = chooseDatabase({
    group: endpoint.group,
    workspace,
    failureDomain,
    after,
    positionAgeMs,
    excludedDatabases: requirements.excludedDatabases,
    objectiveMs: endpoint.objectiveMs,
    isTransaction: requirements.transactionMode !== 'none',
    ...(services.boundedHolding === undefined ? {} : { priority: endpoint.priority })
  }, access, health, pool, crossDomainReads)
  if (database === null) return selectPrimaryTarget(services, requirements, null, null)
  const primary = access.primary(endpoint.group)
  if (primary?.database.database === database.database) return { kind: 'primary', ...primary, after, positionAgeMs }
  return { kind: 'replica', database, after, positionAgeMs }
}
