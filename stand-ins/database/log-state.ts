import type { DatabaseRole } from '../../src/types/database-status.js'
import type { LogPosition } from '../../src/types/log-position.js'
import { createWorkspaceData, type Change, type WorkspaceData } from './workspace-data.js'
import { SqlError, sqlStates } from './sql-error.js'

/** Log entry of one committed transaction. */
export interface LogEntry {
  readonly term: number
  readonly offset: number
  readonly changes: readonly Change[]
}

/** Last offset that a term wrote. A list of them, in ascending order of terms, is enough to compare two logs. */
export interface TermEnd {
  term: number
  lastOffset: number
}

/** Replicated log of one database, with the rules of terms, fences and promotion. Does no I/O. */
export interface LogState {
  role: () => DatabaseRole
  term: () => number
  fencedTerm: () => number
  position: () => LogPosition
  data: () => WorkspaceData
  /** @returns the last offset of each term in the log, in ascending order of terms */
  termEnds: () => TermEnd[]
  /** @returns at most `limit` log entries that follow `offset` */
  entriesAfter: (offset: number, limit: number) => LogEntry[]
  /**
   * Appends a committed transaction to the log of the primary.
   * @throws SqlError CR001 unless the database is the primary of `term` without a higher fence, 25006 on a replica
   */
  append: (term: number, changes: readonly Change[]) => LogEntry
  /** @throws SqlError 25006 on a replica, CR001 on a primary that is fenced for a higher term */
  requireWritable: () => void
  /**
   * Stops writes of lower terms and entries from their primaries.
   * @throws SqlError CR003 when the database is fenced for a higher term
   */
  fence: (term: number) => void
  /**
   * Makes the database primary of `term` and appends an empty entry of that term. Entries of earlier terms count as held by
   * a majority only together with an entry of the new term. A repeated call for the current term has no effect.
   * @throws SqlError CR003 unless the database is fenced for exactly `term`, and when its log already is in that term or a later one
   */
  promote: (term: number) => void
  /**
   * Makes the database a replica of the primary of `term`. It accepts entries once `align` was called for that term.
   * @throws SqlError CR003 for a term below the fence or below the last one, and for the term that the database is primary of
   */
  follow: (term: number) => void
  /** Discards the entries after `offset` and enters `term`, so that `receive` accepts entries of that term. @returns false when the database no longer follows `term` */
  align: (term: number, offset: number) => boolean
  /** Appends the entries that directly continue the log. @returns false when the database no longer follows `term` */
  receive: (term: number, entries: readonly LogEntry[]) => boolean
  /** Calls the listener after each change of position, role, term or fence. */
  onChange: (listener: () => void) => void
}

/**
 * Finds where two logs part. Logs with an entry of the same term and offset are equal up to it, since each term has one primary.
 * @returns the number of entries that both logs begin with
 */
export function findCommonOffset (left: readonly TermEnd[], right: readonly TermEnd[]): number {
  let common = 0
  for (const end of left) {
    const match = right.find(({ term }) => term === end.term)
    if (match === undefined) continue
    common = Math.max(common, Math.min(end.lastOffset, match.lastOffset))
  }
  return common
}

/** @returns the log of an empty replica that follows no primary */
export function createLogState (): LogState {
  let role: DatabaseRole = 'replica'
  let term = 0
  let fencedTerm = 0
  let followedTerm = 0
  let data = createWorkspaceData()
  const entries: LogEntry[] = []
  const listeners: (() => void)[] = []

  const position = (): LogPosition => {
    const last = entries[entries.length - 1]
    return last === undefined ? { term: 0, offset: 0 } : { term: last.term, offset: last.offset }
  }

  function notifyListeners (): void {
    for (const listener of listeners) listener()
  }

  function termEnds (): TermEnd[] {
    const ends: TermEnd[] = []
    // Steps back one term at a time, since a long log has few terms.
    let index = entries.length - 1
    while (index >= 0) {
      const entry = entries[index] as LogEntry
      ends.unshift({ term: entry.term, lastOffset: entry.offset })
      index = findLastIndexBefore(entry.term, index)
    }
    return ends
  }

  function findLastIndexBefore (endTerm: number, from: number): number {
    let low = -1
    let high = from
    while (high - low > 1) {
      const middle = Math.floor((low + high) / 2)
      if ((entries[middle] as LogEntry).term < endTerm) low = middle
      else high = middle
    }
    return low
  }

  function appendAndApply (entry: LogEntry): void {
    entries.push(entry)
    data.apply(entry.changes)
  }

  function requireWritable (): void {
    if (role !== 'primary') throw new SqlError(sqlStates.readOnlyTransaction, 'cannot write on a replica')
    if (fencedTerm > term) throw new SqlError(sqlStates.notPrimaryOfTerm, `term ${term} is fenced by term ${fencedTerm}`)
  }

  function append (expectedTerm: number, changes: readonly Change[]): LogEntry {
    requireWritable()
    if (expectedTerm !== term) throw new SqlError(sqlStates.notPrimaryOfTerm, `the database is primary of term ${term}, not of term ${expectedTerm}`)
    const entry = { term, offset: position().offset + 1, changes }
    appendAndApply(entry)
    notifyListeners()
    return entry
  }

  function fence (newTerm: number): void {
    if (fencedTerm > newTerm) throw new SqlError(sqlStates.termFenced, `the database is fenced for term ${fencedTerm}`)
    fencedTerm = newTerm
    notifyListeners()
  }

  function promote (newTerm: number): void {
    if (fencedTerm !== newTerm) throw new SqlError(sqlStates.termFenced, `the database is fenced for term ${fencedTerm}, not for term ${newTerm}`)
    if (role === 'primary' && term === newTerm) return
    if (newTerm <= term) throw new SqlError(sqlStates.termFenced, `the database already served term ${term}`)
    role = 'primary'
    term = newTerm
    append(newTerm, [])
  }

  function follow (newTerm: number): void {
    if (newTerm < fencedTerm || newTerm < term || newTerm < followedTerm) {
      throw new SqlError(sqlStates.termFenced, `the database does not follow term ${newTerm}: fenced for ${fencedTerm}, last term ${Math.max(term, followedTerm)}`)
    }
    if (role === 'primary' && newTerm === term) throw new SqlError(sqlStates.termFenced, `the database is the primary of term ${newTerm}`)
    role = 'replica'
    followedTerm = newTerm
    notifyListeners()
  }

  const isFollowing = (newTerm: number): boolean => role === 'replica' && newTerm === followedTerm && newTerm >= fencedTerm

  function align (newTerm: number, offset: number): boolean {
    if (!isFollowing(newTerm)) return false
    if (offset < entries.length) {
      entries.length = offset
      data = createWorkspaceData()
      for (const entry of entries) data.apply(entry.changes)
    }
    term = newTerm
    notifyListeners()
    return true
  }

  function receive (newTerm: number, received: readonly LogEntry[]): boolean {
    if (!isFollowing(newTerm) || term !== newTerm) return false
    for (const entry of received) {
      if (entry.offset === entries.length + 1) appendAndApply(entry)
    }
    notifyListeners()
    return true
  }

  return {
    role: () => role,
    term: () => term,
    fencedTerm: () => fencedTerm,
    position,
    data: () => data,
    termEnds,
    entriesAfter: (offset, limit) => entries.slice(offset, offset + limit),
    append,
    requireWritable,
    fence,
    promote,
    follow,
    align,
    receive,
    onChange: (listener) => { listeners.push(listener) }
  }
}
