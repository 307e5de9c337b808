import type { Bucket, IncrementSender, ServiceLevelCommand, ServiceLevelIncrement, ServiceLevelState, Tallies, WorkspaceBuckets } from '../../types/service-level.js'
import { addTallies } from './tallies.js'

const MS_PER_SECOND = 1000
const MS_PER_MINUTE = 60 * MS_PER_SECOND
const MS_PER_HOUR = 60 * MS_PER_MINUTE
const MS_PER_DAY = 24 * MS_PER_HOUR

/** A series of intervals of one length. */
export interface BucketSeries {
  name: 'fine' | 'coarse'
  /** Length of an interval in milliseconds. */
  sizeMs: number
  /** Time that the series covers in milliseconds. */
  keptMs: number
}

export const fineSeries: BucketSeries = { name: 'fine', sizeMs: 10 * MS_PER_SECOND, keptMs: 5 * MS_PER_MINUTE }
export const coarseSeries: BucketSeries = { name: 'coarse', sizeMs: 5 * MS_PER_MINUTE, keptMs: 3 * MS_PER_DAY }

/** Numbers of a sender are remembered as long as its requests, so that no late repetition counts twice. */
const SENDER_KEPT_MS = coarseSeries.keptMs

/** @returns the start of the interval that holds a time */
export function bucketStart (at: number, { sizeMs }: BucketSeries): number {
  return Math.floor(at / sizeMs) * sizeMs
}

/** @returns the start of the oldest interval of a window that ends with the interval of `at` */
export function windowStart (at: number, windowMs: number, series: BucketSeries): number {
  return bucketStart(at, series) - windowMs + series.sizeMs
}

function prune (buckets: readonly Bucket[], at: number, series: BucketSeries): Bucket[] {
  const oldest = windowStart(at, series.keptMs, series)
  return buckets.filter((bucket) => bucket.start >= oldest)
}

function count (buckets: readonly Bucket[], tallies: Tallies, at: number, series: BucketSeries): Bucket[] {
  const start = bucketStart(at, series)
  const last = buckets.at(-1)
  if (last?.start === start) return [...buckets.slice(0, -1), { start, ...addTallies(last, tallies) }]
  return [...buckets, { start, ...tallies }]
}

function countIncrement (workspaces: WorkspaceBuckets[], increment: ServiceLevelIncrement, at: number): WorkspaceBuckets[] {
  const counted = new Map(workspaces.map((entry) => [entry.workspace, entry]))
  for (const { workspace, tallies } of increment.workspaces) {
    const { fine, coarse } = counted.get(workspace) ?? { fine: [], coarse: [] }
    counted.set(workspace, { workspace, fine: count(fine, tallies, at, fineSeries), coarse: count(coarse, tallies, at, coarseSeries) })
  }
  return [...counted.values()]
}

function applyIncrement (state: ServiceLevelState, increment: ServiceLevelIncrement): ServiceLevelState {
  const { incarnation, sequence } = increment
  const known = state.senders.find((sender) => sender.incarnation === incarnation)
  if (known !== undefined && sequence <= known.sequence) return state
  // The first number of a sender proves no gap: the sender may have been forgotten.
  const lost = known === undefined ? 0 : sequence - known.sequence - 1
  const sender: IncrementSender = { incarnation, sequence, at: state.at }
  return {
    ...state,
    senders: [...state.senders.filter((other) => other.incarnation !== incarnation), sender],
    lostIncrements: state.lostIncrements + lost,
    workspaces: countIncrement(state.workspaces, increment, state.at)
  }
}

/**
 * Applies one command. Depends on nothing but its arguments and changes neither, so that every member of the
 * replicated log derives the same state.
 */
export function applyServiceLevels (state: ServiceLevelState, command: ServiceLevelCommand): ServiceLevelState {
  // The clock of a new leader may be behind that of the old one; intervals must not run backwards.
  const at = Math.max(state.at, command.at)
  const pruned: ServiceLevelState = {
    ...state,
    at,
    senders: state.senders.filter((sender) => sender.at > at - SENDER_KEPT_MS),
    workspaces: state.workspaces
      .map(({ workspace, fine, coarse }) => ({ workspace, fine: prune(fine, at, fineSeries), coarse: prune(coarse, at, coarseSeries) }))
      .filter(({ coarse }) => coarse.length > 0)
  }
  return command.increments.reduce(applyIncrement, pruned)
}
