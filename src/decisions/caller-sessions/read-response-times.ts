import type { Clock, Milliseconds } from '../../types/clock.js'
import type { DatabaseId, GroupId } from '../../types/ids.js'

/** Weight of a new answer in the response time of its database. An instance has one or two reads per second in a group. */
const NEW_ANSWER_WEIGHT = 0.4
/** Weight of a lower response time in the unloaded one, which follows it within some answers. */
const LOWER_WEIGHT = 0.2
/** Weight of a higher response time in the unloaded one, which keeps its value through a load of some seconds. */
const HIGHER_WEIGHT = 0.005
/** Response time assumed before the first answer. */
const INITIAL_MS = 20
/** Answers from which the unloaded response time of a group is first computed, as their average. */
const FIRST_ANSWERS = 8
/** Time constant with which an excess over the unloaded response time is forgotten without new answers. It lets reads return to a database that gets none. */
const FORGET_MS = 3000
/** A full queue waits longer than what was measured before: its expected time counts this many times. */
const REFUSAL_FACTOR = 2

/** How a read ended. `refused`: the database, or the lender of its connections, had no capacity; `unjudged`: the end says nothing about the time. */
export type ReadEnd = 'answered' | 'refused' | 'unjudged'

/** Response times of the databases of one instance for single reads, without the round trip to their failure domain. */
export interface ReadResponseTimes {
  /** Records a read that was sent. @returns a function that records how it ended */
  start: (group: GroupId, database: DatabaseId, roundTripMs: number) => (end: ReadEnd) => void
  /** @returns whether enough answers of the group were measured */
  isMeasured: (group: GroupId) => boolean
  /** @returns response time of an unloaded database of the group in milliseconds; an assumed one before the first answer */
  unloadedMs: (group: GroupId) => number
  /** @returns by how much the response time of the database exceeds that of an unloaded one of its group, in milliseconds */
  excessMs: (group: GroupId, database: DatabaseId) => number
  /** Removes the records of databases that are not listed. */
  keepOnly: (databases: ReadonlySet<DatabaseId>) => void
}

interface DatabaseTimes {
  /** Excess over the unloaded response time at the last answer. */
  excessMs: number
  answeredAt: Milliseconds
  /** Reads in flight by the time from which they are overdue evidence, oldest first. */
  inFlight: Map<symbol, number>
}

/**
 * Creates the response times. The unloaded response time is that of the group, so a database that gets no reads is expected to be as fast
 * as the others are without load, until an answer shows otherwise.
 */
export function createReadResponseTimes (clock: Clock): ReadResponseTimes {
  const unloadedByGroup = new Map<GroupId, { ms: number, answers: number }>()
  const timesByDatabase = new Map<DatabaseId, DatabaseTimes>()

  function findOrCreateTimes (database: DatabaseId): DatabaseTimes {
    const times = timesByDatabase.get(database) ?? { excessMs: 0, answeredAt: clock.now(), inFlight: new Map() }
    timesByDatabase.set(database, times)
    return times
  }

  const readUnloadedMs = (group: GroupId): number => unloadedByGroup.get(group)?.ms ?? INITIAL_MS

  function computeRememberedExcessMs ({ excessMs, answeredAt }: DatabaseTimes): number {
    return excessMs * Math.exp(-(clock.now() - answeredAt) / FORGET_MS)
  }

  function computeExcessMs (group: GroupId, database: DatabaseId): number {
    const times = timesByDatabase.get(database)
    if (times === undefined) return 0
    const oldestSentAt = times.inFlight.values().next().value
    const waitedMs = oldestSentAt === undefined ? 0 : clock.now() - oldestSentAt
    return Math.max(computeRememberedExcessMs(times), waitedMs - readUnloadedMs(group), 0)
  }

  function record (group: GroupId, times: DatabaseTimes, responseMs: number): void {
    const { ms: unloadedMs, answers } = unloadedByGroup.get(group) ?? { ms: responseMs, answers: 0 }
    const knownMs = unloadedMs + computeRememberedExcessMs(times)
    const currentMs = knownMs + (responseMs - knownMs) * NEW_ANSWER_WEIGHT
    const nextUnloadedMs = answers < FIRST_ANSWERS
      ? unloadedMs + (responseMs - unloadedMs) / (answers + 1)
      : unloadedMs + (currentMs - unloadedMs) * (currentMs < unloadedMs ? LOWER_WEIGHT : HIGHER_WEIGHT)
    unloadedByGroup.set(group, { ms: nextUnloadedMs, answers: answers + 1 })
    times.excessMs = currentMs - nextUnloadedMs
    times.answeredAt = clock.now()
  }

  return {
    start: (group, database, roundTripMs) => {
      const times = findOrCreateTimes(database)
      const key = Symbol('read')
      const sentAt = clock.now() + roundTripMs
      times.inFlight.set(key, sentAt)
      return (end) => {
        if (!times.inFlight.delete(key) || end === 'unjudged') return
        const elapsedMs = Math.max(0, clock.now() - sentAt)
        const expectedMs = readUnloadedMs(group) + computeExcessMs(group, database)
        record(group, times, end === 'answered' ? elapsedMs : Math.max(elapsedMs, expectedMs * REFUSAL_FACTOR))
      }
    },
    isMeasured: (group) => (unloadedByGroup.get(group)?.answers ?? 0) >= FIRST_ANSWERS,
    unloadedMs: readUnloadedMs,
    excessMs: computeExcessMs,
    keepOnly: (databases) => {
      for (const database of timesByDatabase.keys()) if (!databases.has(database)) timesByDatabase.delete(database)
    }
  }
}
