import type { Clock } from '../../types/clock.js'
import type { Address } from '../../types/ids.js'
import type { Command, CommandAnswer, ReplicatedState } from '../../types/replicated-state.js'

/** Options of the consensus controller. Times are in milliseconds. */
export interface ConsensusOptions {
  /** Where this member receives messages of other members. */
  ownAddress: Address
  /** Where entry instances and operators reach this member. */
  entryAddress: Address
  /** Addresses of all members, this one included. */
  memberAddresses: readonly Address[]
  /**
   * Addresses besides `memberAddresses` at which other members may be found, as they are known now. Default: none.
   */
  seedAddresses?: () => readonly Address[]
  /** Whether this member may form a cluster when all of `memberAddresses` are empty. Default true. */
  mayForm?: boolean
  /** Whether the leader takes members from addresses that are not in `memberAddresses`. Default false. */
  openMembership?: boolean
  /**
   * Number of voters above which a silent voter is removed, so that a member that is replaced at another address
   * doesn't count for majorities any more. Default: no voter is removed for its silence.
   */
  targetVoters?: number
  /** Silence after which a surplus voter is removed. Default 1500: five election timeouts at the shortest. */
  surplusVoterSilenceMs?: number
  clock: Clock
  /** Clock for the age of a proof of leadership; it must count time in which the machine was suspended. Default: `clock`. */
  proofClock?: Clock
  /** @returns a number from 0 up to and without 1 */
  random: () => number
  /** State before the first entry. */
  initialState: ReplicatedState
  /** The state machine. Must be deterministic and leave its arguments unchanged. */
  apply: (state: ReplicatedState, command: Command) => { state: ReplicatedState, answer: CommandAnswer }
  /** Shortest election timeout. Default 300: four missed heartbeats. */
  electionTimeoutMinMs?: number
  /** Longest election timeout; a leader that heard no majority for this time steps down. Default 600. */
  electionTimeoutMaxMs?: number
  /** Time between heartbeats of the leader. Default 75. */
  heartbeatMs?: number
  /** Time between probes of a member that hears no leader, and after which an unanswered snapshot is sent again. Default 500. */
  probeMs?: number
  /** Time after which a learner that does not answer is removed; it can join again. Default 5000. */
  learnerTimeoutMs?: number
  /** Applied entries after which a snapshot replaces the log. Default 512. */
  snapshotThreshold?: number
  /** Largest number of entries in one append message. Default 64. */
  entriesPerAppend?: number
}

export type ResolvedConsensusOptions = Required<ConsensusOptions>

/** @returns the options with all defaults filled in */
export function resolveConsensusOptions (options: ConsensusOptions): ResolvedConsensusOptions {
  return {
    electionTimeoutMinMs: 300,
    electionTimeoutMaxMs: 600,
    heartbeatMs: 75,
    probeMs: 500,
    learnerTimeoutMs: 5000,
    snapshotThreshold: 512,
    entriesPerAppend: 64,
    proofClock: options.clock,
    seedAddresses: () => [],
    mayForm: true,
    openMembership: false,
    targetVoters: Infinity,
    surplusVoterSilenceMs: 1500,
    ...options
  }
}
