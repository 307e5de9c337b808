import type { Bucket, IncrementSender, ServiceLevelCommand, ServiceLevelIncrement, ServiceLevelState, Tallies, WorkspaceBuckets } from '../../types/service-level.js'
import { addTallies } from './tallies.js'

const MS_PER_SECOND = 1000
const MS_PER_MINUTE = 60 * MS_PER_SECOND
const MS_PER_HOUR = 60 * MS_PER_MINUTE
const MS_PER_DAY = 24 * MS_PER_HOUR

/** A series of buckets, each with the tallies of one interval. */
export interface BucketSeries {
  name: 'fine' | 'coarse'
  /** Length of the interval of a bucket, in milliseconds. */
  intervalMs: number
  /** Time that the series covers, in milliseconds. */
  retentionMs: number
}

/** Series for the shortest window, whose buckets are short enough to cover it closely. */
export const fineSeries: BucketSeries = { name: 'fine', intervalMs: 10 * MS_PER_SECOND, retentionMs: 5 * MS_PER_MINUTE }

/** Series for the longer windows. Its longer buckets keep the state in the replicated log small. */
export const coarseSeries: BucketSeries = { name: 'coarse', intervalMs: 5 * MS_PER_MINUTE, retentionMs: 3 * MS_PER_DAY }

/** The sequence number of a sender is kept as long as its tallies, so that a late repetition of an increment does not count twice. */
const SENDER_RETENTION_MS = coarseSeries.retentionMs

/** @returns the start of the interval that contains the time `at` */
export function bucketStartOf (at: number, { intervalMs }: BucketSeries): number {
  return Math.floor(at / intervalMs) * intervalMs
}

/** @returns the start of the oldest interval in a window whose last interval contains the time `at` */
export function windowStartOf (at: number, windowMs: number, series: BucketSeries): number {
  return bucketStartOf(at, series) - windowMs + series.intervalMs
}

function pruneBuckets (buckets: readonly Bucket[], at: number, series: BucketSeries): Bucket[] {
  const oldest = windowStartOf(at, series.retentionMs, series)
  return buckets.filter((bucket) => bucket.start >= oldest)
}

function addToBucket (buckets: readonly Bucket[], tallies: Tallies, at: number, series: BucketSeries): Bucket[] {
  const start = bucketStartOf(at, series)
  const last = buckets.at(-1)
  if (last?.start === start) return [...buckets.slice(0, -1), { start, ...addTallies(last, tallies) }]
  return [...buckets, { start, ...tallies }]
}

function addIncrement (workspaces: WorkspaceBuckets[], increment: ServiceLevelIncrement, at: number): WorkspaceBuckets[] {
  const updated = new Map(workspaces.map((entry) => [entry.workspace, entry]))
  for (const { workspace, tallies } of increment.workspaces) {
    const { fine, coarse } = updated.get(workspace) ?? { fine: [], coarse: [] }
    updated.set(workspace, { workspace, fine: addToBucket(fine, tallies, at, fineSeries), coarse: addToBucket(coarse, tallies, at, coarseSeries) })
  }
  return [...updated.values()]
}

function applyIncrement (state: ServiceLevelState, increment: ServiceLevelIncrement): ServiceLevelState {
  const { incarnation, sequence } = increment
  const known = state.senders.find((sender) => sender.incarnation === incarnation)
  if (known !== undefined && sequence <= known.sequence) return state
  // The first number of an unknown sender shows no gap, since the state may have dropped the sender before.
  const lost = known === undefined ? 0 : sequence - known.sequence - 1
  const sender: IncrementSender = { incarnation, sequence, at: state.at }
  return {
    ...state,
    senders: [...state.senders.filter((other) => other.incarnation !== incarnation), sender],
    lostIncrements: state.lostIncrements + lost,
    workspaces: addIncrement(state.workspaces, increment, state.at)
  }
}

/**
 * Applies one command to the service-level state. The function is pure, so that every member of the replicated log derives the same state.
 * @returns the next state
 */
export function applyServiceLevels (state: ServiceLevelState, command: ServiceLevelCommand): ServiceLevelState {
  // The clock of a new leader may be behind that of the former one, but the intervals must stay in order.
  const at = Math.max(state.at, command.at)
  const pruned: ServiceLevelState = {
    ...state,
    at,
    senders: state.senders.filter((sender) => sender.at > at - SENDER_RETENTION_MS),
    workspaces: state.workspaces
      .map(({ workspace, fine, coarse }) => ({ workspace, fine: pruneBuckets(fine, at, fineSeries), coarse: pruneBuckets(coarse, at, coarseSeries) }))
      .filter(({ coarse }) => coarse.length > 0)
  }
  return command.increments.reduce(applyIncrement, pruned)
}
