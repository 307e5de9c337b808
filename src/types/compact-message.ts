import type { ListDelta } from '../utils/list-delta.js'
import type { DatabaseObservation, Heartbeat, HeartbeatAnswer, ReleasedTerm } from './control-message.js'
import type { GrantedShare, HeldShare, ShareDemand } from './share.js'

/** Fields of a heartbeat that stay the same for one connection. */
export type HeartbeatSender = Pick<Heartbeat, 'instance' | 'incarnation' | 'peerAddress' | 'failureDomain'>

/** A heartbeat as it is sent: lists as differences to the heartbeat before on the same connection. */
export interface CompactHeartbeat extends Pick<Heartbeat, 'version' | 'sequence' | 'draining' | 'leaderTerm' | 'manifestVersion' | 'directoryVersion'> {
  kind: 'compact-heartbeat'
  /** Null: as in the first heartbeat of the connection. */
  sender: HeartbeatSender | null
  idleMs?: number
  held: ListDelta<HeldShare>
  demand: ListDelta<ShareDemand>
  observations: ListDelta<DatabaseObservation>
  releasedTerms: ListDelta<ReleasedTerm>
}

/** A heartbeat answer as it is sent. */
export interface CompactAnswer extends Omit<HeartbeatAnswer, 'kind' | 'shares'> {
  kind: 'compact-answer'
  shares: ListDelta<GrantedShare>
}
