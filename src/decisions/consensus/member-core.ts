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

/** State of a member that the parts of the consensus controller share. */
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
  electionDue: Milliseconds
  /** Every entry up to here is committed and applied. */
  commitIndex: number
  state: ReplicatedState
}

/** Effects of the current call, and those that wait for a sync. */
export interface EffectQueue {
  emit: (effect: ConsensusEffect) => void
  send: (to: Address, message: ConsensusMessage) => void
  log: (event: LogEventName, details?: LogDetails) => void
  persist: (...records: DurableRecord[]) => void
  /** Runs the task as soon as everything persisted so far is synced; at once if it is. */
  afterSync: (task: () => void) => void
  /** Runs the tasks that waited for this sequence number. */
  synced: (sequence: number) => void
  /** @returns the effects emitted since the last call */
  take: () => ConsensusEffect[]
}

export function createMemberCore (options: ResolvedConsensusOptions, restored: RestoredMember): MemberCore {
  const log = createReplicatedLog(restored.snapshot, restored.entries)
  const core: MemberCore = {
    options,
    self: restored.member,
    log,
    role: 'follower',
    term: restored.vote.term,
    votedFor: restored.vote.votedFor,
    leader: null,
    leaderHeardAt: null,
    electionDue: options.clock.now(),
    commitIndex: log.snapshotIndex(),
    state: restored.snapshot?.state ?? options.initialState
  }
  postponeElection(core)
  return core
}

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

export function termVote (core: MemberCore): TermVote {
  return { term: core.term, votedFor: core.votedFor }
}

export function logEnd (core: MemberCore): LogEnd {
  return { lastIndex: core.log.lastIndex(), lastTerm: core.log.lastTerm() }
}

export function voters (core: MemberCore): ControlMember[] {
  return core.log.members().filter((member) => member.role === 'voter')
}

/** @returns whether `agrees` holds for more than half of the voters */
export function isMajority (core: MemberCore, agrees: (member: MemberId) => boolean): boolean {
  const all = voters(core)
  const agreeing = all.filter((voter) => agrees(voter.member))
  return agreeing.length * 2 > all.length
}

/** @returns the header of an answer to `message` */
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
 * @returns the header of a message that this member begins
 * @throws Error when the member belongs to no cluster
 */
export function requestHeader (core: MemberCore, to: MemberId): MemberMessageHeader {
  const cluster = core.log.cluster()
  if (cluster === null) throw new Error('a member without a cluster sends no cluster messages')
  return { version: 1, cluster, from: core.self, fromAddress: core.options.ownAddress, to, term: core.term }
}
