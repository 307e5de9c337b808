import type { Clock, Milliseconds } from '../../types/clock.js'
import type { AppendAnswer } from '../../types/consensus-message.js'
import type { MemberId } from '../../types/ids.js'

/** What a leader knows about the log of one other member. */
export interface MemberProgress {
  /** First entry that the next append message carries. */
  nextIndex: number
  /** Last entry that the member is known to have synced. */
  matchIndex: number
  /** Newest heartbeat round that the member has answered. */
  acknowledgedRound: number
  /** When the leader received the member's last answer; before the first answer, when this progress was created. */
  lastAnswerAt: Milliseconds
  /** Newest round in which the member refused an append message. */
  refusedRound: number
  /** When the leader sent a snapshot that the member has not answered yet; null: none is in flight. */
  snapshotSentAt: Milliseconds | null
}

/** Progress of all other members during one leadership. */
export interface ControlLogProgress {
  /** @returns the progress of a member; a member without progress gets a new one, which starts at the first entry of this leadership */
  findOrCreate: (member: MemberId) => MemberProgress
  /** Removes the progress of a removed member. A member that is added again starts with new progress. */
  remove: (member: MemberId) => void
  /**
   * Records an answer of the leader's own term.
   * @param now - when the answer was received
   * @param lastIndex - last entry of the leader's log
   * @returns whether to send to the member at once instead of at the next heartbeat
   */
  recordAnswer: (answer: AppendAnswer, now: Milliseconds, lastIndex: number) => boolean
}

/**
 * Creates the record of how far each other member has replicated the control log, kept by the leader.
 * @param nextIndex - first log entry to send to a member without progress
 */
export function createControlLogProgress (nextIndex: number, clock: Clock): ControlLogProgress {
  const members = new Map<MemberId, MemberProgress>()

  function findOrCreate (member: MemberId): MemberProgress {
    const existing = members.get(member)
    if (existing !== undefined) return existing
    const progress: MemberProgress = { nextIndex, matchIndex: 0, acknowledgedRound: 0, refusedRound: 0, lastAnswerAt: clock.now(), snapshotSentAt: null }
    members.set(member, progress)
    return progress
  }

  function recordAnswer (answer: AppendAnswer, now: Milliseconds, lastIndex: number): boolean {
    const progress = findOrCreate(answer.from)
    progress.lastAnswerAt = now
    progress.acknowledgedRound = Math.max(progress.acknowledgedRound, answer.round)
    if (answer.accepted) {
      if (answer.matchIndex >= progress.matchIndex) progress.snapshotSentAt = null
      progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex)
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1)
      return progress.nextIndex <= lastIndex
    }
    // A member refuses heartbeats while a snapshot is in flight to it.
    if (progress.snapshotSentAt !== null) return false
    progress.nextIndex = Math.min(Math.max(answer.nextIndex, progress.matchIndex + 1), lastIndex + 1)
    // If the leader answered every refusal at once, a network that duplicates messages would multiply them. So it answers only the first of a round.
    const isFirstOfRound = answer.round > progress.refusedRound
    progress.refusedRound = Math.max(progress.refusedRound, answer.round)
    return isFirstOfRound
  }

  return { findOrCreate, recordAnswer, remove: (member) => { members.delete(member) } }
}

/**
 * @param values - one value per voter
 * @returns the largest value that more than half of the voters reach; 0 without values
 */
export function findMajorityValue (values: readonly number[]): number {
  const descending = [...values].sort((left, right) => right - left)
  return descending[Math.floor(descending.length / 2)] ?? 0
}
