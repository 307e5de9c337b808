import { failoverGapMeasure } from './failover-gap.js'
import { drainMeasure } from './drain.js'
import type { Measure } from './measure.js'
import { manifestInForceMeasure } from './manifest-in-force.js'
import { rateLimitsMeasure } from './rate-limits.js'
import { replicaReadShareMeasure } from './replica-read-share.js'

/** All measures in the order in which they run. */
export const measures: readonly Measure[] = [
  manifestInForceMeasure,
  failoverGapMeasure,
  drainMeasure,
  replicaReadShareMeasure,
  rateLimitsMeasure
]
