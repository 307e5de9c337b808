import { drainMeasure } from './drain.js'
import { failoverGapMeasure } from './failover-gap.js'
import { failureDomainChangeMeasure } from './failure-domain-change.js'
import { faultMixMeasure } from './fault-mix.js'
import { keyWithdrawalMeasure } from './key-withdrawal.js'
import type { Measure } from './measure.js'
import { manifestInForceMeasure } from './manifest-in-force.js'

/** All measures in the order in which they run. */
export const measures: readonly Measure[] = [
  manifestInForceMeasure,
  failoverGapMeasure,
  faultMixMeasure,
  failureDomainChangeMeasure,
  keyWithdrawalMeasure,
  drainMeasure
]
