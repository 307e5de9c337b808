import type { Brand } from './brand.js'
import type { Address, MemberId } from './ids.js'
import type { Command, ReplicatedState } from './replicated-state.js'

/** Identity of one formed control cluster. Logs of different clusters are never mixed. */
export type ClusterId = Brand<string, 'ClusterId'>

export const clusterId = (value: string): ClusterId => value as ClusterId

/** `learner`: receives the log but does not count towards a majority. */
export type MemberRole = 'voter' | 'learner'

/** A member of the control cluster. */
export interface ControlMember {
  member: MemberId
  /** Address at which the member receives messages of other members. */
  address: Address
  role: MemberRole
}

/** Content of a log entry. */
export type EntryPayload =
  | { kind: 'command', command: Command }
  /** A membership takes effect as soon as its entry is in the log, before the entry is committed. New members are appended to the list. */
  | { kind: 'membership', cluster: ClusterId, members: ControlMember[] }
  /** The first entry that each leader appends. Once it is committed, every earlier entry is committed too. */
  | { kind: 'leadership' }

/** One entry of the replicated log. No member changes the content of an entry. */
export interface LogEntry {
  /** Position in the log; the first entry has 1. */
  index: number
  /** Term of the leader that appended the entry. */
  term: number
  payload: EntryPayload
}

/** State after the entry `index`. It replaces all entries up to that one. */
export interface LogSnapshot {
  index: number
  term: number
  cluster: ClusterId
  members: ControlMember[]
  state: ReplicatedState
}

/** The highest term that a member has seen, and its vote in that term. */
export interface TermVote {
  term: number
  votedFor: MemberId | null
}
