import type { ControlLogFailure } from '../../types/control-log.js'
import type { DatabaseFailure } from '../../types/database-connection.js'
import type { DatabaseStatus } from '../../types/database-status.js'
import type { Directory } from '../../types/directory.js'
import type { Address, DatabaseId, GroupId } from '../../types/ids.js'
import type { LogDetails, LogEventName } from '../../types/log-event.js'
import type { Command, CommandAnswer, DatabaseRecord } from '../../types/replicated-state.js'

export type GroupCommand = Extract<Command, { kind: 'begin-election' | 'set-primary' }>

/** What an order tells a database to do. */
export type DatabaseAction =
  | { kind: 'status' }
  /** The database receives nothing more from a primary of a lower term. */
  | { kind: 'fence', term: number }
  /** The database receives from its primary again. */
  | { kind: 'unfence' }
  | { kind: 'promote', term: number }
  | { kind: 'follow', term: number, primaryAddress: Address }

/** An order to one database. The message with its result contains the order, so that a controller recognizes late and repeated results. */
export interface SentOrder {
  group: GroupId
  database: DatabaseId
  address: Address
  /** Term of the leadership in which the order was sent. */
  leaderTerm: number
  sentAt: number
  action: DatabaseAction
}

export type FailoverMessage =
  | { kind: 'order-answered', order: SentOrder, status: DatabaseStatus }
  | { kind: 'order-failed', order: SentOrder, failure: DatabaseFailure }
  | { kind: 'proposal-answered', leaderTerm: number, command: GroupCommand, answer: CommandAnswer }
  | { kind: 'proposal-failed', leaderTerm: number, command: GroupCommand, failure: ControlLogFailure }
  /** The leader sent the directory to the attached instances. */
  | { kind: 'directory-published', directory: Directory }
  /** The registries have recorded a heartbeat, which may report released terms or observations of databases. */
  | { kind: 'heartbeat-arrived' }

export type FailoverEffect =
  | { kind: 'order', order: SentOrder }
  | { kind: 'propose', leaderTerm: number, command: GroupCommand }
  /** Proposes a record of a database. The controller reads the outcome from the replicated state. */
  | { kind: 'record', database: DatabaseRecord }
  | { kind: 'log', name: LogEventName, details: LogDetails }
