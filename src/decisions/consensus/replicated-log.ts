import type { ClusterId, ControlMember, LogEntry, LogSnapshot } from '../../types/consensus-entry.js'
import type { LogEnd } from '../../types/consensus-message.js'

/** One member's log in memory: the newest snapshot and the entries after it, synced or not. */
export interface ReplicatedLog {
  snapshot: () => LogSnapshot | null
  /** @returns index of the last entry that the snapshot replaces; 0 without a snapshot */
  snapshotIndex: () => number
  lastIndex: () => number
  /** @returns term of the last entry or, without entries, of the snapshot; 0 for an empty log */
  lastTerm: () => number
  /** @returns the term of an entry; 0 for index 0; null when the log does not hold the entry */
  termAt: (index: number) => number | null
  /** @returns the entry; undefined when the log does not hold it or the snapshot covers it */
  entryAt: (index: number) => LogEntry | undefined
  /** @returns up to `limit` entries from `index` on; the snapshot must not cover `index` */
  entriesFrom: (index: number, limit?: number) => LogEntry[]
  /**
   * Appends entries. The first one replaces the entry with the same index and all entries after that.
   * @throws RangeError when the first entry leaves a gap or is covered by the snapshot
   */
  append: (entries: readonly LogEntry[]) => void
  /** Replaces everything up to the snapshot's index. Later entries stay if the log holds the snapshot's last entry with the same term. */
  installSnapshot: (snapshot: LogSnapshot) => void
  /** @returns the cluster id; null while the member belongs to no cluster */
  cluster: () => ClusterId | null
  /** @returns the newest membership, committed or not */
  members: () => readonly ControlMember[]
  /** @returns index of the newest membership entry */
  membershipIndex: () => number
  /** @returns the membership in force at an index, which must not be before the snapshot's */
  membersAt: (index: number) => ControlMember[]
}

/** @returns whether a log that ends at `left` may hold every committed entry of a log that ends at `right` */
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
 * @param restoredSnapshot - newest durable snapshot; null: none was written yet
 * @param restoredEntries - entries after the snapshot, without gaps
 */
export function createReplicatedLog (restoredSnapshot: LogSnapshot | null, restoredEntries: readonly LogEntry[]): ReplicatedLog {
  let snapshot = restoredSnapshot
  let entries: LogEntry[] = []
  // Oldest first. With a snapshot, the first element is the snapshot's membership.
  let memberships: Membership[] = snapshot === null ? [] : [snapshotMembership(snapshot)]

  const snapshotIndex = (): number => snapshot?.index ?? 0
  const lastIndex = (): number => snapshotIndex() + entries.length
  const entryAt = (index: number): LogEntry | undefined => index <= snapshotIndex() ? undefined : entries[index - snapshotIndex() - 1]

  function termAt (index: number): number | null {
    if (index === snapshotIndex()) return snapshot?.term ?? 0
    return entryAt(index)?.term ?? null
  }

  function append (newEntries: readonly LogEntry[]): void {
    const first = newEntries[0]
    if (first === undefined) return
    if (first.index <= snapshotIndex() || first.index > lastIndex() + 1) {
      throw new RangeError(`entry ${first.index} cannot be appended to a log that holds entries ${snapshotIndex() + 1} to ${lastIndex()}`)
    }
    entries.length = first.index - snapshotIndex() - 1
    memberships = memberships.filter((membership) => membership.index < first.index)
    for (const entry of newEntries) {
      entries.push(entry)
      if (entry.payload.kind === 'membership') memberships.push({ index: entry.index, ...entry.payload })
    }
  }

  function installSnapshot (newSnapshot: LogSnapshot): void {
    const isContinued = termAt(newSnapshot.index) === newSnapshot.term
    const keptEntries = isContinued ? entries.slice(newSnapshot.index - snapshotIndex()) : []
    snapshot = newSnapshot
    entries = []
    memberships = [snapshotMembership(newSnapshot)]
    append(keptEntries)
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
    installSnapshot,
    cluster: () => memberships.at(-1)?.cluster ?? null,
    members: () => memberships.at(-1)?.members ?? [],
    membershipIndex: () => memberships.at(-1)?.index ?? 0,
    membersAt: (index) => memberships.findLast((membership) => membership.index <= index)?.members ?? []
  }
}

function snapshotMembership (snapshot: LogSnapshot): Membership {
  return { index: snapshot.index, cluster: snapshot.cluster, members: snapshot.members }
}
