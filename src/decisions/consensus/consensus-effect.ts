import type { Result } from 'neverthrow'
import type { ConsensusMessage } from '../../types/consensus-message.js'
import type { ControlLogFailure } from '../../types/control-log.js'
import type { DurableRecord } from '../../types/control-storage.js'
import type { Address } from '../../types/ids.js'
import type { LogDetails, LogEventName } from '../../types/log-event.js'
import type { Command, CommandAnswer } from '../../types/replicated-state.js'

/** Input of the consensus controller. */
export type ConsensusInput =
  | { kind: 'received', message: ConsensusMessage }
  /** The adapter has synced everything up to the persist effect with this sequence number. */
  | { kind: 'persisted', sequence: number }
  /** The adapter can't persist any more. A leader resigns; the caller then drops the controller. */
  | { kind: 'storage-failed' }
  | { kind: 'propose', proposal: number, command: Command }
  | { kind: 'confirm', confirmation: number }

/** Output of the consensus controller, carried out by the adapters. */
export type ConsensusEffect =
  | { kind: 'send', to: Address, message: ConsensusMessage }
  /** The adapter writes records in the order of the sequence numbers and answers with the input `persisted`. */
  | { kind: 'persist', sequence: number, records: DurableRecord[] }
  | { kind: 'proposal-result', proposal: number, result: Result<CommandAnswer, ControlLogFailure> }
  /** The result is the term in which the leadership was confirmed. */
  | { kind: 'confirmation-result', confirmation: number, result: Result<number, ControlLogFailure> }
  /** The role, the term, the known leader or the replicated state changed. */
  | { kind: 'changed' }
  | { kind: 'log', event: LogEventName, details: LogDetails }
