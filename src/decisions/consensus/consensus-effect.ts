import type { Result } from 'neverthrow'
import type { ConsensusMessage } from '../../types/consensus-message.js'
import type { ControlLogFailure } from '../../types/control-log.js'
import type { DurableRecord } from '../../types/control-storage.js'
import type { Address } from '../../types/ids.js'
import type { LogDetails, LogEventName } from '../../types/log-event.js'
import type { Command, CommandAnswer } from '../../types/replicated-state.js'

/** What the consensus controller takes. */
export type ConsensusInput =
  | { kind: 'received', message: ConsensusMessage }
  /** Everything up to the persist effect with this sequence number was synced. */
  | { kind: 'persisted', sequence: number }
  | { kind: 'propose', proposal: number, command: Command }
  | { kind: 'confirm', confirmation: number }

/** What the consensus controller asks of the adapters. */
export type ConsensusEffect =
  | { kind: 'send', to: Address, message: ConsensusMessage }
  /** Answered by `persisted`. Records are written in the order of the sequence numbers. */
  | { kind: 'persist', sequence: number, records: DurableRecord[] }
  | { kind: 'proposal-result', proposal: number, result: Result<CommandAnswer, ControlLogFailure> }
  /** The value is the confirmed term. */
  | { kind: 'confirmation-result', confirmation: number, result: Result<number, ControlLogFailure> }
  /** The role, the term, the leader or the state changed. */
  | { kind: 'changed' }
  | { kind: 'log', event: LogEventName, details: LogDetails }
