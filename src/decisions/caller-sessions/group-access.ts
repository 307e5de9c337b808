import type { Blackboard } from '../../blackboard/blackboard.js'
import { directoryEntry, freshnessEntry, manifestEntry } from '../../blackboard/entry-instance-entries.js'
import type { Clock, Milliseconds } from '../../types/clock.js'
import type { ReleasedTerm } from '../../types/control-message.js'
import type { DirectoryDatabase, DirectoryGroup } from '../../types/directory.js'
import type { DatabaseId, GroupId } from '../../types/ids.js'
import type { PositionHistory } from './position-history.js'
import { createPositionHistory } from './position-history.js'

/** A primary that may get new work now. */
export interface UsablePrimary {
  database: DirectoryDatabase
  /** Term of the control log under which the primary serves. */
  term: number
  /** Whether this instance has a valid freshness lease, so that no other database can be the primary. */
  proven: boolean
}

/** Work on a primary, registered so that a switchover waits until `end` is called. */
export interface PrimaryWork {
  end: () => void
}

/** The groups and databases that this instance may use, according to the directory. */
export interface GroupAccess {
  /** @returns the primary; null during a switchover or primary election, and when it may get no new work */
  primary: (group: GroupId) => UsablePrimary | null
  /** @returns whether a switchover or primary election of the group is in progress */
  isPrimaryChanging: (group: GroupId) => boolean
  /** @returns whether a switchover or primary election of any group is in progress */
  isAnyPrimaryChanging: () => boolean
  /** @returns databases of the group that may get new work */
  databases: (group: GroupId) => readonly DirectoryDatabase[]
  /** @returns the database as the directory lists it, or null when it is not listed */
  findDatabase: (database: DatabaseId) => DirectoryDatabase | null
  /** Registers work that has to end before a switchover. @param onOverdue - called at each tick after the work has held up the switchover for `switchoverWaitMs` */
  registerWork: (group: GroupId, onOverdue: () => void) => PrimaryWork
  history: (group: GroupId) => PositionHistory
  /** @returns the released terms: this instance starts no new work under them and has no work in flight for which a switchover waits */
  releasedTerms: () => ReleasedTerm[]
  /** @returns a promise that resolves at the next change of the directory, manifest or freshness lease, or after `limitMs` milliseconds */
  changed: (limitMs: number) => Promise<void>
  /** Calls `onOverdue` for all work that has held up a switchover for `switchoverWaitMs`. */
  tick: () => void
}

export interface GroupAccessOptions {
  clock: Clock
  blackboard: Blackboard
  /** Time for which registered work may hold up a switchover before `onOverdue` is called, in milliseconds. Default 700. */
  switchoverWaitMs?: number
  /** Called when the last work that a switchover waits for has ended, so that the released term can be reported to the control leader at once. */
  onReleased: () => void
  /** Calls back after a time in milliseconds. @returns a function that cancels the call */
  after: (durationMs: number, callback: () => void) => () => void
}

interface RegisteredWork {
  onOverdue: () => void
}

/** Creates the access to groups and databases. It follows changes of the directory, manifest and freshness lease. */
export function createGroupAccess (options: GroupAccessOptions): GroupAccess {
  const { clock, blackboard, after } = options
  const switchoverWaitMs = options.switchoverWaitMs ?? 700
  const directory = blackboard.reader(directoryEntry)
  const freshness = blackboard.reader(freshnessEntry)
  const manifest = blackboard.reader(manifestEntry)
  const histories = new Map<GroupId, PositionHistory>()
  const workByGroup = new Map<GroupId, Set<RegisteredWork>>()
  const switchoverSince = new Map<GroupId, Milliseconds>()
  let databasesById = new Map<DatabaseId, DirectoryDatabase>()
  let databasesByGroup = new Map<GroupId, DirectoryDatabase[]>()
  let groups = new Map<GroupId, DirectoryGroup>()
  let waitingCallbacks: (() => void)[] = []

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
    recordSwitchovers()
    resumeWaiting()
  }

  function recordSwitchovers (): void {
    for (const { group, phase } of groups.values()) {
      if (phase !== 'switching') switchoverSince.delete(group)
      else if (!switchoverSince.has(group)) switchoverSince.set(group, clock.now())
    }
  }

  function resumeWaiting (): void {
    const callbacks = waitingCallbacks
    waitingCallbacks = []
    for (const resume of callbacks) resume()
  }

  function hasFreshnessLease (): boolean {
    return clock.now() < freshness.read().validUntil
  }

  function primary (group: GroupId): UsablePrimary | null {
    const listedGroup = groups.get(group)
    if (listedGroup === undefined || listedGroup.phase !== 'serving' || listedGroup.primary === null) return null
    const database = databasesById.get(listedGroup.primary)
    // A withdrawn primary gets no new work, even before the directory names its successor.
    if (database === undefined || database.weight === 0) return null
    return { database, term: listedGroup.term, proven: hasFreshnessLease() }
  }

  function registerWork (group: GroupId, onOverdue: () => void): PrimaryWork {
    const work: RegisteredWork = { onOverdue }
    const groupWork = workByGroup.get(group) ?? new Set()
    workByGroup.set(group, groupWork)
    groupWork.add(work)
    return {
      end: () => {
        if (groupWork.delete(work) && groupWork.size === 0 && switchoverSince.has(group)) options.onReleased()
      }
    }
  }

  function releasedTerms (): ReleasedTerm[] {
    return [...groups.values()].map(({ group, term, phase }) => {
      const isIdle = (workByGroup.get(group)?.size ?? 0) === 0
      // This instance starts no new work under an earlier term, since `primary` returns only the primary of the current one.
      return { group, term: phase === 'switching' && isIdle ? term : term - 1 }
    })
  }

  function tick (): void {
    for (const [group, since] of switchoverSince) {
      if (clock.now() - since < switchoverWaitMs) continue
      for (const work of [...workByGroup.get(group) ?? []]) work.onOverdue()
    }
  }

  function findOrCreateHistory (group: GroupId): PositionHistory {
    const known = histories.get(group) ?? createPositionHistory(clock)
    histories.set(group, known)
    return known
  }

  directory.onWrite(readDirectory)
  freshness.onWrite(() => { if (waitingCallbacks.length > 0) resumeWaiting() })
  manifest.onWrite(resumeWaiting)
  readDirectory()

  return {
    primary,
    registerWork,
    releasedTerms,
    tick,
    databases: (group) => databasesByGroup.get(group) ?? [],
    isPrimaryChanging: (group) => (groups.get(group)?.phase ?? 'serving') !== 'serving',
    isAnyPrimaryChanging: () => [...groups.values()].some(({ phase }) => phase !== 'serving'),
    findDatabase: (database) => databasesById.get(database) ?? null,
    history: findOrCreateHistory,
    changed: (limitMs) => new Promise((resolve) => {
      const cancel = after(limitMs, resolve)
      waitingCallbacks.push(() => {
        cancel()
        resolve()
      })
    })
  }
}
