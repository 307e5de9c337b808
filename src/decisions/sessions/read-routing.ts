import type { DatabaseId } from '../../types/ids.js'
import { isAtOrPast, type LogPosition } from '../../types/log-position.js'

/** State of one database, as input for read routing. */
export interface ReadCandidate {
  database: DatabaseId
  /** Whether the database is the primary in force; otherwise it is a replica. */
  primary: boolean
  /** Weight from the directory; 0: the database gets no new work. */
  weight: number
  /** Whether the last status of the database is recent and belongs to the term in force. */
  isCurrent: boolean
  /** Last known position of the database's current incarnation; null when unknown. */
  position: LogPosition | null
  /** Greatest possible age of the data now, in milliseconds. */
  ageMs: number
  /** Whether this instance has a share of the database's slots and connections. */
  hasShare: boolean
  /** Number of free slots of this instance. */
  freeSlots: number
}

/** Requirements of a read on its database. */
export interface ReadRequirement {
  /** Required position; null when the read has none. */
  required: LogPosition | null
  primaryOnly: boolean
  /** Greatest accepted age of a replica's data in milliseconds; null when the read accepts any. */
  oldestAgeMs: number | null
  /** Whether the read has waited long enough for a replica, so that the primary may serve it. */
  canUsePrimary: boolean
}

function qualifiesForPosition (candidate: ReadCandidate, required: LogPosition | null): boolean {
  if (!candidate.isCurrent || !candidate.hasShare || candidate.weight <= 0 || candidate.position === null) return false
  return required === null || isAtOrPast(candidate.position, required)
}

function isRecentEnough (candidate: ReadCandidate, oldestAgeMs: number | null): boolean {
  return oldestAgeMs === null || candidate.ageMs <= oldestAgeMs
}

/**
 * Selects the databases that may serve a read, whether or not a slot is free. The primary is selected only when the read requires it,
 * or when no replica qualifies and `canUsePrimary` is set. The age limit applies to replicas only, since the primary's
 * data is current by definition.
 */
export function selectQualifyingDatabases (candidates: readonly ReadCandidate[], requirement: ReadRequirement): ReadCandidate[] {
  const candidatesAtPosition = candidates.filter((candidate) => qualifiesForPosition(candidate, requirement.required))
  const primary = candidatesAtPosition.filter((candidate) => candidate.primary)
  if (requirement.primaryOnly) return primary
  const replicas = candidatesAtPosition.filter((candidate) => !candidate.primary && isRecentEnough(candidate, requirement.oldestAgeMs))
  if (replicas.length > 0) return replicas
  return requirement.canUsePrimary ? primary : []
}

/**
 * Picks one database with a probability proportional to its weight and free slots.
 * @param random - returns a number from 0 up to, but not including, 1
 * @returns null when no database has a free slot
 */
export function pickByFreeSlots (candidates: readonly ReadCandidate[], random: () => number): ReadCandidate | null {
  const free = candidates.filter((candidate) => candidate.freeSlots > 0 && candidate.weight > 0)
  const last = free.at(-1)
  if (last === undefined) return null
  const total = free.reduce((sum, candidate) => sum + candidate.weight * candidate.freeSlots, 0)
  let point = random() * total
  for (const candidate of free) {
    point -= candidate.weight * candidate.freeSlots
    if (point < 0) return candidate
  }
  return last
}
