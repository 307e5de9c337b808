import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId, FailureDomainId, GroupId, WorkspaceId } from '../../types/ids.js'
import type { LogPosition } from '../../types/log-position.js'
import { isAtOrPast } from '../../types/log-position.js'
import type { DatabaseHealth } from './database-health.js'
import type { GroupAccess } from './group-access.js'
import type { SessionPool } from './session-pool.js'

/** Cost of a choice in milliseconds of expected delay. */
const OTHER_DOMAIN_MS = 25
/** Spares the primary, which alone can run writes. */
const PRIMARY_MS = 50
/** Opening a connection takes a few round trips and a slot. */
const OPEN_CONNECTION_MS = 45
/** All connections are in use. */
const NO_CONNECTION_MS = 60
/** A replica that lagged too far is tried again after this time, in milliseconds. */
const LAG_KNOWN_MS = 1000
/** Cost of asking a replica that is expected to refuse: a round trip and the wait at the next database. */
const BEHIND_MS = 200

export interface ReadChoice {
  group: GroupId
  workspace: WorkspaceId
  failureDomain: FailureDomainId
  /** Position that the database must hold. */
  after: LogPosition
  /** Age of the proof of that position, in milliseconds. */
  positionAgeMs: number
  /** Databases that have refused the statement. */
  tried: ReadonlySet<DatabaseId>
}

/** @returns the database that is expected to answer a read first, or null when none may be asked */
export function chooseForRead (choice: ReadChoice, access: GroupAccess, health: DatabaseHealth, pool: SessionPool): DirectoryDatabase | null {
  const candidates = access.databases(choice.group).filter(({ database }) => !choice.tried.has(database))
  const usable = candidates.filter(({ database }) => health.isUsable(database))
  const primary = access.primary(choice.group)?.database.database
  let best: DirectoryDatabase | null = null
  let bestCost = Infinity
  for (const candidate of usable.length > 0 ? usable : candidates) {
    const cost = costOf(candidate, candidate.database === primary, choice, access, health, pool)
    if (cost >= bestCost) continue
    best = candidate
    bestCost = cost
  }
  return best
}

function costOf (candidate: DirectoryDatabase, isPrimary: boolean, choice: ReadChoice, access: GroupAccess, health: DatabaseHealth, pool: SessionPool): number {
  const outlook = pool.outlook(candidate, choice.workspace)
  return health.expectedMs(candidate.database) +
    (candidate.failureDomain === choice.failureDomain ? 0 : OTHER_DOMAIN_MS) +
    (isPrimary ? PRIMARY_MS : 0) +
    (outlook === 'idle' ? 0 : outlook === 'openable' ? OPEN_CONNECTION_MS : NO_CONNECTION_MS) +
    (!isPrimary && isBehind(candidate, choice, access, health) ? BEHIND_MS : 0)
}

/** A replica that lagged a moment ago most likely lags as much now. */
function isBehind (candidate: DirectoryDatabase, choice: ReadChoice, access: GroupAccess, health: DatabaseHealth): boolean {
  const told = health.position(candidate.database)
  if (told === null || told.ageMs >= LAG_KNOWN_MS || isAtOrPast(told.position, choice.after)) return false
  return access.history(choice.group).lagAt(told.position, told.at) > choice.positionAgeMs
}
