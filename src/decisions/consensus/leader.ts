import { err, ok } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import type { ControlMember, EntryPayload, LogEntry } from '../../types/consensus-entry.js'
import type { AppendAnswer, Probe } from '../../types/consensus-message.js'
import type { Address, MemberId } from '../../types/ids.js'
import type { Command, CommandAnswer } from '../../types/replicated-state.js'
import { advanceCommit } from './committed-entries.js'
import { createLeadershipConfirmation } from './leadership-confirmation.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { buildRequestHeader, isMajority, postponeElection, votersOf } from './member-core.js'
import type { JoinRequest, LearnerCondition, MembershipChange } from './membership.js'
import { applyMembershipChange, selectMembershipChange } from './membership.js'
import { createControlLogProgress, findMajorityValue } from './replication-progress.js'

/** One leadership, from the won election to the step-down. */
export interface Leader {
  /** Sends heartbeats, changes the membership, and steps down when no majority answers. */
  tick: () => void
  /**
   * Appends a command to the log.
   * @param proposal - number that identifies the result effect
   */
  propose: (proposal: number, command: Command) => void
  /**
   * Confirms the leadership through a heartbeat round that begins after this call.
   * @param confirmation - number that identifies the result effect
   */
  confirm: (confirmation: number) => void
  /** Records the progress of a member; answers of other terms and of unknown members are ignored. */
  handleAppendAnswer: (message: AppendAnswer) => void
  /** Records the request of a member to join, unless the member is already in the membership. */
  handleProbe: (message: Probe) => void
  /**
   * @returns age of the newest leadership confirmation in milliseconds, counted from the start of its round.
   * Null until a majority has answered a round and the first entry of the term is committed.
   */
  provenMsAgo: () => number | null
  /** Asks the voter that holds the most entries to start an election. The caller ends the leadership. */
  resign: () => void
  /** Ends the leadership: pending proposals end as `unknown`, pending confirmations as `not-leader`. */
  end: (leaderAddress: Address | null) => void
}

/**
 * Starts a leadership in the core's current term: appends its first entry and sends the first heartbeats.
 * @param stepDown - called when no majority has answered for the longest election timeout
 */
