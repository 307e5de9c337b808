import type { ClusterId, LogEntry, LogSnapshot } from './consensus-entry.js'
import type { Address, MemberId } from './ids.js'

/** Fields of every message between members of a cluster. */
export interface MemberMessageHeader {
  version: 1
  cluster: ClusterId
  from: MemberId
  fromAddress: Address
  /** A member with another id drops the message, for example a member at the same address whose data folder was emptied. */
  to: MemberId
  /** Current term of the sender. */
  term: number
}

/** Last entry of a candidate's log. */
export interface LogEnd {
  lastIndex: number
  lastTerm: number
}

/** Requests a pre-vote, by which a candidate learns whether an election could succeed. It changes no term. */
export interface PreVote extends MemberMessageHeader, LogEnd {
  kind: 'pre-vote'
  /** Term that the election would begin. */
  nextTerm: number
}

/** A granted pre-vote is not a vote: the answering member may still vote for another candidate. */
export interface PreVoteAnswer extends MemberMessageHeader {
  kind: 'pre-vote-answer'
  /** Copied from the request. */
  nextTerm: number
  granted: boolean
}

/** Requests a vote in the sender's term. The sender has synced its own vote in that term before. */
export interface Vote extends MemberMessageHeader, LogEnd {
  kind: 'vote'
}

/** Sent after the answering member synced its vote. */
export interface VoteAnswer extends MemberMessageHeader {
  kind: 'vote-answer'
  granted: boolean
}

/** Log entries from the leader. Without entries the message is a heartbeat. */
export interface Append extends MemberMessageHeader {
  kind: 'append'
  /** Address under which entry instances and operators reach the leader. */
  entryAddress: Address
  /** Number of the leader's heartbeat round; the answer repeats it. */
  round: number
  /** Entry before the first one sent. The receiver refuses the message unless its log holds that entry with the same term. */
  previousIndex: number
  previousTerm: number
  entries: LogEntry[]
  /** Last entry that the leader knows to be committed. */
  commitIndex: number
}

/** Answers both `append` and `snapshot`. */
export interface AppendAnswer extends MemberMessageHeader {
  kind: 'append-answer'
  round: number
  accepted: boolean
  /** If accepted: last synced entry that is known to equal the leader's. Otherwise 0. */
  matchIndex: number
  /** If refused: entry from which the leader should continue. Otherwise 0. */
  nextIndex: number
}

/** Sent to a member whose missing entries the leader has already replaced by its snapshot. */
export interface SnapshotTransfer extends MemberMessageHeader {
  kind: 'snapshot'
  entryAddress: Address
  round: number
  snapshot: LogSnapshot
}

/** Sent by a leader that can't lead any more, so that another member is elected without waiting for an election timeout. It binds nobody. */
export interface Resignation extends MemberMessageHeader {
  kind: 'resignation'
  /** Member that should start an election at once; the others wait for it. */
  successor: MemberId
}

/** Sent to all configured addresses by a member that receives no message of a leader. The leader handles it as a request to join. */
export interface Probe {
  version: 1
  kind: 'probe'
  from: MemberId
  fromAddress: Address
  /** Random number that distinguishes answers to this round of probes from late answers to earlier rounds. */
  nonce: number
  /** Null: the sender's data folder is empty. */
  cluster: ClusterId | null
  /** Set by a member that forwards the probe to its leader. Members don't forward such a probe again. */
  forwarded?: boolean
}

/** Answers a probe with the cluster of the answering member, or the fact that its data folder is empty. */
export interface ProbeAnswer {
  version: 1
  kind: 'probe-answer'
  from: MemberId
  fromAddress: Address
  to: MemberId
  nonce: number
  /** Null: the answering member's data folder is empty. */
  cluster: ClusterId | null
}

/** Messages between members of one cluster, including a member that is about to join it. */
export type ClusterMessage = PreVote | PreVoteAnswer | Vote | VoteAnswer | Append | AppendAnswer | SnapshotTransfer | Resignation
export type ConsensusMessage = ClusterMessage | Probe | ProbeAnswer

/** Carries messages between control members. The transport may lose, repeat and reorder them. */
export interface ConsensusTransport {
  /** Sends without waiting, and drops a message that can't be sent. */
  send: (address: Address, message: ConsensusMessage) => void
}
