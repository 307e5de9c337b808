import type { Result } from 'neverthrow'
import { err } from 'neverthrow'
import type { FailoverEffect, FailoverMessage, GroupCommand, SentOrder } from '../decisions/failover/failover-message.js'
import type { ControlLog } from '../types/control-log.js'
import type { DatabaseFailure, DatabaseOrders } from '../types/database-connection.js'
import type { DatabaseStatus } from '../types/database-status.js'
import type { LogEvent } from '../types/log-event.js'

/** Carries out one order, by whichever means changes a primary. */
export type GiveOrder = (order: SentOrder) => Promise<Result<DatabaseStatus, DatabaseFailure>>

export interface FailoverEffectsOptions {
  log: ControlLog
  giveOrder: GiveOrder
  logEvent: LogEvent
  /** Takes the outcome of an order or a proposal. */
  deliver: (message: FailoverMessage) => void
}

/** @returns a function that carries out the effects of the failover */
export function createFailoverEffects (options: FailoverEffectsOptions): (effects: readonly FailoverEffect[]) => void {
  const { log, giveOrder, logEvent, deliver } = options

  function runOrder (order: SentOrder): void {
    giveOrder(order).then((result) => {
      if (result.isOk()) deliver({ kind: 'order-answered', order, status: result.value })
      else deliver({ kind: 'order-failed', order, failure: result.error })
    }, (error: unknown) => deliver({ kind: 'order-failed', order, failure: { sqlState: null, message: String(error) } }))
  }

  function runProposal (leaderTerm: number, command: GroupCommand): void {
    log.propose(command).then((result) => {
      if (result.isOk()) deliver({ kind: 'proposal-answered', leaderTerm, command, answer: result.value })
      else deliver({ kind: 'proposal-failed', leaderTerm, command, failure: result.error })
    }, () => deliver({ kind: 'proposal-failed', leaderTerm, command, failure: { kind: 'unknown' } }))
  }

  return (effects) => {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'order': runOrder(effect.order); break
        case 'propose': runProposal(effect.leaderTerm, effect.command); break
        case 'log': logEvent(effect.name, effect.details); break
      }
    }
  }
}

/** @returns a function that gives orders to the databases themselves */
export function giveToDatabases (orders: DatabaseOrders): GiveOrder {
  return (order) => give(orders, order)
}

function give (orders: DatabaseOrders, { address, action }: SentOrder): Promise<Result<DatabaseStatus, DatabaseFailure>> {
  switch (action.kind) {
    case 'status': return orders.status(address)
    case 'fence': return orders.fence(address, action.term)
    case 'promote': return orders.promote(address, action.term)
    case 'unfence': return Promise.resolve(err({ sqlState: null, message: 'a fence of these databases ends with a promotion' }))
    case 'follow': return orders.follow(address, action.term, action.primaryAddress)
  }
}
