import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId, GroupId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import { compareLogPositions } from '../../types/log-position.js'
import type { SessionRefusal } from '../../types/session-statement.js'
import { chooseForRead } from './choose-database.js'
import type { PooledSession } from './pooled-session.js'
import type { SessionGrant, SessionServices } from './session-services.js'
import { refuseOperation } from './session-services.js'
import type { SessionValues } from './session-values.js'
import { runStatement } from './statement-runner.js'

/** Longest wait for a connection of one database before the choice is made anew, in milliseconds. */
const CONNECTION_WAIT_MS = 150
/** Longest wait for a change of the directory before the primary is looked at again, in milliseconds. */
const PRIMARY_WAIT_MS = 100
/** A new primary is usually in service after this time, in milliseconds. */
const PRIMARY_RETRY_MS = 500
/** Part of a statement's time after which it is refused when it could not be sent; the rest is for the answer to reach the caller. */
const UNSENT_SHARE = 0.9

/** What a statement or transaction needs of a connection. */
export interface ConnectionNeed {
  grant: SessionGrant
  kind: 'read' | 'write'
  needsTransaction: 'none' | 'plain' | 'read-only'
  arrivedAt: Milliseconds
  giveUpAt: Milliseconds
  /** Position of the last commit of the session. */
  position: LogPosition | null
  values: SessionValues
  /** Databases that refused; they are asked again only when no other is left. */
  tried: Set<DatabaseId>
  /** Set once a replica lagged. */
  needsPrimary?: boolean
}

/** A connection for one statement or transaction, and why it may serve it. */
export interface Acquired {
  pooled: PooledSession
  group: GroupId
  isPrimary: boolean
  /** Position that the database must hold, sent with the statement. */
  after: LogPosition | null
  /** Age of the proof behind `after`, in milliseconds. */
  positionAgeMs: number | null
  groupTerm: number | null
  /** Whether the freshness lease held when the connection was taken. */
  provenAtStart: boolean
  /** A plain transaction was opened around a single read, since without a lease only the database itself knows whether it leads. */
  wrapped: boolean
}

type Target =
  | { kind: 'primary', database: DirectoryDatabase, term: number, proven: boolean, after: LogPosition | null, positionAgeMs: number | null }
  | { kind: 'replica', database: DirectoryDatabase, after: LogPosition, positionAgeMs: number }
  | { kind: 'none', message: string }

/** Takes a connection to a database that may serve the need, or tells why there is none. */
export async function acquireConnection (services: SessionServices, need: ConnectionNeed): Promise<Acquired | SessionRefusal> {
  const { clock, access, pool } = services
  const { endpoint, workspace } = need.grant
  const unsentUntil = addTime(need.arrivedAt, endpoint.statementTimeoutMs * UNSENT_SHARE)
  let lastMessage = ''
  for (;;) {
    const leftMs = unsentUntil - clock.now()
    if (leftMs <= 0) return refuseOperation(lastMessage === '' ? 'noDatabase' : 'noPrimary', lastMessage === '' ? 'no connection to a database became free in time' : lastMessage, PRIMARY_RETRY_MS)
    const target = chooseTarget(services, need)
    if (target.kind === 'none') {
      lastMessage = target.message
      await access.changed(Math.min(leftMs, PRIMARY_WAIT_MS))
      continue
    }
    if (target.kind === 'primary' && !services.health.mayTry(target.database.database)) {
      lastMessage = 'the primary gives no answer'
      await access.changed(Math.min(leftMs, PRIMARY_WAIT_MS))
      continue
    }
    const acquired = await pool.acquire(target.database, workspace, endpoint.priority, Math.min(leftMs, CONNECTION_WAIT_MS))
    if (acquired.isErr()) {
      if (need.kind === 'read') need.tried.add(target.database.database)
      if (acquired.error === 'unreachable') await access.changed(Math.min(leftMs, need.kind === 'read' && hasOthers(services, need) ? 1 : PRIMARY_WAIT_MS))
      if (!hasOthers(services, need)) need.tried.clear()
      continue
    }
    const ready = await makeReady(services, need, target, acquired.value)
    if (ready !== null) return ready
  }
}

function hasOthers ({ access }: SessionServices, { grant, tried }: ConnectionNeed): boolean {
  return access.databases(grant.endpoint.group).some(({ database }) => !tried.has(database))
}

