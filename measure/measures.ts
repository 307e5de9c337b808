import { drainMeasure } from './drain.js'
import { failoverGapMeasure } from './failover-gap.js'
import { failureDomainChangeMeasure } from './failure-domain-change.js'
import { faultMixMeasure } from './fault-mix.js'
import { keyWithdrawalMeasure } from './key-withdrawal.js'
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
  replicaReadShareMeasure,
  rateLimitsMeasure,
  worstWorkspaceShareMeasure,
  addedLatencyMeasure,
  restartMeasure,
  controlBytesMeasure,
  faultMixMeasure,
  failureDomainChangeMeasure,
  keyWithdrawalMeasure,
  drainMeasure
]
