import type { Append, AppendAnswer, Resignation, SnapshotTransfer } from '../../types/consensus-message.js'
import type { LogEntry } from '../../types/consensus-entry.js'
import { advanceCommit, installSnapshot } from './committed-entries.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { buildAnswerHeader, postponeElection } from './member-core.js'

/** Handles the log entries and snapshots that a leader sends. */
export interface Follower {
  /**
   * Compares the entry before the new ones with this member's log, appends the missing entries and answers after the sync.
   * @throws Error when an entry differs from a committed one
   */
  handleAppend: (message: Append) => void
  /** Replaces the log and the state, unless this member has already committed as much, and answers after the sync. */
  handleSnapshot: (message: SnapshotTransfer) => void
  /**
   * Forgets the leader if it is the one that resigned, so that this member grants pre-votes from now on.
   * @returns whether this member should start an election at once
   */
  handleResignation: (message: Resignation) => boolean
}

/** @returns the follower part of a member; the caller must already have adopted the term of each message */
export function createFollower (core: MemberCore, effects: EffectQueue): Follower {
  /** Newest term whose leader has resigned. A message of that leader that arrives later must not make it count as active again. */
  let resignedTerm: number | null = null

  function sendAnswer (message: Append | SnapshotTransfer, result: Pick<AppendAnswer, 'accepted' | 'matchIndex' | 'nextIndex'>): void {
    const reply: AppendAnswer = { ...buildAnswerHeader(core, message), kind: 'append-answer', round: message.round, ...result }
    effects.afterSync(() => effects.send(message.fromAddress, reply))
  }

  const sendAccepted = (message: Append | SnapshotTransfer, matchIndex: number): void => {
    sendAnswer(message, { accepted: true, matchIndex, nextIndex: 0 })
  }
  const sendRefused = (message: Append | SnapshotTransfer, nextIndex: number): void => {
    sendAnswer(message, { accepted: false, matchIndex: 0, nextIndex })
  }

  function recordLeader (message: Append | SnapshotTransfer): void {
    const isNewLeader = core.leader?.member !== message.from || core.leader.entryAddress !== message.entryAddress
    core.role = 'follower'
    core.leader = { member: message.from, entryAddress: message.entryAddress }
    core.lastLeaderMessageAt = core.options.clock.now()
    postponeElection(core)
    if (isNewLeader) effects.emit({ kind: 'changed' })
  }

  /** @returns the index from which the leader should continue; skips all entries of the conflicting entry's term */
  function findContinuationIndex (previousIndex: number): number {
    if (previousIndex > core.log.lastIndex()) return core.log.lastIndex() + 1
    const conflictingTerm = core.log.termAt(previousIndex)
    let index = previousIndex
    while (index > core.commitIndex + 1 && core.log.termAt(index - 1) === conflictingTerm) index--
    return index
  }

  function appendMissing (entries: readonly LogEntry[]): void {
    const firstMissing = entries.findIndex((entry) => core.log.termAt(entry.index) !== entry.term)
    if (firstMissing === -1) return
    const missing = entries.slice(firstMissing)
    const firstIndex = missing[0]?.index ?? 0
    if (firstIndex <= core.commitIndex) throw new Error(`the leader sent a conflicting entry at committed index ${firstIndex}`)
    core.log.append(missing)
    effects.persist({ kind: 'entries', entries: missing })
  }

  function handleAppend (message: Append): void {
    if (message.term === resignedTerm) return
    if (message.term < core.term) {
      sendRefused(message, 0)
      return
    }
    recordLeader(message)
    const endIndex = message.previousIndex + message.entries.length
    // Entries that the snapshot covers are committed and therefore equal to the leader's.
    const snapshotIndex = core.log.snapshotIndex()
    if (message.previousIndex >= snapshotIndex && core.log.termAt(message.previousIndex) !== message.previousTerm) {
      sendRefused(message, findContinuationIndex(message.previousIndex))
      return
    }
    appendMissing(message.entries.filter((entry) => entry.index > snapshotIndex))
    advanceCommit(core, effects, Math.min(message.commitIndex, endIndex))
    sendAccepted(message, endIndex)
  }

  function handleSnapshot (message: SnapshotTransfer): void {
    if (message.term === resignedTerm) return
    if (message.term < core.term) {
      sendRefused(message, 0)
      return
    }
    recordLeader(message)
    const { snapshot } = message
    if (snapshot.index > core.commitIndex) {
      installSnapshot(core, effects, snapshot)
      core.commitIndex = snapshot.index
      core.state = snapshot.state
      effects.emit({ kind: 'changed' })
    }
    sendAccepted(message, snapshot.index)
  }

  function handleResignation (message: Resignation): boolean {
    if (message.term !== core.term || core.leader?.member !== message.from) return false
    resignedTerm = message.term
    core.leader = null
    core.lastLeaderMessageAt = null
    postponeElection(core)
    effects.emit({ kind: 'changed' })
    return message.successor === core.self
  }

  return { handleAppend, handleSnapshot, handleResignation }
}
