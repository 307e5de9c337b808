import type { Result } from 'neverthrow'
import type { Address } from './ids.js'
import type { Command, CommandAnswer, ReplicatedState } from './replicated-state.js'

/**
 * - `not-leader`: nothing was appended
 * - `unknown`: the member lost the leadership before a majority answered; the command may still be committed
 */
export type ControlLogFailure = { kind: 'not-leader', leaderAddress: Address | null } | { kind: 'unknown' }

/** The replicated log, as the other parts of a control instance use it. */
export interface ControlLog {
  isLeader: () => boolean
  /** @returns the address under which entry instances and operators reach the leader; null: unknown */
  leaderAddress: () => Address | null
  /** @returns the current term of the log */
  term: () => number
  /** @returns addresses of the voters in the newest membership that this member knows */
  memberAddresses: () => Address[]
  /** @returns the state derived from all committed entries that this member has applied */
  state: () => ReplicatedState
  /** Appends a command. Resolves after a majority has synced it and this member has applied it. */
  propose: (command: Command) => Promise<Result<CommandAnswer, ControlLogFailure>>
  /** Resolves with the term after a majority has confirmed the leadership in a heartbeat round that began after this call. */
  confirmLeadership: () => Promise<Result<number, ControlLogFailure>>
  /** @returns age of the newest leadership confirmation of this member, in milliseconds; null when it has none */
  provenMsAgo: () => number | null
  /** Calls the listener after each applied command and each change of role or term. */
  onChange: (listener: () => void) => void
}
