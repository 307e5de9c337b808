import { incarnationId, type DatabaseId, type IncarnationId } from '../../../src/types/ids.js'
import { compareLogPositions, type LogPosition } from '../../../src/types/log-position.js'
import type { DatabaseStatus } from '../../../src/types/database-status.js'

/** One entry of a database's log, with the statements that were committed together. */
export interface Entry {
  term: number
  statements: readonly string[]
}

export interface FakeDatabase {
  id: DatabaseId
  /** Number of the database's incarnation; a restart increments it. */
  run: number
  role: 'primary' | 'replica'
  term: number
  fencedTerm: number
  log: Entry[]
}

export const toIncarnation = (database: FakeDatabase): IncarnationId => incarnationId(`run-${database.run}`)

export function positionOf (database: FakeDatabase): LogPosition {
  return { term: database.log.at(-1)?.term ?? 1, offset: database.log.length }
}

export function statusOf (database: FakeDatabase): DatabaseStatus {
  const { id, role, term, fencedTerm } = database
  return { database: id, incarnation: toIncarnation(database), role, term, fencedTerm, position: positionOf(database), ageMs: 0 }
}

export const holdsStatement = (database: FakeDatabase, statement: string): boolean => database.log.some((entry) => entry.statements.includes(statement))

/** Creates databases with terms, fencing and asynchronous replication, as design sections 2.3 and 5.7 describe them. */
export function createFakeGroup (ids: readonly DatabaseId[]) {
  const databases: FakeDatabase[] = ids.map((id, index) => ({ id, run: 1, role: index === 0 ? 'primary' : 'replica', term: 1, fencedTerm: 1, log: [] }))
  /** Number of commits of each statement. */
  const applied = new Map<string, number>()

  function find (id: DatabaseId): FakeDatabase {
    const database = databases.find((entry) => entry.id === id)
    if (database === undefined) throw new Error(`no database ${id}`)
    return database
  }

  /** @returns the primary of the highest term; a former primary may still have the role under a lower term */
  function findNewestPrimary (): FakeDatabase {
    const primaries = databases.filter((database) => database.role === 'primary').sort((left, right) => right.term - left.term)
    const newest = primaries[0]
    if (newest === undefined) throw new Error('no primary')
    return newest
  }

  const acceptsWrites = (database: FakeDatabase, term: number): boolean => database.role === 'primary' && database.term === term && database.fencedTerm <= term

  function commit (database: FakeDatabase, statements: readonly string[]): LogPosition {
    database.log.push({ term: database.term, statements })
    for (const statement of statements) applied.set(statement, (applied.get(statement) ?? 0) + 1)
    return positionOf(database)
  }

  /**
   * Copies one entry from the primary of the replica's term. A fenced replica copies no entries of lower terms.
   * @returns whether there was an entry to copy
   */
  function replicate (replica: FakeDatabase): boolean {
    const primary = databases.find((database) => database.role === 'primary' && database.term === replica.term)
    if (primary === undefined || replica.role !== 'replica' || replica.fencedTerm > replica.term) return false
    const next = primary.log[replica.log.length]
    if (next !== undefined) replica.log.push(next)
    return next !== undefined
  }

  /** Fences all databases but the excluded one and promotes the fenced one with the highest position. @returns the new term */
  function failOver (excluded: DatabaseId): number {
    const term = Math.max(...databases.map((database) => Math.max(database.term, database.fencedTerm))) + 1
    const majority = databases.filter((database) => database.id !== excluded)
    for (const database of majority) database.fencedTerm = term
    majority.sort((left, right) => compareLogPositions(positionOf(right), positionOf(left)))
    const [chosen] = majority
    if (chosen === undefined) throw new Error('no majority')
    chosen.role = 'primary'
    chosen.term = term
    chosen.log.push({ term, statements: [] })
    return term
  }

  /** Makes a database a replica of the newest primary and removes the entries that the primary does not hold. */
  function follow (database: FakeDatabase): void {
    const primary = findNewestPrimary()
    if (database === primary) return
    let common = 0
    while (common < database.log.length && database.log[common] === primary.log[common]) common++
    database.log.length = common
    database.role = 'replica'
    database.term = primary.term
    database.fencedTerm = Math.max(database.fencedTerm, primary.term)
  }

  /**
   * Restarts a database. It loses its latest entries as far as no majority depends on them: those that no other database
   * holds, and on a replica also those that both others hold.
   */
  function restart (database: FakeDatabase): void {
    const others = databases.filter((entry) => entry !== database)
    const countHolders = (entry: Entry): number => others.filter((other) => other.log.includes(entry)).length
    while (database.log.length > 0) {
      const last = database.log.at(-1)
      if (last === undefined || countHolders(last) === 1) break
      if (database.role === 'primary' && countHolders(last) !== 0) break
      database.log.pop()
    }
    database.run++
  }

  return { databases, applied, find, findNewestPrimary, acceptsWrites, commit, replicate, failOver, follow, restart }
}

export type FakeGroup = ReturnType<typeof createFakeGroup>
