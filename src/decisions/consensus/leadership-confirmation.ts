/** Confirmations that wait for a heartbeat round begun after them. One round serves all that came before it. */
export interface LeadershipConfirmation {
  /** Adds a confirmation, which waits for the next round. */
  add: (confirmation: number) => void
  /** Assigns the round that just began to all confirmations without one. */
  roundBegan: (round: number) => void
  /** @returns whether a round should begin now: some confirmation has none, and no round is being waited for */
  needsRound: () => boolean
  /** Removes and returns the confirmations that a round answered by a majority serves. */
  takeConfirmed: (round: number) => number[]
  /** Removes and returns all confirmations. */
  takeAll: () => number[]
}

/** @returns the confirmations of one leadership; none yet */
export function createLeadershipConfirmation (): LeadershipConfirmation {
  let waiting: { confirmation: number, round: number | null }[] = []

  return {
    add: (confirmation) => { waiting.push({ confirmation, round: null }) },
    roundBegan: (round) => {
      for (const entry of waiting) entry.round ??= round
    },
    needsRound: () => waiting.length > 0 && waiting.every((entry) => entry.round === null),
    takeConfirmed: (round) => {
      const isConfirmed = (entry: { round: number | null }): boolean => entry.round !== null && entry.round <= round
      const confirmed = waiting.filter(isConfirmed)
      waiting = waiting.filter((entry) => !isConfirmed(entry))
      return confirmed.map((entry) => entry.confirmation)
    },
    takeAll: () => {
      const all = waiting
      waiting = []
      return all.map((entry) => entry.confirmation)
    }
  }
}
