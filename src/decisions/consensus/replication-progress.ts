import type { Clock, Milliseconds } from '../../types/clock.js'
import type { AppendAnswer } from '../../types/consensus-message.js'
import type { MemberId } from '../../types/ids.js'

/** What a leader knows of one other member. */
export interface MemberProgress {
  /** First entry that the next append carries. */
  nextIndex: number
  /** Last entry that the member has synced. */
  matchIndex: number
  /** Newest heartbeat round that the member answered. */
  ackedRound: number
  /** When the last answer arrived; before the first one, when the leader began to send. */
  heardAt: Milliseconds
  /** Newest round in which the member refused an append. */
  refusedRound: number
  /** When a snapshot was sent that is not answered yet. */
  snapshotSentAt: Milliseconds | null
}

/** Progress of all members in one leadership. */
export interface ReplicationProgress {
  /** @returns the progress of a member, which starts with the next entry of the leader's log */
  of: (member: MemberId) => MemberProgress
  /** Forgets a removed member; it starts anew if it is added again. */
  forget: (member: MemberId) => void
  /**
   * Takes an answer of the leader's own term.
   * @param now - time of its arrival
   * @param lastIndex - last entry of the leader's log
   * @returns whether to send to the member at once, before the next heartbeat
   */
  take: (answer: AppendAnswer, now: Milliseconds, lastIndex: number) => boolean
}

/** @param nextIndex - where replication starts */
export function createReplicationProgress (nextIndex: number, clock: Clock): ReplicationProgress {
  const members = new Map<MemberId, MemberProgress>()

  function of (member: MemberId): MemberProgress {
    const known = members.get(member)
    if (known !== undefined) return known
    const progress: MemberProgress = { nextIndex, matchIndex: 0, ackedRound: 0, refusedRound: 0, heardAt: clock.now(), snapshotSentAt: null }
    members.set(member, progress)
    return progress
  }

  function take (answer: AppendAnswer, now: Milliseconds, lastIndex: number): boolean {
    const progress = of(answer.from)
    progress.heardAt = now
    progress.ackedRound = Math.max(progress.ackedRound, answer.round)
    if (answer.accepted) {
      if (answer.matchIndex >= progress.matchIndex) progress.snapshotSentAt = null
      progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex)
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1)
      return progress.nextIndex <= lastIndex
    }
    // Heartbeats are refused while a snapshot is on its way.
    if (progress.snapshotSentAt !== null) return false
    progress.nextIndex = Math.min(Math.max(answer.nextIndex, progress.matchIndex + 1), lastIndex + 1)
    // Sending at once for every refusal would multiply the messages on a network that repeats them.
    const isFirstOfRound = answer.round > progress.refusedRound
    progress.refusedRound = Math.max(progress.refusedRound, answer.round)
    return isFirstOfRound
  }

  return { of, take, forget: (member) => { members.delete(member) } }
}

/**
 * @param values - one for each voter
 * @returns the largest value that more than half of the values reach; 0 for no values
 */
export function majorityValue (values: readonly number[]): number {
  const descending = [...values].sort((left, right) => right - left)
  return descending[Math.floor(descending.length / 2)] ?? 0
}
