import type { Result } from 'neverthrow'
import { err } from 'neverthrow'
import type { FailoverEffect, FailoverMessage, GroupCommand, SentOrder } from '../decisions/failover/failover-message.js'
import type { ControlLog } from '../types/control-log.js'
import type { DatabaseFailure, DatabaseOrders } from '../types/database-connection.js'
import type { DatabaseStatus } from '../types/database-status.js'
import type { LogEvent } from '../types/log-event.js'
import type { DatabaseRecord } from '../types/replicated-state.js'

/** Executes one order, at the database itself or through the platform that runs it. */
export type ExecuteOrder = (order: SentOrder) => Promise<Result<DatabaseStatus, DatabaseFailure>>

export interface FailoverEffectsOptions {
  log: ControlLog
  executeOrder: ExecuteOrder
  logEvent: LogEvent
  /** Receives the outcome of an order or a proposal. */
  handleOutcome: (message: FailoverMessage) => void
}

/** @returns a function that executes the effects of a failover controller */
export function createFailoverEffects (options: FailoverEffectsOptions): (effects: readonly FailoverEffect[]) => void {
  const { log, executeOrder, logEvent, handleOutcome } = options

  function startOrder (order: SentOrder): void {
    executeOrder(order).then((result) => {
      if (result.isOk()) handleOutcome({ kind: 'order-answered', order, status: result.value })
      else handleOutcome({ kind: 'order-failed', order, failure: result.error })
    }, (error: unknown) => handleOutcome({ kind: 'order-failed', order, failure: { sqlState: null, message: String(error) } }))
  }

  function startProposal (leaderTerm: number, command: GroupCommand): void {
    log.propose(command).then((result) => {
      if (result.isOk()) handleOutcome({ kind: 'proposal-answered', leaderTerm, command, answer: result.value })
      else handleOutcome({ kind: 'proposal-failed', leaderTerm, command, failure: result.error })
    }, () => handleOutcome({ kind: 'proposal-failed', leaderTerm, command, failure: { kind: 'unknown' } }))
  }

  function startRecord (database: DatabaseRecord): void {
    const handleFailure = (reason: string): void => logEvent('databaseRecordFailed', { database: database.database, state: database.state, reason })
    log.propose({ kind: 'record-database', database, superseded: [] }).then((result) => {
      if (result.isErr()) handleFailure(result.error.kind)
    }, (error: unknown) => handleFailure(String(error)))
  }

  return (effects) => {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'order': startOrder(effect.order); break
        case 'propose': startProposal(effect.leaderTerm, effect.command); break
        case 'record': startRecord(effect.database); break
        case 'log': logEvent(effect.name, effect.details); break
      }
    }
  }
}

/** @returns a function that sends each order to its database */
export function executeOnDatabases (orders: DatabaseOrders): ExecuteOrder {
  return (order) => sendOrder(orders, order)
}

function sendOrder (orders: DatabaseOrders, { address, action }: SentOrder): Promise<Result<DatabaseStatus, DatabaseFailure>> {
  switch (action.kind) {
    case 'status': return orders.status(address)
    case 'fence': return orders.fence(address, action.term)
    case 'promote': return orders.promote(address, action.term)
    case 'unfence': return Promise.resolve(err({ sqlState: null, message: 'unfence is not supported: only a promotion ends a fence of this database' }))
    case 'follow': return orders.follow(address, action.term, action.primaryAddress)
  }
}
