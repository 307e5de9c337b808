import type { Manifest, Objectives, Workspace } from '../../types/manifest.js'
import type { BurnReport, BurnRow, BurnValue, BurnWindowName } from '../../types/operator-report.js'
import type { Bucket, ObjectiveName, ServiceLevelState, Tally, WorkspaceBuckets } from '../../types/service-level.js'
import { objectiveNames } from '../../types/service-level.js'
import type { BucketSeries } from './service-level-state.js'
import { coarseSeries, fineSeries, windowStartOf } from './service-level-state.js'

const MS_PER_MINUTE = 60_000
const MS_PER_HOUR = 60 * MS_PER_MINUTE

/** Hours in the burn history of a workspace. The coarse series covers the same time. */
const HISTORY_HOURS = 72

/** Ratio of requests that must be within the latency limit. The limit in the manifest is the 99th percentile of answer times. */
const LATENCY_TARGET = 0.99

/** Windows of the burn rates, each with the series whose buckets it sums. */
const windows: { window: BurnWindowName, durationMs: number, series: BucketSeries }[] = [
  { window: '5min', durationMs: 5 * MS_PER_MINUTE, series: fineSeries },
  { window: '1h', durationMs: MS_PER_HOUR, series: coarseSeries },
  { window: '6h', durationMs: 6 * MS_PER_HOUR, series: coarseSeries },
  { window: '3d', durationMs: HISTORY_HOURS * MS_PER_HOUR, series: coarseSeries }
]

/** The manifest states no target ratio for staleness, so the one for availability applies. */
function targetOf (objective: ObjectiveName, objectives: Objectives): number {
  return objective === 'latency' ? LATENCY_TARGET : objectives.availability
}

function limitMsOf (objective: ObjectiveName, { latencyMs, stalenessMs }: Objectives): number | null {
  if (objective === 'availability') return null
  return objective === 'latency' ? latencyMs : stalenessMs
}

/**
 * Computes the burn rate of an error budget.
 * @param target - ratio of requests that must be good
 * @returns ratio of bad requests, divided by the ratio that the target allows; null without requests
 */
export function computeBurnRate ({ total, bad }: Tally, target: number): number | null {
  if (total === 0) return null
  return bad / total / (1 - target)
}

function sumTallies (buckets: readonly Bucket[], objective: ObjectiveName, from: number, to: number): Tally {
  const result: Tally = { total: 0, bad: 0 }
  for (const bucket of buckets) {
    if (bucket.start < from || bucket.start >= to) continue
    result.total += bucket[objective].total
    result.bad += bucket[objective].bad
  }
  return result
}

function computeBurnValues (buckets: WorkspaceBuckets, objective: ObjectiveName, target: number, at: number): BurnValue[] {
  return windows.map(({ window, durationMs, series }) => {
    const tally = sumTallies(buckets[series.name], objective, windowStartOf(at, durationMs, series), Infinity)
    return { window, ...tally, burn: computeBurnRate(tally, target) }
  })
}

function computeBurnHistory (buckets: WorkspaceBuckets, objective: ObjectiveName, target: number, at: number): (number | null)[] {
  const start = windowStartOf(at, HISTORY_HOURS * MS_PER_HOUR, coarseSeries)
  return Array.from({ length: HISTORY_HOURS }, (_, hour) => {
    const from = start + hour * MS_PER_HOUR
    return computeBurnRate(sumTallies(buckets.coarse, objective, from, from + MS_PER_HOUR), target)
  })
}

function buildWorkspaceRows (workspace: Workspace, state: ServiceLevelState, at: number): BurnRow[] {
  const { objectives } = workspace
  if (objectives === undefined) return []
  const buckets = state.workspaces.find((entry) => entry.workspace === workspace.id) ?? { workspace: workspace.id, fine: [], coarse: [] }
  return objectiveNames.map((objective) => {
    const target = targetOf(objective, objectives)
    return {
      workspace: workspace.id,
      objective,
      target,
      limitMs: limitMsOf(objective, objectives),
      windows: computeBurnValues(buckets, objective, target, at),
      history: computeBurnHistory(buckets, objective, target, at)
    }
  })
}

/**
 * Computes the burn rates of every workspace with objectives.
 * @param state - tallies from the replicated log
 * @param now - time of day in milliseconds since 1970
 * @returns one row per workspace and objective, the workspaces without objectives, and the number of lost increments
 */
export function computeBurn (manifest: Manifest, state: ServiceLevelState, now: number): Pick<BurnReport, 'rows' | 'withoutObjectives' | 'lostIncrements'> {
  // If this clock is behind that of the leader, the windows still have to contain the most recent requests.
  const at = Math.max(now, state.at)
  return {
    rows: manifest.workspaces.flatMap((workspace) => buildWorkspaceRows(workspace, state, at)),
    withoutObjectives: manifest.workspaces.filter(({ objectives }) => objectives === undefined).map(({ id }) => id),
    lostIncrements: state.lostIncrements
  }
}
