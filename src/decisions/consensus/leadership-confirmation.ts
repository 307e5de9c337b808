/** Leadership confirmations that wait for a heartbeat round begun after their request. One round serves all requests that came before it. */
export interface LeadershipConfirmation {
  /** Adds a confirmation, which the next round will serve. */
  add: (confirmation: number) => void
  /** Assigns the round that just began to all confirmations without a round. */
  assignRound: (round: number) => void
  /** @returns whether to begin a round now: confirmations are waiting, and none of them has a round yet */
  shouldBeginRound: () => boolean
  /** Removes and returns the confirmations that are served once a majority has answered `round`. */
  drainConfirmed: (round: number) => number[]
  /** Removes and returns all confirmations. */
  drainAll: () => number[]
}

/** @returns an empty set of confirmations for one leadership */
export function createLeadershipConfirmation (): LeadershipConfirmation {
  let pending: { confirmation: number, round: number | null }[] = []

  return {
    add: (confirmation) => { pending.push({ confirmation, round: null }) },
    assignRound: (round) => {
      for (const entry of pending) entry.round ??= round
    },
    shouldBeginRound: () => pending.length > 0 && pending.every((entry) => entry.round === null),
    drainConfirmed: (round) => {
      const isConfirmed = (entry: { round: number | null }): boolean => entry.round !== null && entry.round <= round
      const confirmed = pending.filter(isConfirmed)
      pending = pending.filter((entry) => !isConfirmed(entry))
      return confirmed.map((entry) => entry.confirmation)
    },
    drainAll: () => {
      const all = pending
      pending = []
      return all.map((entry) => entry.confirmation)
    }
  }
}
