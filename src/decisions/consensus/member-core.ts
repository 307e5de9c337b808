import type { Milliseconds } from '../../types/clock.js'
import { addTime } from '../../types/clock.js'
import type { ControlMember, TermVote } from '../../types/consensus-entry.js'
import type { ConsensusMessage, LogEnd, MemberMessageHeader } from '../../types/consensus-message.js'
import type { DurableRecord, RestoredMember } from '../../types/control-storage.js'
import type { Address, MemberId } from '../../types/ids.js'
import type { LogDetails, LogEventName } from '../../types/log-event.js'
import type { ReplicatedState } from '../../types/replicated-state.js'
import type { ConsensusEffect } from './consensus-effect.js'
import type { ResolvedConsensusOptions } from './consensus-options.js'
import type { ReplicatedLog } from './replicated-log.js'
import { createReplicatedLog } from './replicated-log.js'

/** `pre-candidate`: the member requests pre-votes to find out whether an election could succeed; its term is unchanged. */
export type ConsensusRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

export interface KnownLeader {
  member: MemberId
  entryAddress: Address
}

/**
 * State that all parts of one member's consensus controller share.
 * `term` and `votedFor` change in memory first. The member sends no message that depends on them before they are synced.
 */
export interface MemberCore {
  readonly options: ResolvedConsensusOptions
  readonly self: MemberId
  readonly log: ReplicatedLog
  role: ConsensusRole
  term: number
  votedFor: MemberId | null
  leader: KnownLeader | null
  /** When the member last received a message from a leader; null: never. */
  lastLeaderMessageAt: Milliseconds | null
  /** When the member starts a pre-vote, unless it receives a message from a leader before. */
  electionDueAt: Milliseconds
  /** Every log entry up to this index is committed and applied. */
  commitIndex: number
  /** State after the entry `commitIndex`. */
  state: ReplicatedState
}

/** Collects the effects of the current call and the tasks that wait for a sync. */
export interface EffectQueue {
  emit: (effect: ConsensusEffect) => void
  send: (to: Address, message: ConsensusMessage) => void
  /** Emits a numbered log event. */
  log: (event: LogEventName, details?: LogDetails) => void
  /** Emits a persist effect with the next sequence number. */
  persist: (...records: DurableRecord[]) => void
  /** Runs the task once everything persisted so far is synced; at once if it already is. */
  afterSync: (task: () => void) => void
  /** Records that everything up to this sequence number is synced, and runs the tasks that waited for it. */
  markSynced: (sequence: number) => void
  /** @returns the effects emitted since the last call, and clears them */
  drain: () => ConsensusEffect[]
}

/**
 * @param restored - durable state of the member
 * @returns the state of a follower that knows no leader; its committed state is that of the snapshot
 */
export function createMemberCore (options: ResolvedConsensusOptions, restored: RestoredMember): MemberCore {
  const log = createReplicatedLog(restored.snapshot, restored.entries)
  // A crash between the sync of a received snapshot and the sync of the vote leaves a vote of an earlier term, which no longer binds.
  const isVoteOutdated = restored.vote.term < log.lastTerm()
  const core: MemberCore = {
    options,
    self: restored.member,
    log,
    role: 'follower',
    term: isVoteOutdated ? log.lastTerm() : restored.vote.term,
    votedFor: isVoteOutdated ? null : restored.vote.votedFor,
    leader: null,
    lastLeaderMessageAt: null,
    electionDueAt: options.clock.now(),
    commitIndex: log.snapshotIndex(),
    state: restored.snapshot?.state ?? options.initialState
  }
  // A member that just started has not lost a leader, so its first election waits for only a part of the timeout.
  // If a leader is running, the pre-votes keep this election from replacing it.
  core.electionDueAt = addTime(core.electionDueAt, options.random() * options.electionTimeoutMinMs)
  return core
}

/** @returns an empty queue with nothing waiting for a sync */
export function createEffectQueue (): EffectQueue {
  let effects: ConsensusEffect[] = []
  let waitingTasks: { sequence: number, task: () => void }[] = []
  let issuedSequence = 0
  let syncedSequence = 0

  const emit = (effect: ConsensusEffect): void => { effects.push(effect) }

  return {
    emit,
    send: (to, message) => emit({ kind: 'send', to, message }),
    log: (event, details = {}) => emit({ kind: 'log', event, details }),
    persist: (...records) => {
      issuedSequence++
      emit({ kind: 'persist', sequence: issuedSequence, records })
    },
    afterSync: (task) => {
      if (syncedSequence === issuedSequence) task()
      else waitingTasks.push({ sequence: issuedSequence, task })
    },
    markSynced: (sequence) => {
      syncedSequence = Math.max(syncedSequence, sequence)
      const ready = waitingTasks.filter((entry) => entry.sequence <= syncedSequence)
      waitingTasks = waitingTasks.filter((entry) => entry.sequence > syncedSequence)
      for (const entry of ready) entry.task()
    },
    drain: () => {
      const drained = effects
      effects = []
      return drained
    }
  }
}

/** Restarts the election timeout with a new random length, so that members rarely start elections at the same time. */
export function postponeElection (core: MemberCore): void {
  const { electionTimeoutMinMs, electionTimeoutMaxMs, random, clock } = core.options
  const timeoutMs = electionTimeoutMinMs + random() * (electionTimeoutMaxMs - electionTimeoutMinMs)
  core.electionDueAt = addTime(clock.now(), timeoutMs)
}

/** @returns the current term and vote, as they are persisted */
export function termVoteOf (core: MemberCore): TermVote {
  return { term: core.term, votedFor: core.votedFor }
}

/** @returns the end of this member's log, for the comparison with a candidate's log */
export function logEndOf (core: MemberCore): LogEnd {
  return { lastIndex: core.log.lastIndex(), lastTerm: core.log.lastTerm() }
}

/** @returns the voters of the newest membership, committed or not */
export function votersOf (core: MemberCore): ControlMember[] {
  return core.log.members().filter((member) => member.role === 'voter')
}

/**
 * @param agrees - whether the voter agrees
 * @returns whether more than half of the voters agree; false when there are no voters
 */
export function isMajority (core: MemberCore, agrees: (member: MemberId) => boolean): boolean {
  const currentVoters = votersOf(core)
  const agreeingVoters = currentVoters.filter((voter) => agrees(voter.member))
  return agreeingVoters.length * 2 > currentVoters.length
}

/**
 * @param message - message to answer; its cluster id is copied, since a member with an empty folder has no cluster id of its own
 * @returns the header of the answer
 */
export function buildAnswerHeader (core: MemberCore, message: MemberMessageHeader): MemberMessageHeader {
  return {
    version: 1,
    cluster: message.cluster,
    from: core.self,
    fromAddress: core.options.ownAddress,
    to: message.from,
    term: core.term
  }
}

/**
 * @param to - receiver
 * @returns the header of a message that is not an answer
 * @throws Error when the member belongs to no cluster
 */
export function buildRequestHeader (core: MemberCore, to: MemberId): MemberMessageHeader {
  const cluster = core.log.cluster()
  if (cluster === null) throw new Error('a member without a cluster cannot send cluster messages')
  return { version: 1, cluster, from: core.self, fromAddress: core.options.ownAddress, to, term: core.term }
}
