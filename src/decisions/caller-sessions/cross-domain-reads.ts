import type { Clock, Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { DirectoryDatabase } from '../../types/directory.js'
import type { DatabaseId, FailureDomainId, GroupId } from '../../types/ids.js'
import type { LogEvent } from '../../types/log-event.js'
import type { Random } from '../../utils/create-random.js'
import type { FailureDomainRoundTrips } from '../routing/failure-domain-round-trips.js'
import { computeOverflow, computeRiseMarginMs, stepShare } from './cross-domain-share.js'
import type { ShareInputs } from './cross-domain-share.js'
import type { DatabaseHealth, StatementOutcome } from './database-health.js'
import type { GroupAccess } from './group-access.js'
import { createReadResponseTimes } from './read-response-times.js'

/** Time between two steps of the shares in milliseconds. */
export const SHARE_STEP_INTERVAL_MS = 250
/** A share changes its direction after this time at the earliest. The effect of its last steps is measured by then, and oscillation is bounded. */
const REVERSAL_HOLD_MS = 1500
/** Time without reads that leave for a failure domain after one was lost there. It doubles with each consecutive loss, up to `MAX_LOSS_PAUSE_MS`. */
const LOSS_PAUSE_MS = 1000
const MAX_LOSS_PAUSE_MS = 8000
/** Cost of opening a connection before the first one was measured: a few round trips and a slot of the database. */
const INITIAL_OPENING_MS = 45
/** Weight of a new opening in the time to open a connection. */
const NEW_OPENING_WEIGHT = 0.25

/** How a read ended. `refused`: there was no capacity for it. */
export type CrossDomainOutcome = StatementOutcome | 'refused'

export interface CrossDomainReadsOptions {
  clock: Clock
  random: Random
  /** Failure domain of this instance. */
  failureDomain: FailureDomainId
  /** Time in milliseconds that a read must gain before it may leave its failure domain. */
  priceMs: number
  access: Pick<GroupAccess, 'databases' | 'primary' | 'findDatabase'>
  health: Pick<DatabaseHealth, 'isUsable'>
  roundTrips: FailureDomainRoundTrips
  /** @returns wait of a statement at the database in milliseconds, as the lenders of its connections report it; 0 when nothing is known */
  expectedWaitMs: (database: DatabaseId) => number
  /** @returns the groups of the directory in force */
  groups: () => readonly GroupId[]
  logEvent: LogEvent
}

/** A read, or a read-only transaction, that may leave its failure domain. */
export interface LeavingRead {
  group: GroupId
  /** Time in milliseconds within which the caller wants the answer. */
  objectiveMs: number
  isTransaction: boolean
}

interface DividedDatabases {
  own: DirectoryDatabase[]
  others: DirectoryDatabase[]
  primary: DatabaseId | undefined
}

interface GroupShare {
  share: number
  /** Sign of the last change. */
  direction: number
  changedAt: Milliseconds
}

/** Decides which reads of this instance leave its failure domain, from measured times. */
export interface CrossDomainReads {
  /** @returns the candidates for one read: those of its failure domain, or, for the share of its group, the others */
  selectCandidates: (read: LeavingRead, candidates: readonly DirectoryDatabase[]) => readonly DirectoryDatabase[]
  /** @returns expected time of a read at the database in milliseconds, with the round trip to its failure domain */
  expectedMs: (database: DirectoryDatabase, isPrimary: boolean) => number
  /** @returns measured time to open a connection in milliseconds */
  openingMs: () => number
  /** @returns one of the databases whose expected time is close to the shortest, at random, so that instances do not all select the same one */
  pickClosest: (group: GroupId, costs: readonly { database: DirectoryDatabase, costMs: number }[]) => DirectoryDatabase | null
  /** Records a single read that was sent. @returns a function that records how it ended */
  recordStart: (database: DatabaseId) => (outcome: CrossDomainOutcome) => void
  recordOpening: (durationMs: number) => void
  /** Carries out one step of all shares. Called every `SHARE_STEP_INTERVAL_MS`. */
  tick: () => void
  shares: () => ReadonlyMap<GroupId, number>
}

/** Creates the decision; all shares are 0. */
export function createCrossDomainReads (options: CrossDomainReadsOptions): CrossDomainReads {
  const { clock, random, failureDomain, priceMs, access, health, roundTrips, expectedWaitMs, logEvent } = options
  const times = createReadResponseTimes(clock)
  const shares = new Map<GroupId, GroupShare>()
  const losses = new Map<FailureDomainId, { count: number, pausedUntil: Milliseconds }>()
  let openingMs: number | null = null

  const isOwn = (database: DirectoryDatabase): boolean => database.failureDomain === failureDomain
  const readRoundTripMs = (database: DirectoryDatabase): number => roundTrips.roundTripMs(database.failureDomain) ?? 0

  /** A read on the primary also delays the work that only the primary can do by its own time, so it counts twice. The margin keeps it from counting as equal to a replica. */
  function expectedMs (database: DirectoryDatabase, isPrimary: boolean): number {
    const { group } = database
    const serviceMs = times.unloadedMs(group) + Math.max(times.excessMs(group, database.database), expectedWaitMs(database.database))
    return (isPrimary ? serviceMs * 2 + computeRiseMarginMs(times.unloadedMs(group)) : serviceMs) + readRoundTripMs(database)
  }

  /** @returns whether a read to the failure domain of the database was lost recently */
  const isPaused = ({ failureDomain: target }: DirectoryDatabase): boolean => clock.now() < (losses.get(target)?.pausedUntil ?? -Infinity)
  /** @returns whether reads may leave for the database */
  const canLeaveFor = (database: DirectoryDatabase): boolean => times.isMeasured(database.group) && roundTrips.roundTripMs(database.failureDomain) !== null && !isPaused(database)

  /** Divides databases into those that serve reads by default, which are the replicas of this failure domain, and those that reads may leave for. */
  function divide (group: GroupId, candidates: readonly DirectoryDatabase[]): DividedDatabases {
    const primary = access.primary(group)?.database.database
    const own = candidates.filter((candidate) => isOwn(candidate) && candidate.database !== primary)
    const others = candidates.filter((candidate) => !own.includes(candidate) && canLeaveFor(candidate))
    return { own, others, primary }
  }

  function selectCandidates ({ group, objectiveMs, isTransaction }: LeavingRead, candidates: readonly DirectoryDatabase[]): readonly DirectoryDatabase[] {
    const divided = divide(group, candidates)
    const { own, others } = divided
    if (own.length === 0) {
      const reachable = candidates.filter((candidate) => !isPaused(candidate))
      return reachable.length > 0 ? reachable : candidates
    }
    if (others.length === 0) return own
    // Each statement of a transaction would pay the round trip, and only its first one waits for capacity.
    const share = isTransaction ? 0 : shares.get(group)?.share ?? 0
    return random() < Math.max(share, computeOverflow(readInputs(group, divided), objectiveMs)) ? others : own
  }

  function pickClosest (group: GroupId, costs: readonly { database: DirectoryDatabase, costMs: number }[]): DirectoryDatabase | null {
    const lowestMs = Math.min(...costs.map(({ costMs }) => costMs))
    const close = costs.filter(({ costMs }) => costMs <= lowestMs + computeRiseMarginMs(times.unloadedMs(group)))
    return close[Math.floor(random() * close.length)]?.database ?? null
  }

  function recordStart (database: DatabaseId): (outcome: CrossDomainOutcome) => void {
    const listed = access.findDatabase(database)
    if (listed === null) return () => {}
    const end = times.start(listed.group, database, readRoundTripMs(listed))
    return (outcome) => {
      if (outcome === 'lost') recordLoss(listed.failureDomain)
      else if (outcome !== 'unjudged') losses.delete(listed.failureDomain)
      end(outcome === 'unjudged' || outcome === 'lost' ? 'unjudged' : outcome === 'refused' ? 'refused' : 'answered')
    }
  }

  function recordLoss (target: FailureDomainId): void {
    const known = losses.get(target)
    // Reads that were in flight at the time of a loss are usually lost too.
    if (known !== undefined && clock.now() < known.pausedUntil) return
    const count = known?.count ?? 0
    losses.set(target, { count: count + 1, pausedUntil: addTime(clock.now(), Math.min(MAX_LOSS_PAUSE_MS, LOSS_PAUSE_MS * 2 ** count)) })
  }

  function readInputs (group: GroupId, { own, others, primary }: DividedDatabases): ShareInputs {
    const findShortest = (databases: readonly DirectoryDatabase[]): number | null => databases.length === 0 ? null : Math.min(...databases.map((database) => expectedMs(database, database.database === primary)))
    return { ownMs: findShortest(own), otherMs: findShortest(others), unloadedMs: times.unloadedMs(group), priceMs }
  }

  function step (group: GroupId): void {
    const last = shares.get(group) ?? { share: 0, direction: 0, changedAt: clock.now() }
    const { share } = last
    const inputs = readInputs(group, divide(group, access.databases(group).filter(({ database }) => health.isUsable(database))))
    const next = stepShare(share, inputs)
    const direction = Math.sign(next - share)
    const isReversal = direction !== 0 && direction === -last.direction
    if (direction === 0 || (isReversal && clock.now() - last.changedAt < REVERSAL_HOLD_MS)) return
    shares.set(group, { share: next, direction, changedAt: clock.now() })
    if (share > 0 && next > 0) return
    const { ownMs, otherMs, unloadedMs } = inputs
    const toLogged = (value: number | null): number | null => value === null ? null : Math.round(value)
    logEvent(next === 0 ? 'crossDomainReadsEnded' : 'crossDomainReadsBegan', { group, ownMs: toLogged(ownMs), otherMs: toLogged(otherMs), unloadedMs: Math.round(unloadedMs), priceMs })
  }

  function tick (): void {
    const groups = options.groups()
    for (const group of shares.keys()) if (!groups.includes(group)) shares.delete(group)
    for (const group of groups) step(group)
    const listed = new Set(groups.flatMap((group) => access.databases(group).map(({ database }) => database)))
    times.keepOnly(listed)
  }

  return {
    selectCandidates,
    expectedMs,
    pickClosest,
    recordStart,
    tick,
    openingMs: () => openingMs ?? INITIAL_OPENING_MS,
    recordOpening: (durationMs) => { openingMs = (openingMs ?? durationMs) + (durationMs - (openingMs ?? durationMs)) * NEW_OPENING_WEIGHT },
    shares: () => new Map(options.groups().map((group) => [group, shares.get(group)?.share ?? 0]))
  }
}