/** Chooses by the directory of this moment, as the wait for a connection may have outlived the choice. */
async function makeReady (services: SessionServices, need: ConnectionNeed, target: Exclude<Target, { kind: 'none' }>, pooled: PooledSession): Promise<Acquired | null> {
  const { access, pool } = services
  const { group } = need.grant.endpoint
  if (target.kind === 'replica') {
    return { pooled, group, isPrimary: false, after: target.after, positionAgeMs: target.positionAgeMs, groupTerm: null, provenAtStart: false, wrapped: false }
  }
  const primary = access.primary(group)
  if (primary === null || primary.database.database !== target.database.database || primary.term !== target.term) {
    pool.release(pooled)
    return null
  }
  const acquired: Acquired = { pooled, group, isPrimary: true, after: target.after, positionAgeMs: target.positionAgeMs, groupTerm: primary.term, provenAtStart: primary.proven, wrapped: false }
  const isProtected = need.kind === 'write' || need.needsTransaction === 'plain' || target.after !== null || primary.proven
  if (isProtected) return acquired
  return await wrap(services, need, acquired)
}

/** Opens a plain transaction, in which a database that has lost the lead refuses to read. */
async function wrap (services: SessionServices, need: ConnectionNeed, acquired: Acquired): Promise<Acquired | null> {
  const { clock, pool, access } = services
  if (need.needsTransaction === 'read-only') {
    // The caller's transaction is opened as a plain one instead.
    pool.release(acquired.pooled)
    need.needsTransaction = 'plain'
    return null
  }
  const result = await runStatement(services, acquired.pooled, { id: null, statement: { kind: 'begin', readOnly: false }, after: null, values: need.values, limitMs: Math.max(1, need.giveUpAt - clock.now()), isLast: false })
  if (result.isErr()) return null
  if (result.value.reply.outcome.kind === 'done') return { ...acquired, wrapped: true }
  if (result.value.reply.state === 'idle') pool.release(acquired.pooled)
  else pool.discard(acquired.pooled)
  await access.changed(PRIMARY_WAIT_MS)
  return null
}

function chooseTarget (services: SessionServices, need: ConnectionNeed): Target {
  if (need.kind === 'write' || need.needsTransaction === 'plain') return primaryTarget(services, need, null, null)
  const { endpoint } = need.grant
  if (endpoint.consistency === 'primary') return primaryTarget(services, need, null, null)
  return readTarget(services, need)
}

function primaryTarget ({ access }: SessionServices, { grant }: ConnectionNeed, after: LogPosition | null, positionAgeMs: number | null): Target {
  const primary = access.primary(grant.endpoint.group)
  if (primary === null) return { kind: 'none', message: 'the group has no primary at present' }
  return { kind: 'primary', ...primary, after, positionAgeMs }
}

/**
 * A read demands a position that the primary told no longer ago than the allowed age, and the session's own last commit.
 * Without such a position it goes to the primary, whose answer tells a new one.
 */
function readTarget (services: SessionServices, need: ConnectionNeed): Target {
  const { access, clock, failureDomain, health, pool } = services
  const { endpoint, workspace } = need.grant
  const history = access.history(endpoint.group)
  const sample = history.oldestSince(addTime(need.arrivedAt, -endpoint.maxStalenessMs))
  const own = endpoint.consistency === 'read-your-writes' ? need.position : null
  // A commit of an earlier term may have been rolled back; replicas would wait for it for ever.
  const isOwnOld = own !== null && own.term < history.term()
  if (sample === null || isOwnOld || need.needsPrimary === true) return primaryTarget(services, need, null, null)
  const after = own !== null && compareLogPositions(own, sample.position) > 0 ? own : sample.position
  const positionAgeMs = clock.now() - sample.provenAt
  const database = chooseForRead({ group: endpoint.group, workspace, failureDomain, after, positionAgeMs, tried: need.tried }, access, health, pool)
  if (database === null) return primaryTarget(services, need, null, null)
  const primary = access.primary(endpoint.group)
  if (primary?.database.database === database.database) return { kind: 'primary', ...primary, after, positionAgeMs }
  return { kind: 'replica', database, after, positionAgeMs }
}
