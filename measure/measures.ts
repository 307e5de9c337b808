import { failoverGapMeasure } from './failover-gap.js'
import { drainMeasure } from './drain.js'
import type { Measure } from './measure.js'
import { addedLatencyMeasure } from './added-latency.js'
import { controlBytesMeasure } from './control-bytes.js'
import { manifestInForceMeasure } from './manifest-in-force.js'
import { rateLimitsMeasure } from './rate-limits.js'
import { replicaReadShareMeasure } from './replica-read-share.js'
import { restartMeasure } from './restart.js'
import { worstWorkspaceShareMeasure } from './worst-workspace-share.js'

/** All measures in the order in which they run. */
export const measures: readonly Measure[] = [
  manifestInForceMeasure,
  failoverGapMeasure,
  drainMeasure,
  replicaReadShareMeasure,
  rateLimitsMeasure,
  worstWorkspaceShareMeasure,
  addedLatencyMeasure,
  restartMeasure,
  controlBytesMeasure
]
