import type { PreVote, PreVoteAnswer, Vote, VoteAnswer } from '../../types/consensus-message.js'
import type { MemberId } from '../../types/ids.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { answerHeader, isMajority, logEnd, postponeElection, requestHeader, termVote, voters } from './member-core.js'
import { isAtLeastAsUpToDate } from './replicated-log.js'

/** Asks for votes when no leader is heard, and gives votes. */
export interface Election {
  /** Asks for pre-votes once the election timeout has passed. */
  tick: () => void
  /** Asks for pre-votes at once; without effect for a leader or a member without a vote. */
  stand: () => void
  /** Tells whether the own vote could be had; changes nothing. */
  handlePreVote: (message: PreVote) => void
  /** Begins the election when a majority would give its votes. */
  handlePreVoteAnswer: (message: PreVoteAnswer) => void
  /** Gives at most one vote a term, and answers after the sync. A member also votes if its own log doesn't name it a voter. */
  handleVote: (message: Vote) => void
  /** Counts the vote of a voter. */
  handleVoteAnswer: (message: VoteAnswer) => void
}

/** @param becomeLeader - called once a majority has given its votes */
export function createElection (core: MemberCore, effects: EffectQueue, becomeLeader: () => void): Election {
  let granted = new Set<MemberId>()

  const isVoter = (): boolean => voters(core).some((voter) => voter.member === core.self)
  const others = () => voters(core).filter((voter) => voter.member !== core.self)

  function stand (): void {
    if (core.role === 'leader' || !isVoter()) return
    postponeElection(core)
    if (core.leader !== null) effects.emit({ kind: 'changed' })
    core.role = 'pre-candidate'
    core.leader = null
    granted = new Set([core.self])
    for (const voter of others()) {
      effects.send(voter.address, { ...requestHeader(core, voter.member), ...logEnd(core), kind: 'pre-vote', nextTerm: core.term + 1 })
    }
    if (isMajority(core, (member) => granted.has(member))) beginElection()
  }

  function beginElection (): void {
    core.role = 'candidate'
    core.term++
    core.votedFor = core.self
    granted = new Set()
    postponeElection(core)
    effects.persist({ kind: 'vote', vote: termVote(core) })
    effects.emit({ kind: 'changed' })
    const term = core.term
    effects.afterSync(() => {
      if (core.role === 'candidate' && core.term === term) askForVotes()
    })
  }

  function askForVotes (): void {
    for (const voter of others()) {
      effects.send(voter.address, { ...requestHeader(core, voter.member), ...logEnd(core), kind: 'vote' })
    }
    countVote(core.self)
  }

  function countVote (member: MemberId): void {
    granted.add(member)
    if (isMajority(core, (voter) => granted.has(voter))) becomeLeader()
  }

  /** A member that hears its leader helps nobody to replace it, so a member behind a bad link can't raise the term. */
  function hearsLeader (): boolean {
    if (core.role === 'leader') return true
    if (core.leader === null || core.leaderHeardAt === null) return false
    return core.options.clock.now() - core.leaderHeardAt < core.options.electionTimeoutMinMs
  }

  function handlePreVote (message: PreVote): void {
    const grantsPreVote = message.nextTerm > core.term && !hearsLeader() && isAtLeastAsUpToDate(message, logEnd(core))
    const reply: PreVoteAnswer = { ...answerHeader(core, message), kind: 'pre-vote-answer', nextTerm: message.nextTerm, granted: grantsPreVote }
    // The answer tells the own term, which must be synced like any other promise.
    effects.afterSync(() => effects.send(message.fromAddress, reply))
  }

  function handlePreVoteAnswer (message: PreVoteAnswer): void {
    if (core.role !== 'pre-candidate' || message.nextTerm !== core.term + 1 || !message.granted) return
    granted.add(message.from)
    if (isMajority(core, (member) => granted.has(member))) beginElection()
  }

  function handleVote (message: Vote): void {
    const free = core.votedFor === null || core.votedFor === message.from
    const grantsVote = message.term === core.term && free && isAtLeastAsUpToDate(message, logEnd(core))
    if (grantsVote) {
      postponeElection(core)
      if (core.role === 'pre-candidate') core.role = 'follower'
      if (core.votedFor === null) {
        core.votedFor = message.from
        effects.persist({ kind: 'vote', vote: termVote(core) })
      }
    }
    const reply: VoteAnswer = { ...answerHeader(core, message), kind: 'vote-answer', granted: grantsVote }
    effects.afterSync(() => effects.send(message.fromAddress, reply))
  }

  function handleVoteAnswer (message: VoteAnswer): void {
    if (core.role !== 'candidate' || message.term !== core.term || !message.granted) return
    countVote(message.from)
  }

  return {
    tick: () => {
      if (core.role !== 'leader' && core.options.clock.now() >= core.electionDue) stand()
    },
    stand,
    handlePreVote,
    handlePreVoteAnswer,
    handleVote,
    handleVoteAnswer
  }
}
