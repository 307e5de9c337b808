import type { DirectoryDatabase, DirectoryInstance } from '../../types/directory.js'
import type { WorkspaceId } from '../../types/ids.js'
import { rankByKey } from '../../utils/rank-by-key.js'

/**
 * Connections for each workspace on each instance from which on every instance keeps connections of its own. With fewer, most
 * operations would open a connection, as one serves a single workspace.
 */
const OWN_CONNECTIONS_PER_WORKSPACE = 0.25

export interface HolderQuestion {
  database: DirectoryDatabase
  instances: readonly DirectoryInstance[]
  /** Connections that the database accepts from all instances together. */
  connectionLimit: number
  /** Workspaces of the manifest in force. */
  workspaceCount: number
}

/**
 * Names the instances that hold connections of a database: those of its failure domain, since the way from there is short, or all
 * where none runs there. All other instances borrow from them.
 * @returns null when every instance holds connections of its own
 */
export function connectionHolders ({ database, instances, connectionLimit, workspaceCount }: HolderQuestion): DirectoryInstance[] | null {
  const wanted = instances.length * workspaceCount * OWN_CONNECTIONS_PER_WORKSPACE
  if (connectionLimit >= wanted) return null
  const candidates = instances.filter(({ draining }) => !draining)
  const near = candidates.filter(({ failureDomain }) => failureDomain === database.failureDomain)
  return near.length > 0 ? near : candidates
}

/** @returns the holders in the order in which they are asked for a connection of the workspace */
export function rankHolders (holders: readonly DirectoryInstance[], database: DirectoryDatabase, workspace: WorkspaceId): DirectoryInstance[] {
  return rankByKey(`${database.database} ${workspace}`, holders, ({ instance }) => instance)
}
