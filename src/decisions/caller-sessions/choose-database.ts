import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId, FailureDomainId, GroupId, WorkspaceId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import { isAtOrPast } from '../../types/log-position.js'
import type { CrossDomainReads } from './cross-domain-reads.js'
import type { DatabaseHealth } from './database-health.js'
import type { GroupAccess } from './group-access.js'
import type { SessionPool } from './session-pool.js'

/** Cost of a database in another failure domain. All costs are expected delays. */
const OTHER_FAILURE_DOMAIN_COST_MS = 25
/** Cost that keeps reads away from the primary, since only the primary can run writes. */
const PRIMARY_COST_MS = 50
/** Cost of opening a connection, which takes a few round trips and a slot of the database. */
const OPEN_CONNECTION_COST_MS = 45
/** Cost of a database whose connections are all in use, so that the read has to wait for one. */
const NO_FREE_CONNECTION_COST_MS = 60
/** A replica that was seen lagging gets reads again after this time. */
const MAX_LAG_EVIDENCE_AGE_MS = 1000
/** Cost of a replica that is expected to refuse the read: a round trip and the wait at the next database. */
const LAGGING_REPLICA_COST_MS = 200

/** Criteria for selecting the database of one read. */
export interface ReadCriteria {
  group: GroupId
  workspace: WorkspaceId
  /** Failure domain of this instance. */
  failureDomain: FailureDomainId
  /** Required position. */
  after: LogPosition
  /** Age in milliseconds of the primary's answer that confirmed the required position. */
  positionAgeMs: number
  /** Databases that refused the statement or could not be used. */
  excludedDatabases: ReadonlySet<DatabaseId>
  /** Priority of the read, where the expected wait for a slot counts; absent where statements are not ordered by slots. */
  priority?: number
  /** Time in milliseconds within which the caller wants the answer. */
  objectiveMs: number
  /** Whether a read-only transaction will be opened, and not a single read run. */
  isTransaction: boolean
}

/**
 * Selects the database with the lowest expected delay for a read. Databases that health evidence rules out are used only when no
 * other is left.
 * @param crossDomainReads - decides from measured times which reads leave the failure domain; null: fixed costs are used
 * @returns null when the group has no database that may get new work and is not excluded
 */
export function chooseDatabase (choice: ReadCriteria, access: GroupAccess, health: DatabaseHealth, pool: SessionPool, crossDomainReads: CrossDomainReads | null = null): DirectoryDatabase | null {
  const candidates = access.databases(choice.group).filter(({ database }) => !choice.excludedDatabases.has(database))
  const usable = candidates.filter(({ database }) => health.isUsable(database))
  const primary = access.primary(choice.group)?.database.database
  if (crossDomainReads !== null) return chooseByMeasuredTimes(usable.length > 0 ? usable : candidates, primary, choice, { access, health, pool, crossDomainReads })
  let best: DirectoryDatabase | null = null
  let bestCostMs = Infinity
  for (const candidate of usable.length > 0 ? usable : candidates) {
    const costMs = estimateCostMs(candidate, candidate.database === primary, choice, access, health, pool)
    if (costMs >= bestCostMs) continue
    best = candidate
    bestCostMs = costMs
  }
  return best
}

function estimateCostMs (candidate: DirectoryDatabase, isPrimary: boolean, choice: ReadCriteria, access: GroupAccess, health: DatabaseHealth, pool: SessionPool): number {
  const availability = pool.connectionAvailability(candidate, choice.workspace)
  return health.expectedLatencyMs(candidate.database) +
    expectedSlotWaitMs(candidate, choice, health, pool) +
    (candidate.failureDomain === choice.failureDomain ? 0 : OTHER_FAILURE_DOMAIN_COST_MS) +
    (isPrimary ? PRIMARY_COST_MS : 0) +
    (availability === 'idle' ? 0 : availability === 'openable' ? OPEN_CONNECTION_COST_MS : NO_FREE_CONNECTION_COST_MS) +
    (!isPrimary && isKnownToLag(candidate, choice, access, health) ? LAGGING_REPLICA_COST_MS : 0)
}

/** The wait at this instance, if it lends the connections of the database, or else the wait that their lender reported. */
function expectedSlotWaitMs ({ database }: DirectoryDatabase, { workspace, priority }: ReadCriteria, health: DatabaseHealth, pool: SessionPool): number {
  return priority === undefined ? 0 : Math.max(pool.expectedWaitMs(database, workspace, priority), health.expectedWaitMs(database, priority))
}

interface MeasuredChoice {
  access: GroupAccess
  health: DatabaseHealth
  pool: SessionPool
  crossDomainReads: CrossDomainReads
}

/** Selects among the databases of this failure domain, or, for the share of reads that leave it, among the others. A replica that is known to lag gets no read while another one can serve it. */
function chooseByMeasuredTimes (candidates: readonly DirectoryDatabase[], primary: DatabaseId | undefined, choice: ReadCriteria, services: MeasuredChoice): DirectoryDatabase | null {
  const { access, health, pool, crossDomainReads } = services
  const current = candidates.filter((candidate) => candidate.database === primary || !isKnownToLag(candidate, choice, access, health))
  const selected = crossDomainReads.selectCandidates(choice, current.length > 0 ? current : candidates)
  return crossDomainReads.pickClosest(choice.group, selected.map((database) => {
    const expectedMs = crossDomainReads.expectedMs(database, database.database === primary)
    const availability = pool.connectionAvailability(database, choice.workspace)
    // A connection in use becomes free when its statement ends.
    return { database, costMs: expectedMs + (availability === 'idle' ? 0 : availability === 'openable' ? crossDomainReads.openingMs() : expectedMs) }
  }))
}

/** Compares the replica's last known position with the required one. A replica that lagged recently most likely still lags as much. */
function isKnownToLag (candidate: DirectoryDatabase, choice: ReadCriteria, access: GroupAccess, health: DatabaseHealth): boolean {
  const lastKnown = health.position(candidate.database)
  if (lastKnown === null || lastKnown.ageMs >= MAX_LAG_EVIDENCE_AGE_MS || isAtOrPast(lastKnown.position, choice.after)) return false
  return access.history(choice.group).computeLagMs(lastKnown.position, lastKnown.at) > choice.positionAgeMs
}
