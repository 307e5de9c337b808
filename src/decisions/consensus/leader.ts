import { err, ok } from 'neverthrow'
import type { Milliseconds } from '../../types/clock.js'
import type { ControlMember, EntryPayload, LogEntry } from '../../types/consensus-entry.js'
import type { AppendAnswer, Probe } from '../../types/consensus-message.js'
import type { Address, MemberId } from '../../types/ids.js'
import type { Command, CommandAnswer } from '../../types/replicated-state.js'
import { advanceCommit } from './committed-entries.js'
import { createLeadershipConfirmation } from './leadership-confirmation.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { isMajority, postponeElection, requestHeader, voters } from './member-core.js'
import type { JoinRequest, LearnerCondition, MembershipChange } from './membership.js'
import { changeMembers, nextMembershipChange } from './membership.js'
import { createReplicationProgress, majorityValue } from './replication-progress.js'

/** One leadership, from the election to the step-down. */
export interface Leader {
  /** Sends heartbeats, changes the membership and steps down without a majority. */
  tick: () => void
  /**
   * Appends a command.
   * @param proposal - number under which the result is emitted
   */
  propose: (proposal: number, command: Command) => void
  /**
   * Confirms the leadership by a heartbeat round that begins after this call.
   * @param confirmation - number under which the result is emitted
   */
  confirm: (confirmation: number) => void
  /** Takes the progress of a member; answers of other terms and of unknown members are ignored. */
  handleAppendAnswer: (message: AppendAnswer) => void
  /** Takes the request of a member to join, if it is not in the membership. */
  handleProbe: (message: Probe) => void
  /** @returns age of the newest round that a majority answered, in milliseconds; null before the first entry of the term is committed */
  provenMsAgo: () => number | null
  /** Ends the leadership: open proposals become unknown, confirmations are refused. */
  end: (leaderAddress: Address | null) => void
}

/**
 * Starts a leadership of the core's current term: appends its first entry and sends the first heartbeats.
 * @param stepDown - called when no majority was heard for one election timeout
 */
