import type { ShareDemand } from '../../types/share.js'

/** Demand of this instance for one resource. */
export interface DemandReport extends ShareDemand {
  /** Whether work waits, or is about to wait, for more share. */
  unmet: boolean
}

/** Tells the present demand for some resources; a resource that is absent isn't wanted. */
export type DemandSource = () => readonly DemandReport[]
