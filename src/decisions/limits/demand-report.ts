import type { ShareDemand } from '../../types/share.js'

/** Demand of this instance for one resource, and whether the share of the instance covers it. */
export interface DemandReport extends ShareDemand {
  /** Whether work is queued because the share is too small, or will be soon. */
  unmet: boolean
}

/** Returns the current demand for some resources. A resource that is absent has no demand. */
export type DemandSource = () => readonly DemandReport[]
