import type { Clock } from '../../types/clock.js'
import type { Address } from '../../types/ids.js'
import type { Command, CommandAnswer, ReplicatedState } from '../../types/replicated-state.js'

/** Options of the consensus controller. Times are in milliseconds. */
export interface ConsensusOptions {
  /** Address at which this member receives messages of other members. */
  ownAddress: Address
  /** Address at which entry instances and operators reach this member. */
  entryAddress: Address
  /** Configured addresses of all members, including this one. */
  memberAddresses: readonly Address[]
  /**
   * Current addresses, besides `memberAddresses`, at which other members may be found. Called before each probe. Default: none.
   */
  seedAddresses?: () => readonly Address[]
  /** Whether this member may form a cluster when all of `memberAddresses` are empty. Default true. */
  canFormCluster?: boolean
  /** Whether the leader admits members from addresses that are not in `memberAddresses`. Default false. */
  openMembership?: boolean
  /**
   * Number of voters above which an unresponsive voter is removed. Without the removal, a member that was replaced at
   * another address would still count for majorities. Default: no unresponsive voter is removed.
   */
  targetVoters?: number
  /** Time without an answer after which a surplus voter is removed. Default 1500: five of the shortest election timeouts. */
  surplusVoterTimeoutMs?: number
  clock: Clock
  /** Clock for the age of a leadership confirmation. It must count time during which the process or its host was suspended. Default: `clock`. */
  confirmationClock?: Clock
  /** @returns a number from 0 (inclusive) to 1 (exclusive) */
  random: () => number
  /** State before the first entry. */
  initialState: ReplicatedState
  /** The replicated state machine. Must be deterministic and must not change its arguments. */
  apply: (state: ReplicatedState, command: Command) => { state: ReplicatedState, answer: CommandAnswer }
  /** Shortest election timeout. Default 300: four missed heartbeats. */
  electionTimeoutMinMs?: number
  /** Longest election timeout, after which a leader without answers from a majority steps down. Default 600. */
  electionTimeoutMaxMs?: number
  /** Time between heartbeats of the leader. Default 75. */
  heartbeatMs?: number
  /** Interval between probes of a member that receives nothing from a leader, and the time after which an unanswered snapshot is sent again. Default 500. */
  probeMs?: number
  /** Time after which an unresponsive learner is removed; the learner can request to join again. Default 5000. */
  learnerTimeoutMs?: number
  /** Number of applied entries after which a snapshot replaces them in the log. Default 512. */
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
    confirmationClock: options.clock,
    seedAddresses: () => [],
    canFormCluster: true,
    openMembership: false,
    targetVoters: Infinity,
    surplusVoterTimeoutMs: 1500,
    ...options
  }
}