export function createLeader (core: MemberCore, effects: EffectQueue, stepDown: () => void): Leader {
  const { options, term } = { options: core.options, term: core.term }
  const progress = createControlLogProgress(core.log.lastIndex() + 1, core.options.clock)
  const confirmations = createLeadershipConfirmation()
  /** Number of each pending proposal, by the index of its log entry. */
  const proposals = new Map<number, number>()
  const joinRequests = new Map<MemberId, JoinRequest & { requestedAt: Milliseconds }>()
  let leadershipIndex = 0
  let syncedIndex = core.log.lastIndex()
  let round = 0
  let roundBeganAt = options.clock.now()
  let hasEnded = false
  /** Start time of each round that no majority has answered yet. */
  const roundStartTimes = new Map<number, Milliseconds>()
  let confirmedAt: Milliseconds | null = null

  const peers = (): ControlMember[] => core.log.members().filter((member) => member.member !== core.self)
  const isEstablished = (): boolean => core.commitIndex >= leadershipIndex

  function appendEntry (payload: EntryPayload): number {
    const entry: LogEntry = { index: core.log.lastIndex() + 1, term, payload }
    core.log.append([entry])
    effects.persist({ kind: 'entries', entries: [entry] })
    effects.afterSync(() => {
      if (hasEnded) return
      syncedIndex = entry.index
      commitMajorityEntries()
    })
    return entry.index
  }

  function replicate (): void {
    for (const peer of peers()) replicateTo(peer)
  }

  function replicateTo (peer: ControlMember): void {
    const peerProgress = progress.findOrCreate(peer.member)
    const snapshot = core.log.snapshot()
    if (snapshot !== null && peerProgress.nextIndex <= snapshot.index) {
      sendSnapshot(peer)
      sendAppend(peer, snapshot.index, [])
      return
    }
    const entries = core.log.entriesFrom(peerProgress.nextIndex, options.entriesPerAppend)
    sendAppend(peer, peerProgress.nextIndex - 1, entries)
    // Assumes that the entries arrive. If they do not, the member refuses the next heartbeat, and its answer sets `nextIndex` back.
    peerProgress.nextIndex += entries.length
  }

  function sendAppend (peer: ControlMember, previousIndex: number, entries: LogEntry[]): void {
    effects.send(peer.address, {
      ...buildRequestHeader(core, peer.member),
      kind: 'append',
      entryAddress: options.entryAddress,
      round,
      previousIndex,
      previousTerm: core.log.termAt(previousIndex) ?? 0,
      entries,
      commitIndex: core.commitIndex
    })
  }

  function sendSnapshot (peer: ControlMember): void {
    const snapshot = core.log.snapshot()
    const peerProgress = progress.findOrCreate(peer.member)
    const now = options.clock.now()
    const isInFlight = peerProgress.snapshotSentAt !== null && now - peerProgress.snapshotSentAt < options.probeMs
    if (snapshot === null || isInFlight) return
    peerProgress.snapshotSentAt = now
    effects.send(peer.address, { ...buildRequestHeader(core, peer.member), kind: 'snapshot', entryAddress: options.entryAddress, round, snapshot })
  }

  function beginRound (): void {
    round++
    roundBeganAt = options.clock.now()
    confirmations.assignRound(round)
    roundStartTimes.set(round, options.confirmationClock.now())
    replicate()
  }

  function settleConfirmations (): void {
    // Until the first entry of this term is committed, entries of earlier terms may be committed that this member has not applied yet.
    if (!isEstablished()) return
    if (confirmations.shouldBeginRound()) beginRound()
    const acknowledgedRounds = votersOf(core).map((voter) => voter.member === core.self ? round : progress.findOrCreate(voter.member).acknowledgedRound)
    const answeredRound = findMajorityValue(acknowledgedRounds)
    recordConfirmation(answeredRound)
    const confirmed = confirmations.drainConfirmed(answeredRound)
    for (const confirmation of confirmed) effects.emit({ kind: 'confirmation-result', confirmation, result: ok(term) })
    if (confirmed.length > 0) settleConfirmations()
  }

  function recordConfirmation (answeredRound: number): void {
    for (const [startedRound, startTime] of roundStartTimes) {
      if (startedRound > answeredRound) break
      confirmedAt = startTime
      roundStartTimes.delete(startedRound)
    }
  }

  function commitMajorityEntries (): void {
    const matchIndexes = votersOf(core).map((voter) => voter.member === core.self ? syncedIndex : progress.findOrCreate(voter.member).matchIndex)
    const index = findMajorityValue(matchIndexes)
    // A later leader may still replace an entry of an earlier term that a majority holds, so only entries of this term are counted.
    if (index <= core.commitIndex || core.log.termAt(index) !== term) return
    advanceCommit(core, effects, index, resolveProposal)
    replicate()
    changeMembership()
    settleConfirmations()
  }

  function resolveProposal (entry: LogEntry, answer: CommandAnswer | null): void {
    const proposal = proposals.get(entry.index)
    if (proposal === undefined || answer === null) return
    proposals.delete(entry.index)
    effects.emit({ kind: 'proposal-result', proposal, result: ok(answer) })
  }

  function learnerConditionOf (member: MemberId): LearnerCondition {
    const { matchIndex, lastAnswerAt } = progress.findOrCreate(member)
    const sinceAnswerMs = options.clock.now() - lastAnswerAt
    if (sinceAnswerMs >= options.learnerTimeoutMs) return 'silent'
    return matchIndex >= core.commitIndex && sinceAnswerMs < options.electionTimeoutMinMs ? 'caught-up' : 'behind'
  }

  /** Selects a surplus voter that no longer answers. Otherwise voters that were replaced at other addresses would raise the required majority until too few voters run. */
  function selectSurplusVoterRemoval (members: readonly ControlMember[]): MembershipChange | null {
    const currentVoters = members.filter(({ role }) => role === 'voter')
    if (currentVoters.length <= options.targetVoters) return null
    const others = currentVoters.filter(({ member }) => member !== core.self)
    const unresponsive = others.filter(({ member }) => options.clock.now() - progress.findOrCreate(member).lastAnswerAt >= options.surplusVoterTimeoutMs)
    unresponsive.sort((left, right) => progress.findOrCreate(left.member).lastAnswerAt - progress.findOrCreate(right.member).lastAnswerAt)
    return unresponsive[0] === undefined ? null : { kind: 'remove', member: unresponsive[0] }
  }

  function changeMembership (): void {
    // Majorities of two uncommitted memberships, or of uncommitted memberships of two leaders, need not overlap.
    // So a change waits until the previous one and this leader's first entry are committed.
    if (!isEstablished() || core.log.membershipIndex() > core.commitIndex) return
    const members = core.log.members()
    const change = selectMembershipChange(members, [...joinRequests.values()], learnerConditionOf) ?? selectSurplusVoterRemoval(members)
    const cluster = core.log.cluster()
    if (change === null || cluster === null) return
    appendEntry({ kind: 'membership', cluster, members: applyMembershipChange(members, change) })
    joinRequests.delete(change.member.member)
    if (change.kind === 'remove') progress.remove(change.member.member)
    const event = change.kind === 'remove' ? 'memberRemoved' : 'memberAdded'
    effects.log(event, { member: change.member.member, address: change.member.address, role: change.member.role })
    replicate()
  }

  function removeExpiredJoinRequests (now: Milliseconds): void {
    for (const join of joinRequests.values()) {
      if (now - join.requestedAt > 2 * options.probeMs) joinRequests.delete(join.member)
    }
  }

  function isMajorityResponsive (now: Milliseconds): boolean {
    return isMajority(core, (member) => {
      return member === core.self || now - progress.findOrCreate(member).lastAnswerAt < options.electionTimeoutMaxMs
    })
  }

  function tick (): void {
    const now = options.clock.now()
    if (!isMajorityResponsive(now)) {
      stepDown()
      return
    }
    removeExpiredJoinRequests(now)
    changeMembership()
    if (now - roundBeganAt >= options.heartbeatMs) beginRound()
    settleConfirmations()
  }

  function handleAppendAnswer (message: AppendAnswer): void {
    const peer = peers().find((member) => member.member === message.from)
    if (message.term !== term || peer === undefined) return
    const shouldSendNow = progress.recordAnswer(message, options.clock.now(), core.log.lastIndex())
    if (shouldSendNow) replicateTo(peer)
    commitMajorityEntries()
    settleConfirmations()
  }

  function handleProbe (message: Probe): void {
    const isAllowed = options.openMembership || options.memberAddresses.includes(message.fromAddress)
    const isEligible = isAllowed && message.fromAddress !== options.ownAddress
    const isForeign = message.cluster !== null && message.cluster !== core.log.cluster()
    const isKnown = core.log.members().some((member) => member.member === message.from)
    if (!isEligible || isForeign || isKnown) return
    // Keeps one request per address. The latest probe comes from the member whose folder is in use at that address.
    for (const join of joinRequests.values()) {
      if (join.address === message.fromAddress) joinRequests.delete(join.member)
    }
    joinRequests.set(message.from, { member: message.from, address: message.fromAddress, requestedAt: options.clock.now() })
    changeMembership()
  }

  function resign (): void {
    const voters = peers().filter(({ role }) => role === 'voter').map((peer) => ({ peer, ...progress.findOrCreate(peer.member) }))
    voters.sort((left, right) => right.matchIndex - left.matchIndex || right.lastAnswerAt - left.lastAnswerAt)
    const successor = voters[0]?.peer.member
    if (successor === undefined) return
    for (const peer of peers()) effects.send(peer.address, { ...buildRequestHeader(core, peer.member), kind: 'resignation', successor })
  }

  function end (leaderAddress: Address | null): void {
    hasEnded = true
    for (const proposal of proposals.values()) effects.emit({ kind: 'proposal-result', proposal, result: err({ kind: 'unknown' }) })
    for (const confirmation of confirmations.drainAll()) {
      effects.emit({ kind: 'confirmation-result', confirmation, result: err({ kind: 'not-leader', leaderAddress }) })
    }
    postponeElection(core)
  }

  leadershipIndex = appendEntry({ kind: 'leadership' })
  beginRound()

  return {
    tick,
    propose: (proposal, command) => {
      proposals.set(appendEntry({ kind: 'command', command }), proposal)
      replicate()
    },
    confirm: (confirmation) => {
      confirmations.add(confirmation)
      settleConfirmations()
    },
    handleAppendAnswer,
    handleProbe,
    resign,
    provenMsAgo: () => isEstablished() && confirmedAt !== null ? Math.max(0, options.confirmationClock.now() - confirmedAt) : null,
    end
  }
}
