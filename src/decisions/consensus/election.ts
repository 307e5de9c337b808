import type { PreVote, PreVoteAnswer, Vote, VoteAnswer } from '../../types/consensus-message.js'
import type { MemberId } from '../../types/ids.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { buildAnswerHeader, buildRequestHeader, isMajority, logEndOf, postponeElection, termVoteOf, votersOf } from './member-core.js'
import { isAtLeastAsUpToDate } from './replicated-log.js'

/** Starts elections while no leader sends messages, and votes in the elections of other members. */
export interface Election {
  /** Starts a pre-vote once the election timeout has passed. */
  tick: () => void
  /** Requests pre-votes at once; does nothing on a leader or on a member that is not a voter. */
  startPreVote: () => void
  /** Answers whether this member would vote for the sender; changes no state. */
  handlePreVote: (message: PreVote) => void
  /** Begins the election once a majority has granted the pre-vote. */
  handlePreVoteAnswer: (message: PreVoteAnswer) => void
  /** Grants at most one vote per term and answers after the vote is synced. A member votes even if its own log does not list it as a voter. */
  handleVote: (message: Vote) => void
  /** Records the vote of a voter; a majority makes this member the leader. */
  handleVoteAnswer: (message: VoteAnswer) => void
}

/** @param becomeLeader - called once a majority has granted its votes */
export function createElection (core: MemberCore, effects: EffectQueue, becomeLeader: () => void): Election {
  let grantingMembers = new Set<MemberId>()

  const isVoter = (): boolean => votersOf(core).some((voter) => voter.member === core.self)
  const otherVoters = () => votersOf(core).filter((voter) => voter.member !== core.self)

  function startPreVote (): void {
    if (core.role === 'leader' || !isVoter()) return
    postponeElection(core)
    if (core.leader !== null) effects.emit({ kind: 'changed' })
    core.role = 'pre-candidate'
    core.leader = null
    grantingMembers = new Set([core.self])
    for (const voter of otherVoters()) {
      effects.send(voter.address, { ...buildRequestHeader(core, voter.member), ...logEndOf(core), kind: 'pre-vote', nextTerm: core.term + 1 })
    }
    if (isMajority(core, (member) => grantingMembers.has(member))) beginElection()
  }

  function beginElection (): void {
    core.role = 'candidate'
    core.term++
    core.votedFor = core.self
    grantingMembers = new Set()
    postponeElection(core)
    effects.persist({ kind: 'vote', vote: termVoteOf(core) })
    effects.emit({ kind: 'changed' })
    const term = core.term
    effects.afterSync(() => {
      if (core.role === 'candidate' && core.term === term) requestVotes()
    })
  }

  function requestVotes (): void {
    for (const voter of otherVoters()) {
      effects.send(voter.address, { ...buildRequestHeader(core, voter.member), ...logEndOf(core), kind: 'vote' })
    }
    recordVote(core.self)
  }

  function recordVote (member: MemberId): void {
    grantingMembers.add(member)
    if (isMajority(core, (voter) => grantingMembers.has(voter))) becomeLeader()
  }

  /** A member that still receives messages from its leader grants no pre-votes, so a member behind a faulty link cannot raise the term. */
  function hasActiveLeader (): boolean {
    if (core.role === 'leader') return true
    if (core.leader === null || core.lastLeaderMessageAt === null) return false
    return core.options.clock.now() - core.lastLeaderMessageAt < core.options.electionTimeoutMinMs
  }

  function handlePreVote (message: PreVote): void {
    const grantsPreVote = message.nextTerm > core.term && !hasActiveLeader() && isAtLeastAsUpToDate(message, logEndOf(core))
    const reply: PreVoteAnswer = { ...buildAnswerHeader(core, message), kind: 'pre-vote-answer', nextTerm: message.nextTerm, granted: grantsPreVote }
    // The answer carries this member's term, which must be synced before it is sent.
    effects.afterSync(() => effects.send(message.fromAddress, reply))
  }

  function handlePreVoteAnswer (message: PreVoteAnswer): void {
    if (core.role !== 'pre-candidate' || message.nextTerm !== core.term + 1 || !message.granted) return
    grantingMembers.add(message.from)
    if (isMajority(core, (member) => grantingMembers.has(member))) beginElection()
  }

  function handleVote (message: Vote): void {
    const canVoteForSender = core.votedFor === null || core.votedFor === message.from
    const grantsVote = message.term === core.term && canVoteForSender && isAtLeastAsUpToDate(message, logEndOf(core))
    if (grantsVote) {
      postponeElection(core)
      if (core.role === 'pre-candidate') core.role = 'follower'
      if (core.votedFor === null) {
        core.votedFor = message.from
        effects.persist({ kind: 'vote', vote: termVoteOf(core) })
      }
    }
    const reply: VoteAnswer = { ...buildAnswerHeader(core, message), kind: 'vote-answer', granted: grantsVote }
    effects.afterSync(() => effects.send(message.fromAddress, reply))
  }

  function handleVoteAnswer (message: VoteAnswer): void {
    if (core.role !== 'candidate' || message.term !== core.term || !message.granted) return
    recordVote(message.from)
  }

  return {
    tick: () => {
      if (core.role !== 'leader' && core.options.clock.now() >= core.electionDueAt) startPreVote()
    },
    startPreVote,
    handlePreVote,
    handlePreVoteAnswer,
    handleVote,
    handleVoteAnswer
  }
}
