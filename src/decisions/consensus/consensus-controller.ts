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
import { createEffectQueue, createMemberCore, termVoteOf } from './member-core.js'
import type { ReplicatedLog } from './replicated-log.js'

/** Read-only values of the controller for the other parts of a control instance. */
export interface ConsensusView {
  role: ConsensusRole
  term: number
  /** Address at which entry instances and operators reach the leader; null while no leader is known. */
  leaderAddress: Address | null
  /** Last log entry that is committed and applied by this member. */
  commitIndex: number
  /** State after the entry `commitIndex`. */
  state: ReplicatedState
  log: ReplicatedLog
  /** Age of this member's newest leadership confirmation, in milliseconds; null without a confirmation. */
  provenMsAgo: number | null
}

export interface ConsensusController extends Controller<ConsensusInput, ConsensusEffect> {
  /** @returns a view of the current values, valid until the next call of `handle` or `tick` */
  view: () => ConsensusView
}

/**
 * Creates the consensus controller of one member of the replicated log. The controller does no I/O.
 * @param options - settings, environment and state machine; times are in milliseconds
 * @param restored - durable state of the member
 * @returns a controller; the caller carries out the effects of each call in order
 */
export function createConsensusController (options: ConsensusOptions, restored: RestoredMember): ConsensusController {
  const core = createMemberCore(resolveConsensusOptions(options), restored)
  const effects = createEffectQueue()
  const follower = createFollower(core, effects)
  const election = createElection(core, effects, becomeLeader)
  const formation = createClusterFormation(core, effects, election.startPreVote)
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
    const endedLeader = leader
    leader = null
    endedLeader.end(null)
    effects.log('leadershipLost', { term: core.term })
    effects.emit({ kind: 'changed' })
  }

  function adoptTerm (term: number): void {
    stepDown()
    core.term = term
    core.votedFor = null
    effects.persist({ kind: 'vote', vote: termVoteOf(core) })
    effects.emit({ kind: 'changed' })
  }

  function handleMessage (message: ConsensusMessage): void {
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
        handleClusterMessage(message)
    }
  }

  function handleClusterMessage (message: ClusterMessage): void {
    const cluster = core.log.cluster()
    const isForeign = cluster !== null && cluster !== message.cluster
    if (message.to !== core.self || message.from === core.self || isForeign) return
    // A pre-vote only checks whether an election could succeed. Its term is not adopted, so a member that was cut off cannot end a working leadership.
    if (message.kind !== 'pre-vote' && message.term > core.term) adoptTerm(message.term)
    switch (message.kind) {
      case 'pre-vote': return election.handlePreVote(message)
      case 'pre-vote-answer': return election.handlePreVoteAnswer(message)
      case 'vote': return election.handleVote(message)
      case 'vote-answer': return election.handleVoteAnswer(message)
      case 'append': return follower.handleAppend(message)
      case 'snapshot': return follower.handleSnapshot(message)
      case 'append-answer': return leader?.handleAppendAnswer(message)
      case 'resignation':
        if (follower.handleResignation(message)) election.startPreVote()
    }
  }

  function handle (input: ConsensusInput): ConsensusEffect[] {
    const leaderAddress = core.leader?.entryAddress ?? null
    switch (input.kind) {
      case 'received':
        handleMessage(input.message)
        break
      case 'persisted':
        effects.markSynced(input.sequence)
        break
      case 'storage-failed':
        leader?.resign()
        stepDown()
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
    return effects.drain()
  }

  function tick (): ConsensusEffect[] {
    leader?.tick()
    election.tick()
    formation.tick()
    return effects.drain()
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
