import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, freshnessEntry, manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { ReleasedTerm } from '../../types/control-message.js'
import type { DirectoryDatabase, DirectoryGroup } from '../../types/directory.js'
import type { DatabaseId, GroupId } from '../../types/ids.js'
import type { PositionHistory } from './position-history.js'
import { createPositionHistory } from './position-history.js'

/** A primary that may be used now. */
export interface UsablePrimary {
  database: DirectoryDatabase
  /** Term of the control log under which it serves. */
  term: number
  /** Whether no other database can lead: the freshness lease of this instance holds. */
  proven: boolean
}

/** Work on a primary that a planned change of primary waits for. */
export interface PrimaryUse {
  end: () => void
}

/** Groups and databases as this instance may use them. */
export interface GroupAccess {
  /** @returns the primary, or null while it is being changed */
  primary: (group: GroupId) => UsablePrimary | null
  /** @returns whether the primary of the group is being changed */
  isChanging: (group: GroupId) => boolean
  /** @returns databases of the group that may get new work */
  databases: (group: GroupId) => readonly DirectoryDatabase[]
  find: (database: DatabaseId) => DirectoryDatabase | null
  /** Notes work that is to end before the primary is changed. @param onOverdue - called when the change waits no longer */
  use: (group: GroupId, onOverdue: () => void) => PrimaryUse
  history: (group: GroupId) => PositionHistory
  /** @returns terms under which this instance begins nothing any more and has nothing under way that a planned change waits for */
  releasedTerms: () => ReleasedTerm[]
  /** @returns a promise that resolves at the next change of the directory or of the lease, or after `limitMs` */
  changed: (limitMs: number) => Promise<void>
  /** Ends work that holds up a planned change for too long. */
  tick: () => void
}

export interface GroupAccessOptions {
  clock: Clock
  blackboard: Blackboard
  /** How long a planned change of primary waits for running transactions, in milliseconds. Default 700. */
  switchoverWaitMs?: number
  /** Called when a change of primary no longer waits for this instance; the coordinator is to be told. */
  onReleased: () => void
  /** Calls back after a time in milliseconds. */
  after: (durationMs: number, callback: () => void) => () => void
}

interface Work {
  onOverdue: () => void
}

/** Creates the view of the directory. */
export function createGroupAccess (options: GroupAccessOptions): GroupAccess {
  const { clock, blackboard, after } = options
  const switchoverWaitMs = options.switchoverWaitMs ?? 700
  const directory = blackboard.reader(directoryEntry)
  const freshness = blackboard.reader(freshnessEntry)
  const manifest = blackboard.reader(manifestEntry)
  const histories = new Map<GroupId, PositionHistory>()
  const uses = new Map<GroupId, Set<Work>>()
  const switchingSince = new Map<GroupId, Milliseconds>()
  let databasesById = new Map<DatabaseId, DirectoryDatabase>()
  let databasesByGroup = new Map<GroupId, DirectoryDatabase[]>()
  let groups = new Map<GroupId, DirectoryGroup>()
  let waiting: (() => void)[] = []

  function readDirectory (): void {
    const current = directory.read()
    if (current === null) return
    databasesById = new Map(current.databases.map((database) => [database.database, database]))
    databasesByGroup = new Map()
    for (const database of current.databases) {
      if (database.weight === 0) continue
      const list = databasesByGroup.get(database.group) ?? []
      list.push(database)
      databasesByGroup.set(database.group, list)
    }
    groups = new Map(current.groups.map((group) => [group.group, group]))
    noteSwitching()
    wake()
  }

  function noteSwitching (): void {
    for (const { group, phase } of groups.values()) {
      if (phase !== 'switching') switchingSince.delete(group)
      else if (!switchingSince.has(group)) switchingSince.set(group, clock.now())
    }
  }

  function wake (): void {
    const woken = waiting
    waiting = []
    for (const resume of woken) resume()
  }

  function isProven (): boolean {
    return clock.now() < freshness.read().validUntil
  }

  function primary (group: GroupId): UsablePrimary | null {
    const known = groups.get(group)
    if (known === undefined || known.phase !== 'serving' || known.primary === null) return null
    const database = databasesById.get(known.primary)
    // A withdrawn primary gets no new work even before its successor is named.
    if (database === undefined || database.weight === 0) return null
    return { database, term: known.term, proven: isProven() }
  }

  function use (group: GroupId, onOverdue: () => void): PrimaryUse {
    const work: Work = { onOverdue }
    const all = uses.get(group) ?? new Set()
    uses.set(group, all)
    all.add(work)
    return {
      end: () => {
        if (all.delete(work) && all.size === 0 && switchingSince.has(group)) options.onReleased()
      }
    }
  }

  function releasedTerms (): ReleasedTerm[] {
    return [...groups.values()].map(({ group, term, phase }) => {
      const isIdle = (uses.get(group)?.size ?? 0) === 0
      return { group, term: phase === 'switching' && isIdle ? term : term - 1 }
    })
  }

  function tick (): void {
    for (const [group, since] of switchingSince) {
      if (clock.now() - since < switchoverWaitMs) continue
      for (const work of [...uses.get(group) ?? []]) work.onOverdue()
    }
  }

  function historyOf (group: GroupId): PositionHistory {
    const known = histories.get(group) ?? createPositionHistory(clock)
    histories.set(group, known)
    return known
  }

  directory.onWrite(readDirectory)
  freshness.onWrite(() => { if (waiting.length > 0) wake() })
  manifest.onWrite(wake)
  readDirectory()

  return {
    primary,
    use,
    releasedTerms,
    tick,
    databases: (group) => databasesByGroup.get(group) ?? [],
    isChanging: (group) => (groups.get(group)?.phase ?? 'serving') !== 'serving',
    find: (database) => databasesById.get(database) ?? null,
    history: historyOf,
    changed: (limitMs) => new Promise((resolve) => {
      const cancel = after(limitMs, resolve)
      waiting.push(() => {
        cancel()
        resolve()
      })
    })
  }
}
