import type { FileOperations } from '../adapters/disk/file-operations.js'
import { nodeFileOperations } from '../adapters/disk/file-operations.js'
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
  /** Address at which this member receives messages of other members; one of `memberAddresses`, unless the membership is open. */
  ownAddress: Address
  /** Address at which entry instances and operators reach this member. */
  entryAddress: Address
  /** Addresses of all members, including this one. */
  memberAddresses: readonly Address[]
  /** Options of the consensus controller that differ from their defaults: seeds, formation, open membership, number of voters and times. */
  consensus?: Partial<Pick<ConsensusOptions, 'seedAddresses' | 'canFormCluster' | 'openMembership' | 'targetVoters' | 'confirmationClock' | 'electionTimeoutMinMs' | 'electionTimeoutMaxMs' | 'heartbeatMs'>>
  /** Path of the data folder. */
  dataFolder: string
  transport: ConsensusTransport
  clock: Clock
  /** @returns a number from 0 to less than 1 */
  random: () => number
  logEvent: LogEvent
  /** Number of applied log entries after which a snapshot replaces them. Default 512. */
  snapshotThreshold?: number
  /** Calls the tick of the consensus controller at an interval. Default: a timer of the process. */
  repeat?: Repeat
  /** Functions of the file system. Default: those of the process. */
  files?: FileOperations
  /** Called once when the data folder can't be used any more, as it is damaged or gone; the member has stopped by then. Default: nothing. */
  onFailure?: (failure: StorageFailure) => void
}

export type ResolvedControlLogOptions = Required<ControlLogOptions>

/** @returns the options with all defaults filled in */
export function resolveControlLogOptions (options: ControlLogOptions): ResolvedControlLogOptions {
  return { snapshotThreshold: 512, repeat: repeatByTimer, onFailure: () => {}, consensus: {}, files: nodeFileOperations, ...options }
}
