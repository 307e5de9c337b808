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

/** `pre-candidate`: asks whether an election could succeed. */
export type ConsensusRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

export interface KnownLeader {
  member: MemberId
  entryAddress: Address
}

/**
 * State of a member that the parts of the consensus controller share.
 * `term` and `votedFor` are changed in memory first and synced before any message that depends on them is sent.
 */
export interface MemberCore {
  readonly options: ResolvedConsensusOptions
  readonly self: MemberId
  readonly log: ReplicatedLog
  role: ConsensusRole
  term: number
  votedFor: MemberId | null
  leader: KnownLeader | null
  /** When a message of a leader arrived last; null: never. */
  leaderHeardAt: Milliseconds | null
  /** When the member asks for votes unless it hears a leader before. */
  electionDue: Milliseconds
  /** Every entry up to here is committed and applied. */
  commitIndex: number
  /** State after the entry `commitIndex`. */
  state: ReplicatedState
}

/** Effects of the current call, and those that wait for a sync. */
export interface EffectQueue {
  emit: (effect: ConsensusEffect) => void
  send: (to: Address, message: ConsensusMessage) => void
  /** Emits a numbered log event. */
  log: (event: LogEventName, details?: LogDetails) => void
  /** Emits a persist effect with the next sequence number. */
  persist: (...records: DurableRecord[]) => void
  /** Runs the task as soon as everything persisted so far is synced; at once if it is. */
  afterSync: (task: () => void) => void
  /** Runs the tasks that waited for this sequence number. */
  synced: (sequence: number) => void
  /** @returns the effects emitted since the last call */
  take: () => ConsensusEffect[]
}

/**
 * @param restored - durable state of the member
 * @returns a follower that knows no leader; its committed state is that of the snapshot
 */
export function createMemberCore (options: ResolvedConsensusOptions, restored: RestoredMember): MemberCore {
  const log = createReplicatedLog(restored.snapshot, restored.entries)
  // A crash between a received snapshot and its vote record leaves a vote of an earlier term, which binds no longer.
  const isVoteOld = restored.vote.term < log.lastTerm()
  const core: MemberCore = {
    options,
    self: restored.member,
    log,
    role: 'follower',
    term: isVoteOld ? log.lastTerm() : restored.vote.term,
    votedFor: isVoteOld ? null : restored.vote.votedFor,
    leader: null,
    leaderHeardAt: null,
    electionDue: options.clock.now(),
    commitIndex: log.snapshotIndex(),
    state: restored.snapshot?.state ?? options.initialState
  }
  // No leader can be missed yet, so the first election waits for a part of the timeout only; pre-votes protect a leader that works.
  core.electionDue = addTime(core.electionDue, options.random() * options.electionTimeoutMinMs)
  return core
}

/** @returns an empty queue; nothing is unsynced */
export function createEffectQueue (): EffectQueue {
  let effects: ConsensusEffect[] = []
  let waiting: { sequence: number, task: () => void }[] = []
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
      else waiting.push({ sequence: issuedSequence, task })
    },
    synced: (sequence) => {
      syncedSequence = Math.max(syncedSequence, sequence)
      const ready = waiting.filter((entry) => entry.sequence <= syncedSequence)
      waiting = waiting.filter((entry) => entry.sequence > syncedSequence)
      for (const entry of ready) entry.task()
    },
    take: () => {
      const taken = effects
      effects = []
      return taken
    }
  }
}

/** Restarts the election timeout with a new random length, so that members rarely stand at the same time. */
export function postponeElection (core: MemberCore): void {
  const { electionTimeoutMinMs, electionTimeoutMaxMs, random, clock } = core.options
  const timeoutMs = electionTimeoutMinMs + random() * (electionTimeoutMaxMs - electionTimeoutMinMs)
  core.electionDue = addTime(clock.now(), timeoutMs)
}

/** @returns the term and vote to be synced */
export function termVote (core: MemberCore): TermVote {
  return { term: core.term, votedFor: core.votedFor }
}

/** @returns the end of the own log, for the comparison with a candidate's */
export function logEnd (core: MemberCore): LogEnd {
  return { lastIndex: core.log.lastIndex(), lastTerm: core.log.lastTerm() }
}

/** @returns the voters of the newest membership, committed or not */
export function voters (core: MemberCore): ControlMember[] {
  return core.log.members().filter((member) => member.role === 'voter')
}

/**
 * @param agrees - tells for a voter whether it agrees
 * @returns whether more than half of the voters agree; false without voters
 */
export function isMajority (core: MemberCore, agrees: (member: MemberId) => boolean): boolean {
  const all = voters(core)
  const agreeing = all.filter((voter) => agrees(voter.member))
  return agreeing.length * 2 > all.length
}

/**
 * @param message - its cluster is repeated, since a member with an empty folder has none of its own
 * @returns the header of an answer
 */
export function answerHeader (core: MemberCore, message: MemberMessageHeader): MemberMessageHeader {
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
 * @param to - member that the message is meant for
 * @returns the header of a message that this member begins
 * @throws Error when the member belongs to no cluster
 */
export function requestHeader (core: MemberCore, to: MemberId): MemberMessageHeader {
  const cluster = core.log.cluster()
  if (cluster === null) throw new Error('a member without a cluster sends no cluster messages')
  return { version: 1, cluster, from: core.self, fromAddress: core.options.ownAddress, to, term: core.term }
}
