import type { DatabaseRole } from '../../src/types/database-status.js'
import type { LogPosition } from '../../src/types/log-position.js'
import { createWorkspaceData, type Change, type WorkspaceData } from './workspace-data.js'
import { SqlError, sqlStates } from './sql-error.js'

/** One committed transaction. */
export interface LogEntry {
  readonly term: number
  readonly offset: number
  readonly changes: readonly Change[]
}

/** The last offset that a term wrote, in ascending order of terms; stands for a whole log when logs are compared. */
export interface TermEnd {
  term: number
  lastOffset: number
}

/** Replicated log of one database with the rules of terms, fences and promotion. Does no I/O. */
export interface LogState {
  role: () => DatabaseRole
  term: () => number
  fencedTerm: () => number
  position: () => LogPosition
  data: () => WorkspaceData
  termEnds: () => TermEnd[]
  entriesAfter: (offset: number, limit: number) => LogEntry[]
  /** Appends a transaction on the primary of `term`. @throws SqlError CR001, or 25006 on a replica */
  append: (term: number, changes: readonly Change[]) => LogEntry
  /** @throws SqlError CR001 or 25006 unless writes are taken now */
  requireWritable: () => void
  /** @throws SqlError CR003 */
  fence: (term: number) => void
  /** Appends an empty entry of the new term, so that older entries count as held only together with one of this term. @throws SqlError CR003 */
  promote: (term: number) => void
  /** Becomes a replica that accepts entries of `term` once `align` was called for it. @throws SqlError CR003 */
  follow: (term: number) => void
  /** Discards entries after `offset`. @returns false when the term is no longer accepted */
  align: (term: number, offset: number) => boolean
  /** Takes entries of the primary of `term`. @returns false when the term is no longer accepted */
  receive: (term: number, entries: readonly LogEntry[]) => boolean
  /** Calls the listener after each change of position, role, term or fence. */
  onChange: (listener: () => void) => void
}

/** @returns the length of the common prefix of two logs; equal term and offset mean equal prefixes, since a term has one primary */
export function commonOffset (left: readonly TermEnd[], right: readonly TermEnd[]): number {
  let common = 0
  for (const end of left) {
    const match = right.find(({ term }) => term === end.term)
    if (match === undefined) continue
    common = Math.max(common, Math.min(end.lastOffset, match.lastOffset))
  }
  return common
}

/** @returns the log of an empty replica that follows nobody */
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

  function changed (): void {
    for (const listener of listeners) listener()
  }

  function termEnds (): TermEnd[] {
    const ends: TermEnd[] = []
    // Walks from the end by terms: a long log has few of them.
    let index = entries.length - 1
    while (index >= 0) {
      const entry = entries[index] as LogEntry
      ends.unshift({ term: entry.term, lastOffset: entry.offset })
      index = lastIndexBefore(entry.term, index)
    }
    return ends
  }

  function lastIndexBefore (endTerm: number, from: number): number {
    let low = -1
    let high = from
    while (high - low > 1) {
      const middle = Math.floor((low + high) / 2)
      if ((entries[middle] as LogEntry).term < endTerm) low = middle
      else high = middle
    }
    return low
  }

  function push (entry: LogEntry): void {
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
    push(entry)
    changed()
    return entry
  }

  function fence (newTerm: number): void {
    if (fencedTerm > newTerm) throw new SqlError(sqlStates.termFenced, `the database is fenced for term ${fencedTerm}`)
    fencedTerm = newTerm
    changed()
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
    changed()
  }

  const accepts = (newTerm: number): boolean => role === 'replica' && newTerm === followedTerm && newTerm >= fencedTerm

  function align (newTerm: number, offset: number): boolean {
    if (!accepts(newTerm)) return false
    if (offset < entries.length) {
      entries.length = offset
      data = createWorkspaceData()
      for (const entry of entries) data.apply(entry.changes)
    }
    term = newTerm
    changed()
    return true
  }

  function receive (newTerm: number, received: readonly LogEntry[]): boolean {
    if (!accepts(newTerm) || term !== newTerm) return false
    for (const entry of received) {
      if (entry.offset === entries.length + 1) push(entry)
    }
    changed()
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