export function createLeader (core: MemberCore, effects: EffectQueue, stepDown: () => void): Leader {
  const { options, term } = { options: core.options, term: core.term }
  const progress = createReplicationProgress(core.log.lastIndex() + 1, core.options.clock)
  const confirmations = createLeadershipConfirmation()
  const proposals = new Map<number, number>()
  const joins = new Map<MemberId, JoinRequest & { askedAt: Milliseconds }>()
  let leadershipIndex = 0
  let syncedIndex = core.log.lastIndex()
  let round = 0
  let roundBeganAt = options.clock.now()
  let ended = false
  /** Begin of each round that no majority has answered yet, and of the newest answered one. */
  const roundStarts = new Map<number, Milliseconds>()
  let provenAt: Milliseconds | null = null

  const peers = (): ControlMember[] => core.log.members().filter((member) => member.member !== core.self)
  const isEstablished = (): boolean => core.commitIndex >= leadershipIndex

  function appendEntry (payload: EntryPayload): number {
    const entry: LogEntry = { index: core.log.lastIndex() + 1, term, payload }
    core.log.append([entry])
    effects.persist({ kind: 'entries', entries: [entry] })
    effects.afterSync(() => {
      if (ended) return
      syncedIndex = entry.index
      commitByCounting()
    })
    return entry.index
  }

  function replicate (): void {
    for (const peer of peers()) replicateTo(peer)
  }

  function replicateTo (peer: ControlMember): void {
    const state = progress.of(peer.member)
    const snapshot = core.log.snapshot()
    if (snapshot !== null && state.nextIndex <= snapshot.index) {
      sendSnapshot(peer)
      sendAppend(peer, snapshot.index, [])
      return
    }
    const entries = core.log.entriesFrom(state.nextIndex, options.entriesPerAppend)
    sendAppend(peer, state.nextIndex - 1, entries)
    // Assumes arrival; a refused heartbeat sets it back.
    state.nextIndex += entries.length
  }

  function sendAppend (peer: ControlMember, previousIndex: number, entries: LogEntry[]): void {
    effects.send(peer.address, {
      ...requestHeader(core, peer.member),
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
    const state = progress.of(peer.member)
    const now = options.clock.now()
    const isOnItsWay = state.snapshotSentAt !== null && now - state.snapshotSentAt < options.probeMs
    if (snapshot === null || isOnItsWay) return
    state.snapshotSentAt = now
    effects.send(peer.address, { ...requestHeader(core, peer.member), kind: 'snapshot', entryAddress: options.entryAddress, round, snapshot })
  }

  function beginRound (): void {
    round++
    roundBeganAt = options.clock.now()
    confirmations.roundBegan(round)
    roundStarts.set(round, options.proofClock.now())
    replicate()
  }

  function settleConfirmations (): void {
    // Before the first entry of this term is committed, entries of earlier terms may be committed and not yet applied here.
    if (!isEstablished()) return
    if (confirmations.needsRound()) beginRound()
    const ackedRounds = voters(core).map((voter) => voter.member === core.self ? round : progress.of(voter.member).ackedRound)
    const answeredRound = majorityValue(ackedRounds)
    noteProof(answeredRound)
    const confirmed = confirmations.takeConfirmed(answeredRound)
    for (const confirmation of confirmed) effects.emit({ kind: 'confirmation-result', confirmation, result: ok(term) })
    if (confirmed.length > 0) settleConfirmations()
  }

  function noteProof (answeredRound: number): void {
    for (const [begun, at] of roundStarts) {
      if (begun > answeredRound) break
      provenAt = at
      roundStarts.delete(begun)
    }
  }

  function commitByCounting (): void {
    const matches = voters(core).map((voter) => voter.member === core.self ? syncedIndex : progress.of(voter.member).matchIndex)
    const index = majorityValue(matches)
    // An entry of an earlier term that a majority holds can still be replaced, so only own entries are counted.
    if (index <= core.commitIndex || core.log.termAt(index) !== term) return
    advanceCommit(core, effects, index, answerProposal)
    replicate()
    changeMembership()
    settleConfirmations()
  }

  function answerProposal (entry: LogEntry, answer: CommandAnswer | null): void {
    const proposal = proposals.get(entry.index)
    if (proposal === undefined || answer === null) return
    proposals.delete(entry.index)
    effects.emit({ kind: 'proposal-result', proposal, result: ok(answer) })
  }

  function conditionOf (member: MemberId): LearnerCondition {
    const { matchIndex, heardAt } = progress.of(member)
    const silentForMs = options.clock.now() - heardAt
    if (silentForMs >= options.learnerTimeoutMs) return 'silent'
    return matchIndex >= core.commitIndex && silentForMs < options.electionTimeoutMinMs ? 'caught-up' : 'behind'
  }

  /** Without the removal, members that were replaced at other addresses would raise the majority until none is left. */
  function surplusVoter (members: readonly ControlMember[]): MembershipChange | null {
    const all = members.filter(({ role }) => role === 'voter')
    if (all.length <= options.targetVoters) return null
    const others = all.filter(({ member }) => member !== core.self)
    const silent = others.filter(({ member }) => options.clock.now() - progress.of(member).heardAt >= options.surplusVoterSilenceMs)
    silent.sort((left, right) => progress.of(left.member).heardAt - progress.of(right.member).heardAt)
    return silent[0] === undefined ? null : { kind: 'remove', member: silent[0] }
  }

  function changeMembership (): void {
    // Two memberships that both lack a commit need not share a majority, and neither need those of two leaders.
    if (!isEstablished() || core.log.membershipIndex() > core.commitIndex) return
    const members = core.log.members()
    const change = nextMembershipChange(members, [...joins.values()], conditionOf) ?? surplusVoter(members)
    const cluster = core.log.cluster()
    if (change === null || cluster === null) return
    appendEntry({ kind: 'membership', cluster, members: changeMembers(members, change) })
    joins.delete(change.member.member)
    if (change.kind === 'remove') progress.forget(change.member.member)
    const event = change.kind === 'remove' ? 'memberRemoved' : 'memberAdded'
    effects.log(event, { member: change.member.member, address: change.member.address, role: change.member.role })
    replicate()
  }

  function forgetOldJoins (now: Milliseconds): void {
    for (const join of joins.values()) {
      if (now - join.askedAt > 2 * options.probeMs) joins.delete(join.member)
    }
  }

  function hearsMajority (now: Milliseconds): boolean {
    return isMajority(core, (member) => {
      return member === core.self || now - progress.of(member).heardAt < options.electionTimeoutMaxMs
    })
  }

  function tick (): void {
    const now = options.clock.now()
    if (!hearsMajority(now)) {
      stepDown()
      return
    }
    forgetOldJoins(now)
    changeMembership()
    if (now - roundBeganAt >= options.heartbeatMs) beginRound()
    settleConfirmations()
  }

  function handleAppendAnswer (message: AppendAnswer): void {
    const peer = peers().find((member) => member.member === message.from)
    if (message.term !== term || peer === undefined) return
    const continuesNow = progress.take(message, options.clock.now(), core.log.lastIndex())
    if (continuesNow) replicateTo(peer)
    commitByCounting()
    settleConfirmations()
  }

  function handleProbe (message: Probe): void {
    const isAllowed = options.openMembership || options.memberAddresses.includes(message.fromAddress)
    const isConfigured = isAllowed && message.fromAddress !== options.ownAddress
    const isForeign = message.cluster !== null && message.cluster !== core.log.cluster()
    const isKnown = core.log.members().some((member) => member.member === message.from)
    if (!isConfigured || isForeign || isKnown) return
    // One request for each address: the folder asked for last is the one in use.
    for (const join of joins.values()) {
      if (join.address === message.fromAddress) joins.delete(join.member)
    }
    joins.set(message.from, { member: message.from, address: message.fromAddress, askedAt: options.clock.now() })
    changeMembership()
  }

  function end (leaderAddress: Address | null): void {
    ended = true
    for (const proposal of proposals.values()) effects.emit({ kind: 'proposal-result', proposal, result: err({ kind: 'unknown' }) })
    for (const confirmation of confirmations.takeAll()) {
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
    provenMsAgo: () => isEstablished() && provenAt !== null ? Math.max(0, options.proofClock.now() - provenAt) : null,
    end
  }
}
