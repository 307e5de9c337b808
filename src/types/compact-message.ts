import type { ListDelta } from '../utils/list-delta.js'
import type { DatabaseObservation, Heartbeat, HeartbeatAnswer, ReleasedTerm } from './control-message.js'
import type { GrantedShare, HeldShare, ShareDemand } from './share.js'
import type { UsageReport } from './usage.js'

/** Fields of a heartbeat that don't change during one connection. */
export type HeartbeatSender = Pick<Heartbeat, 'instance' | 'incarnation' | 'peerAddress' | 'failureDomain'>

/** A heartbeat on the wire. Its lists are differences from the previous heartbeat on the same connection. */
export interface CompactHeartbeat extends Pick<Heartbeat, 'version' | 'sequence' | 'draining' | 'leaderTerm' | 'manifestVersion' | 'directoryVersion'> {
  kind: 'compact-heartbeat'
  /** Null: the same as in the first heartbeat of the connection. */
  sender: HeartbeatSender | null
  idleMs?: number
  held: ListDelta<HeldShare>
  demand: ListDelta<ShareDemand>
  observations: ListDelta<DatabaseObservation>
  releasedTerms: ListDelta<ReleasedTerm>
  /** Relative to what the leader has acknowledged, not to the previous heartbeat. */
  usage?: UsageReport
}

/** A heartbeat answer on the wire. Its shares are differences from the previous answer on the same connection. */
export interface CompactAnswer extends Omit<HeartbeatAnswer, 'kind' | 'shares'> {
  kind: 'compact-answer'
  shares: ListDelta<GrantedShare>
}
