import type { Result } from 'neverthrow'
import type { Address } from './ids.js'
import type { Command, CommandAnswer, ReplicatedState } from './replicated-state.js'

/**
 * - `not-leader`: nothing was appended
 * - `unknown`: leadership was lost before a majority answered; the command may still be committed
 */
export type ControlLogFailure = { kind: 'not-leader', leaderAddress: Address | null } | { kind: 'unknown' }

/** The replicated log as the rest of a control instance sees it. */
export interface ControlLog {
  isLeader: () => boolean
  /** @returns the address of the leader for entry instances and operators, if known */
  leaderAddress: () => Address | null
  /** @returns the current term of the log */
  term: () => number
  /** @returns addresses of the voters, by the newest membership known here */
  memberAddresses: () => Address[]
  /** @returns state derived from all committed entries that were applied here */
  state: () => ReplicatedState
  /** Appends a command; resolves after a majority has synced it and it was applied here. */
  propose: (command: Command) => Promise<Result<CommandAnswer, ControlLogFailure>>
  /** Resolves after a majority confirmed the leadership in a round begun after this call; the value is the term. */
  confirmLeadership: () => Promise<Result<number, ControlLogFailure>>
  /** @returns age of the newest proof that this member leads, in milliseconds; null when it has none */
  provenMsAgo: () => number | null
  /** Calls the listener after each applied command and each change of role or term. */
  onChange: (listener: () => void) => void
}
