import { compareLogPositions } from '../../types/log-position.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { DatabaseId } from '../../types/ids.js'

/** A database that is fenced for the new term. */
export interface FencedDatabase {
  database: DatabaseId
  status: DatabaseStatus
  weight: number
}

/**
 * Chooses the database with the furthest log position of a fenced majority, so that no acknowledged write is lost.
 * Among databases at the same position, one with a weight above 0 goes first, then the preferred one, then the greater weight.
 * A database of weight 0 is chosen only if no other database is as far. A switchover away from it follows.
 * @param fenced - the fenced databases, at least a majority of the group
 * @param preferred - target of a planned switchover, or null
 * @returns the database to promote, or undefined if `fenced` is empty
 */
export function choosePrimary (fenced: readonly FencedDatabase[], preferred: DatabaseId | null): FencedDatabase | undefined {
  return [...fenced].sort((left, right) => compareCandidates(left, right, preferred))[0]
}

function compareCandidates (left: FencedDatabase, right: FencedDatabase, preferred: DatabaseId | null): number {
  const positionOrder = compareLogPositions(right.status.position, left.status.position)
  if (positionOrder !== 0) return positionOrder
  const weightOrder = Number(right.weight > 0) - Number(left.weight > 0)
  if (weightOrder !== 0) return weightOrder
  const preferenceOrder = Number(right.database === preferred) - Number(left.database === preferred)
  if (preferenceOrder !== 0) return preferenceOrder
  if (left.weight !== right.weight) return right.weight - left.weight
  return left.database < right.database ? -1 : 1
}
