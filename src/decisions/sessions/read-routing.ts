import type { DatabaseId } from '../../types/ids.js'
import { isAtOrPast, type LogPosition } from '../../types/log-position.js'

/** A database as read routing sees it. */
export interface ReadCandidate {
  database: DatabaseId
  /** Whether it is the primary in force; otherwise a replica. */
  primary: boolean
  /** 0: gets no new work. */
  weight: number
  /** Whether its status is recent and of the term in force. */
  current: boolean
  /** Position of the incarnation that its connections belong to; null when unknown. */
  position: LogPosition | null
  /** How old its data may be now, in milliseconds. */
  ageMs: number
  /** Whether this instance holds slots and connections of it at all. */
  shared: boolean
  /** Slots free at this moment. */
  freeSlots: number
}

/** What a read asks of its database. */
export interface ReadRequirement {
  required: LogPosition | null
  primaryOnly: boolean
  oldestAgeMs: number | null
  /** Whether the read has waited long enough for a replica. */
  mayUsePrimary: boolean
}

function holdsSession (candidate: ReadCandidate, required: LogPosition | null): boolean {
  if (!candidate.current || !candidate.shared || candidate.weight <= 0 || candidate.position === null) return false
  return required === null || isAtOrPast(candidate.position, required)
}

function isYoungEnough (candidate: ReadCandidate, oldestAgeMs: number | null): boolean {
  return oldestAgeMs === null || candidate.ageMs <= oldestAgeMs
}

/**
 * Lists the databases that may serve a read, whether or not a slot is free.
 * The age bound is for replicas: the primary's data is current by definition.
 */
export function qualifyingDatabases (candidates: readonly ReadCandidate[], requirement: ReadRequirement): ReadCandidate[] {
  const holding = candidates.filter((candidate) => holdsSession(candidate, requirement.required))
  const primary = holding.filter((candidate) => candidate.primary)
  if (requirement.primaryOnly) return primary
  const replicas = holding.filter((candidate) => !candidate.primary && isYoungEnough(candidate, requirement.oldestAgeMs))
  if (replicas.length > 0) return replicas
  return requirement.mayUsePrimary ? primary : []
}

/**
 * Picks one database with a probability in proportion to its weight and free slots.
 * @param random - a number from 0 up to 1
 * @returns null when none has a free slot
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
