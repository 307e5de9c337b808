import type { Append, AppendAnswer, SnapshotTransfer } from '../../types/consensus-message.js'
import type { LogEntry } from '../../types/consensus-entry.js'
import { advanceCommit, installSnapshot } from './committed-entries.js'
import type { EffectQueue, MemberCore } from './member-core.js'
import { answerHeader, postponeElection } from './member-core.js'

/** Takes entries and snapshots of the leader. */
export interface Follower {
  /**
   * Compares the entry before the new ones with the own log, stores what is missing and answers after the sync.
   * @throws Error when the leader contradicts a committed entry
   */
  handleAppend: (message: Append) => void
  /** Replaces the log and the state, unless they are as new as the snapshot, and answers after the sync. */
  handleSnapshot: (message: SnapshotTransfer) => void
}

/** @returns the part of a member that follows leaders; the caller has taken over the term of each message */
export function createFollower (core: MemberCore, effects: EffectQueue): Follower {
  function answer (message: Append | SnapshotTransfer, result: Pick<AppendAnswer, 'accepted' | 'matchIndex' | 'nextIndex'>): void {
    const reply: AppendAnswer = { ...answerHeader(core, message), kind: 'append-answer', round: message.round, ...result }
    effects.afterSync(() => effects.send(message.fromAddress, reply))
  }

  const accept = (message: Append | SnapshotTransfer, matchIndex: number): void => {
    answer(message, { accepted: true, matchIndex, nextIndex: 0 })
  }
  const refuse = (message: Append | SnapshotTransfer, nextIndex: number): void => {
    answer(message, { accepted: false, matchIndex: 0, nextIndex })
  }

  function followSender (message: Append | SnapshotTransfer): void {
    const changed = core.leader?.member !== message.from || core.leader.entryAddress !== message.entryAddress
    core.role = 'follower'
    core.leader = { member: message.from, entryAddress: message.entryAddress }
    core.leaderHeardAt = core.options.clock.now()
    postponeElection(core)
    if (changed) effects.emit({ kind: 'changed' })
  }

  /** @returns the index from which the leader should continue, skipping the whole term of the conflicting entry */
  function continueAt (previousIndex: number): number {
    if (previousIndex > core.log.lastIndex()) return core.log.lastIndex() + 1
    const conflictingTerm = core.log.termAt(previousIndex)
    let index = previousIndex
    while (index > core.commitIndex + 1 && core.log.termAt(index - 1) === conflictingTerm) index--
    return index
  }

  function storeMissing (entries: readonly LogEntry[]): void {
    const firstMissing = entries.findIndex((entry) => core.log.termAt(entry.index) !== entry.term)
    if (firstMissing === -1) return
    const missing = entries.slice(firstMissing)
    const firstIndex = missing[0]?.index ?? 0
    if (firstIndex <= core.commitIndex) throw new Error(`the leader contradicts committed entry ${firstIndex}`)
    core.log.append(missing)
    effects.persist({ kind: 'entries', entries: missing })
  }

  function handleAppend (message: Append): void {
    if (message.term < core.term) {
      refuse(message, 0)
      return
    }
    followSender(message)
    const endIndex = message.previousIndex + message.entries.length
    // Entries under the snapshot are committed and therefore equal to the leader's.
    const snapshotIndex = core.log.snapshotIndex()
    if (message.previousIndex >= snapshotIndex && core.log.termAt(message.previousIndex) !== message.previousTerm) {
      refuse(message, continueAt(message.previousIndex))
      return
    }
    storeMissing(message.entries.filter((entry) => entry.index > snapshotIndex))
    advanceCommit(core, effects, Math.min(message.commitIndex, endIndex))
    accept(message, endIndex)
  }

  function handleSnapshot (message: SnapshotTransfer): void {
    if (message.term < core.term) {
      refuse(message, 0)
      return
    }
    followSender(message)
    const { snapshot } = message
    if (snapshot.index > core.commitIndex) {
      installSnapshot(core, effects, snapshot)
      core.commitIndex = snapshot.index
      core.state = snapshot.state
      effects.emit({ kind: 'changed' })
    }
    accept(message, snapshot.index)
  }

  return { handleAppend, handleSnapshot }
}
