import { err } from 'neverthrow'
import type { ClusterMessage, ConsensusMessage } from '../../types/consensus-message.js'
import type { Controller } from '../../types/controller.js'
import type { RestoredMember } from '../../types/control-storage.js'
import type { Address } from '../../types/ids.js'
import type { ReplicatedState } from '../../types/replicated-state.js'
import { createClusterFormation } from './cluster-formation.js'
import type { ConsensusEffect, ConsensusInput } from './consensus-effect.js'
import type { ConsensusOptions } from './consensus-options.js'
import { resolveConsensusOptions } from './consensus-options.js'
import { createElection } from './election.js'
import { createFollower } from './follower.js'
import type { Leader } from './leader.js'
import { createLeader } from './leader.js'
import type { ConsensusRole } from './member-core.js'
import { createEffectQueue, createMemberCore, termVote } from './member-core.js'
import type { ReplicatedLog } from './replicated-log.js'

/** What the rest of a member may read of the controller. */
export interface ConsensusView {
  role: ConsensusRole
  term: number
  /** Where entry instances and operators reach the leader; null while none is known. */
  leaderAddress: Address | null
  /** Last entry that is committed and applied here. */
  commitIndex: number
  /** State after the entry `commitIndex`. */
  state: ReplicatedState
  log: ReplicatedLog
  /** Age of the newest proof that this member leads, in milliseconds; null when it has none. */
  provenMsAgo: number | null
}

export interface ConsensusController extends Controller<ConsensusInput, ConsensusEffect> {
  /** @returns the present values; they change with the next call */
  view: () => ConsensusView
}

/**
 * Creates the controller of one member of the replicated log. It does no I/O.
 * @param options - varying behaviour, and times in milliseconds
 * @param restored - durable state of the member
 * @returns a controller whose caller carries out the effects of each call in order
 */
export function createConsensusController (options: ConsensusOptions, restored: RestoredMember): ConsensusController {
  const core = createMemberCore(resolveConsensusOptions(options), restored)
  const effects = createEffectQueue()
  const follower = createFollower(core, effects)
  const election = createElection(core, effects, becomeLeader)
  const formation = createClusterFormation(core, effects, election.stand)
  let leader: Leader | null = null

  function becomeLeader (): void {
    core.role = 'leader'
    core.leader = { member: core.self, entryAddress: core.options.entryAddress }
    effects.log('leaderElected', { term: core.term })
    effects.emit({ kind: 'changed' })
    leader = createLeader(core, effects, stepDown)
  }

  function stepDown (): void {
    core.role = 'follower'
    core.leader = null
    if (leader === null) return
    const ending = leader
    leader = null
    ending.end(null)
    effects.log('leadershipLost', { term: core.term })
    effects.emit({ kind: 'changed' })
  }

  function adoptTerm (term: number): void {
    stepDown()
    core.term = term
    core.votedFor = null
    effects.persist({ kind: 'vote', vote: termVote(core) })
    effects.emit({ kind: 'changed' })
  }

  function receive (message: ConsensusMessage): void {
    if (message.version !== 1) return
    switch (message.kind) {
      case 'probe':
        formation.handleProbe(message)
        leader?.handleProbe(message)
        return
      case 'probe-answer':
        if (message.to === core.self) formation.handleProbeAnswer(message)
        return
      default:
        receiveInCluster(message)
    }
  }

  function receiveInCluster (message: ClusterMessage): void {
    const cluster = core.log.cluster()
    const isForeign = cluster !== null && cluster !== message.cluster
    if (message.to !== core.self || message.from === core.self || isForeign) return
    // A pre-vote asks only; a member that was cut off must not end a working leadership by it.
    if (message.kind !== 'pre-vote' && message.term > core.term) adoptTerm(message.term)
    switch (message.kind) {
      case 'pre-vote': return election.handlePreVote(message)
      case 'pre-vote-answer': return election.handlePreVoteAnswer(message)
      case 'vote': return election.handleVote(message)
      case 'vote-answer': return election.handleVoteAnswer(message)
      case 'append': return follower.handleAppend(message)
      case 'snapshot': return follower.handleSnapshot(message)
      case 'append-answer': return leader?.handleAppendAnswer(message)
    }
  }

  function handle (input: ConsensusInput): ConsensusEffect[] {
    const leaderAddress = core.leader?.entryAddress ?? null
    switch (input.kind) {
      case 'received':
        receive(input.message)
        break
      case 'persisted':
        effects.synced(input.sequence)
        break
      case 'propose':
        if (leader !== null) leader.propose(input.proposal, input.command)
        else effects.emit({ kind: 'proposal-result', proposal: input.proposal, result: err({ kind: 'not-leader', leaderAddress }) })
        break
      case 'confirm':
        if (leader !== null) leader.confirm(input.confirmation)
        else effects.emit({ kind: 'confirmation-result', confirmation: input.confirmation, result: err({ kind: 'not-leader', leaderAddress }) })
        break
    }
    return effects.take()
  }

  function tick (): ConsensusEffect[] {
    leader?.tick()
    election.tick()
    formation.tick()
    return effects.take()
  }

  return {
    handle,
    tick,
    view: () => ({
      role: core.role,
      term: core.term,
      leaderAddress: core.leader?.entryAddress ?? null,
      commitIndex: core.commitIndex,
      state: core.state,
      log: core.log,
      provenMsAgo: leader?.provenMsAgo() ?? null
    })
  }
}
