import type { ClusterId, ControlMember, LogEntry, LogSnapshot } from '../../types/consensus-entry.js'
import type { LogEnd } from '../../types/consensus-message.js'

/** View of one member's log: the snapshot and the entries after it, synced or not. */
export interface ReplicatedLog {
  snapshot: () => LogSnapshot | null
  /** @returns index of the last entry that the snapshot replaces; 0 without a snapshot */
  snapshotIndex: () => number
  lastIndex: () => number
  /** @returns term of the last entry or, without entries, of the snapshot; 0 for an empty log */
  lastTerm: () => number
  /** @returns the term of an entry, 0 for index 0, or null when the entry isn't held */
  termAt: (index: number) => number | null
  /** @returns undefined when the entry isn't held or is under the snapshot */
  entryAt: (index: number) => LogEntry | undefined
  /** @returns up to `limit` entries, starting with `index`, which must be after the snapshot */
  entriesFrom: (index: number, limit?: number) => LogEntry[]
  /**
   * Adds entries; the first one replaces the entry with its index and everything after it.
   * @throws RangeError when the first entry doesn't continue the log
   */
  append: (entries: readonly LogEntry[]) => void
  /** Replaces everything up to the snapshot's index; later entries stay if they continue the snapshot. */
  install: (snapshot: LogSnapshot) => void
  /** @returns null while the member belongs to no cluster */
  cluster: () => ClusterId | null
  /** @returns the newest membership, committed or not */
  members: () => readonly ControlMember[]
  /** @returns index of the newest membership entry */
  membershipIndex: () => number
  /** @returns the membership that was in force at an index after the snapshot's */
  membersAt: (index: number) => ControlMember[]
}

/** @returns whether a log ending at `left` may hold everything that a log ending at `right` holds committed */
export function isAtLeastAsUpToDate (left: LogEnd, right: LogEnd): boolean {
  if (left.lastTerm !== right.lastTerm) return left.lastTerm > right.lastTerm
  return left.lastIndex >= right.lastIndex
}

interface Membership {
  index: number
  cluster: ClusterId
  members: ControlMember[]
}

/**
 * @param restoredSnapshot - null: none was taken yet
 * @param restoredEntries - entries after the snapshot, without gaps
 */
export function createReplicatedLog (restoredSnapshot: LogSnapshot | null, restoredEntries: readonly LogEntry[]): ReplicatedLog {
  let snapshot = restoredSnapshot
  let entries: LogEntry[] = []
  // Oldest first; the first element comes from the snapshot if there is one.
  let memberships: Membership[] = snapshot === null ? [] : [snapshotMembership(snapshot)]

  const snapshotIndex = (): number => snapshot?.index ?? 0
  const lastIndex = (): number => snapshotIndex() + entries.length
  const entryAt = (index: number): LogEntry | undefined => index <= snapshotIndex() ? undefined : entries[index - snapshotIndex() - 1]

  function termAt (index: number): number | null {
    if (index === snapshotIndex()) return snapshot?.term ?? 0
    return entryAt(index)?.term ?? null
  }

  function append (added: readonly LogEntry[]): void {
    const first = added[0]
    if (first === undefined) return
    if (first.index <= snapshotIndex() || first.index > lastIndex() + 1) {
      throw new RangeError(`entry ${first.index} does not continue a log of ${snapshotIndex() + 1} to ${lastIndex()}`)
    }
    entries.length = first.index - snapshotIndex() - 1
    memberships = memberships.filter((membership) => membership.index < first.index)
    for (const entry of added) {
      entries.push(entry)
      if (entry.payload.kind === 'membership') memberships.push({ index: entry.index, ...entry.payload })
    }
  }

  function install (installed: LogSnapshot): void {
    const continues = termAt(installed.index) === installed.term
    const kept = continues ? entries.slice(installed.index - snapshotIndex()) : []
    snapshot = installed
    entries = []
    memberships = [snapshotMembership(installed)]
    append(kept)
  }

  append(restoredEntries)

  return {
    snapshot: () => snapshot,
    snapshotIndex,
    lastIndex,
    lastTerm: () => termAt(lastIndex()) ?? 0,
    termAt,
    entryAt,
    entriesFrom: (index, limit = Infinity) => {
      const start = index - snapshotIndex() - 1
      return entries.slice(start, start + limit)
    },
    append,
    install,
    cluster: () => memberships.at(-1)?.cluster ?? null,
    members: () => memberships.at(-1)?.members ?? [],
    membershipIndex: () => memberships.at(-1)?.index ?? 0,
    membersAt: (index) => memberships.findLast((membership) => membership.index <= index)?.members ?? []
  }
}

function snapshotMembership (snapshot: LogSnapshot): Membership {
  return { index: snapshot.index, cluster: snapshot.cluster, members: snapshot.members }
}
