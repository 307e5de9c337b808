import type { DirectoryDatabase, DirectoryInstance } from '../../types/directory.js'
import type { WorkspaceId } from '../../types/ids.js'
import { rankByKey } from '../../utils/rank-by-key.js'

/**
 * When a database accepts at least this many connections per workspace and instance, every instance holds its own connections.
 * With fewer, most operations would have to open a connection first, since a connection serves a single workspace.
 */
const OWN_CONNECTIONS_PER_WORKSPACE = 0.25

/** Input for selecting the connection holders of a database. */
export interface HolderCriteria {
  database: DirectoryDatabase
  instances: readonly DirectoryInstance[]
  /** Connections that the database accepts from all instances together. */
  connectionLimit: number
  /** Number of workspaces in the manifest in force. */
  workspaceCount: number
}

/**
 * Selects the connection holders of a database, which lend connections to all other instances. They are the instances in the
 * failure domain of the database, which have the shortest network path, or all instances when none runs there. Draining
 * instances are left out.
 * @returns the holders; null when every instance holds its own connections, so that no loans are needed
 */
export function selectLendingHolders ({ database, instances, connectionLimit, workspaceCount }: HolderCriteria): DirectoryInstance[] | null {
  const minimumForOwnConnections = instances.length * workspaceCount * OWN_CONNECTIONS_PER_WORKSPACE
  if (connectionLimit >= minimumForOwnConnections) return null
  const candidates = instances.filter(({ draining }) => !draining)
  const nearby = candidates.filter(({ failureDomain }) => failureDomain === database.failureDomain)
  return nearby.length > 0 ? nearby : candidates
}

/**
 * Selects the lenders of a database with scheduled slots: as many connection holders as the database has slots. Few lenders make few
 * queues of statements, and each has many of the database's connections for the workspaces that it serves.
 */
export function selectSlotLenders (holders: readonly DirectoryInstance[], { database }: DirectoryDatabase, slots: number): DirectoryInstance[] {
  return rankByKey(database, holders, ({ instance }) => instance).slice(0, slots)
}

/** @returns the connection holders in the order in which an instance sends them loan requests for the workspace */
export function rankHolders (holders: readonly DirectoryInstance[], database: DirectoryDatabase, workspace: WorkspaceId): DirectoryInstance[] {
  return rankByKey(`${database.database} ${workspace}`, holders, ({ instance }) => instance)
}
