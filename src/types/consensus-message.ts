import type { ClusterId, LogEntry, LogSnapshot } from './consensus-entry.js'
import type { Address, MemberId } from './ids.js'

/** Fields of every message inside a cluster. */
export interface MemberMessageHeader {
  version: 1
  cluster: ClusterId
  from: MemberId
  fromAddress: Address
  /** The message is dropped by a member with another id, such as one with an emptied folder at the same address. */
  to: MemberId
  /** Current term of the sender. */
  term: number
}

/** Last entry of a candidate's log. */
export interface LogEnd {
  lastIndex: number
  lastTerm: number
}

/** Asks whether an election could succeed; changes no term. */
export interface PreVote extends MemberMessageHeader, LogEnd {
  kind: 'pre-vote'
  /** Term that the election would have. */
  nextTerm: number
}

/** Binds nobody; the answering member may still vote for another. */
export interface PreVoteAnswer extends MemberMessageHeader {
  kind: 'pre-vote-answer'
  /** Repeated from the question. */
  nextTerm: number
  granted: boolean
}

/** Asks for the vote in the sender's term, which its own vote was synced in. */
export interface Vote extends MemberMessageHeader, LogEnd {
  kind: 'vote'
}

/** Sent after the vote was synced. */
export interface VoteAnswer extends MemberMessageHeader {
  kind: 'vote-answer'
  granted: boolean
}

/** Entries of the leader; without entries a heartbeat. */
export interface Append extends MemberMessageHeader {
  kind: 'append'
  /** Where entry instances and operators reach the leader. */
  entryAddress: Address
  /** Number of the leader's heartbeat round; echoed in the answer. */
  round: number
  /** Entry before the first one sent; the receiver must hold it with the same term. */
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
  /** Accepted: last entry known to equal the leader's, synced. Otherwise 0. */
  matchIndex: number
  /** Refused: where the leader continues. Otherwise 0. */
  nextIndex: number
}

/** Sent to a member that lacks entries which the leader's snapshot has replaced. */
export interface SnapshotTransfer extends MemberMessageHeader {
  kind: 'snapshot'
  entryAddress: Address
  round: number
  snapshot: LogSnapshot
}

/** Sent to all configured addresses by a member that hears no leader. The leader takes it as a request to join. */
export interface Probe {
  version: 1
  kind: 'probe'
  from: MemberId
  fromAddress: Address
  /** Random; tells answers of one round from late ones. */
  nonce: number
  /** Null: the member's folder is empty. */
  cluster: ClusterId | null
  /** Set by a member that passes the probe on to its leader; a forwarded probe is not passed on again. */
  forwarded?: boolean
}

/** Tells the member that sent a probe whether the own folder is empty. */
export interface ProbeAnswer {
  version: 1
  kind: 'probe-answer'
  from: MemberId
  fromAddress: Address
  to: MemberId
  nonce: number
  /** Null: the answering member's folder is empty. */
  cluster: ClusterId | null
}

/** Messages between members that belong, or are about to belong, to one cluster. */
export type ClusterMessage = PreVote | PreVoteAnswer | Vote | VoteAnswer | Append | AppendAnswer | SnapshotTransfer
export type ConsensusMessage = ClusterMessage | Probe | ProbeAnswer

/** Carries messages between control members. May lose, repeat and reorder them. */
export interface ConsensusTransport {
  /** Sends without waiting; a message that can't be sent is dropped. */
  send: (address: Address, message: ConsensusMessage) => void
}
