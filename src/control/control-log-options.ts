import { repeatByTimer } from '../adapters/timers/repeat-by-timer.js'
import type { ConsensusOptions } from '../decisions/consensus/consensus-options.js'
import type { Clock } from '../types/clock.js'
import type { ConsensusTransport } from '../types/consensus-message.js'
import type { StorageFailure } from '../types/control-storage.js'
import type { Address } from '../types/ids.js'
import type { LogEvent } from '../types/log-event.js'
import type { Repeat } from '../types/repeat.js'

/** Options of the replicated log of one control member. */
export interface ControlLogOptions {
  /** Where this member receives messages of other members; one of `memberAddresses`. */
  ownAddress: Address
  /** Where entry instances and operators reach this member. */
  entryAddress: Address
  /** Addresses of all members, this one included. */
  memberAddresses: readonly Address[]
  /** See the options of the consensus controller: seeds, formation, open membership, number of voters and times. */
  consensus?: Partial<Pick<ConsensusOptions, 'seedAddresses' | 'mayForm' | 'openMembership' | 'targetVoters' | 'proofClock' | 'electionTimeoutMinMs' | 'electionTimeoutMaxMs' | 'heartbeatMs'>>
  /** Path of the data folder. */
  dataFolder: string
  transport: ConsensusTransport
  clock: Clock
  /** @returns a number from 0 up to and without 1 */
  random: () => number
  logEvent: LogEvent
  /** Applied entries after which a snapshot replaces the log. Default 512. */
  snapshotThreshold?: number
  /** Calls the controller's tick. Default: a timer of the process. */
  repeat?: Repeat
  /** Called once when the data folder can't be written any more; the member has stopped by then. Default: nothing. */
  onFailure?: (failure: StorageFailure) => void
}

export type ResolvedControlLogOptions = Required<ControlLogOptions>

/** @returns the options with all defaults filled in */
export function resolveControlLogOptions (options: ControlLogOptions): ResolvedControlLogOptions {
  return { snapshotThreshold: 512, repeat: repeatByTimer, onFailure: () => {}, consensus: {}, ...options }
}
