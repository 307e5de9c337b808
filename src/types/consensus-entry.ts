import type { Brand } from './brand.js'
import type { Address, MemberId } from './ids.js'
import type { Command, ReplicatedState } from './replicated-state.js'

/** Identity of one formed control cluster. Logs of different clusters are never mixed. */
export type ClusterId = Brand<string, 'ClusterId'>

export const clusterId = (value: string): ClusterId => value as ClusterId

/** `learner`: receives the log and counts for no majority. */
export type MemberRole = 'voter' | 'learner'

/** A member of the control cluster. */
export interface ControlMember {
  member: MemberId
  /** Where the member receives messages of other members. */
  address: Address
  role: MemberRole
}

/** What an entry carries. */
export type EntryPayload =
  | { kind: 'command', command: Command }
  /** In force from the moment it is in the log, before it is committed. New members are added at the end. */
  | { kind: 'membership', cluster: ClusterId, members: ControlMember[] }
  /** First entry of each leader. Its commit also commits every earlier entry. */
  | { kind: 'leadership' }

/** One entry of the replicated log. Never changed once it is made. */
export interface LogEntry {
  /** Position in the log; the first entry has 1. */
  index: number
  /** Term of the leader that appended the entry. */
  term: number
  payload: EntryPayload
}

/** State after the entry `index`, in place of all entries up to it. */
export interface LogSnapshot {
  index: number
  term: number
  cluster: ClusterId
  members: ControlMember[]
  state: ReplicatedState
}

/** The highest term seen and the vote given in it. */
export interface TermVote {
  term: number
  votedFor: MemberId | null
}
