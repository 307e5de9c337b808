import { compareLogPositions } from '../../types/log-position.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { DatabaseId } from '../../types/ids.js'

/** A database that was fenced for the new term. */
export interface FencedDatabase {
  database: DatabaseId
  status: DatabaseStatus
  weight: number
}

/**
 * Chooses the furthest database of a fenced majority, so that no acknowledged write is lost.
 * Among equally far ones, a database that may get work goes first, then the preferred one, then the greater weight.
 * A database of weight 0 is chosen only if it is alone at the furthest position; a switchover away from it follows.
 * @param fenced - a majority of the group
 * @param preferred - target of a planned switchover
 */
export function choosePrimary (fenced: readonly FencedDatabase[], preferred: DatabaseId | null): FencedDatabase | undefined {
  return [...fenced].sort((left, right) => compareCandidates(left, right, preferred))[0]
}

function compareCandidates (left: FencedDatabase, right: FencedDatabase, preferred: DatabaseId | null): number {
  const distance = compareLogPositions(right.status.position, left.status.position)
  if (distance !== 0) return distance
  const usable = Number(right.weight > 0) - Number(left.weight > 0)
  if (usable !== 0) return usable
  const preference = Number(right.database === preferred) - Number(left.database === preferred)
  if (preference !== 0) return preference
  if (left.weight !== right.weight) return right.weight - left.weight
  return left.database < right.database ? -1 : 1
}
