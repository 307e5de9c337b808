import type { ReleasedTerm } from '../../types/control-message.js'
import type { Controller } from '../../types/controller.js'
import type { ExecutorEffect, ExecutorMessage, RequesterName } from '../../types/executor-message.js'
import type { DatabaseId } from '../../types/ids.js'
import type { Execute } from '../../types/peer-message.js'
import { buildRefusal } from '../../types/result-code.js'
import type { ShareDemand } from '../../types/share.js'
import { createConnectionPool } from '../connections/connection-pool.js'
import { createDurabilityWait } from './durability-wait.js'
import { resolveExecutorOptions, type GroupExecutorOptions, type ResolvedExecutorOptions } from './executor-options.js'
import type { ExecutorParts } from './executor-parts.js'
import { createConnectionTargets } from './connection-targets.js'
import { createGroupView } from './group-view.js'
import { createKeyCheck } from './key-check.js'
import { createOperationCompletion } from './operation-completion.js'
import { createOperationRunner } from './operation-runner.js'
import { createRequestPlacer } from './placement.js'
import { createQueueDispatcher } from './queue-dispatcher.js'
import { createQueueLanes } from './queue-lanes.js'
import { createRequestTable } from './request-table.js'
import { findReleasedTerms } from './released-terms.js'
import { createDemandEstimator } from './demand-estimator.js'
import { createSlotAccounting } from './slot-accounting.js'
import { createTransactionOperations } from './transaction-operations.js'
import { createTransactionTable } from './transaction-table.js'

/**
 * Runs requests on the databases of one group, at an instance that is a connection holder of the group.
 * Call `tick` periodically and after each change of a blackboard entry that the executor reads.
 */
export interface GroupExecutor extends Controller<ExecutorMessage, ExecutorEffect> {
  /** @returns how many slots and connections of each database the executor could use now */
  demand: () => ShareDemand[]
  /**
   * @returns the highest released term of the group: this instance acknowledges no more writes under it; empty when there
   * is none. During a switchover this is the current term, once no write is pending. If the directory returns to `serving`
   * under the same term, that term is no longer released.
   */
  releasedTerms: () => ReleasedTerm[]
  /** @returns the number of requests without an answer plus the number of open transactions */
  countActive: () => number
  /**
   * @returns the number of a database's slots in use; open transactions count as at least one slot.
   * The instance acknowledges a reduced share only when this number fits into it.
   */
  countUsedSlots: (database: DatabaseId) => number
  /** @returns the number of connections to a database that are open or opening */
  countUsedConnections: (database: DatabaseId) => number
}

function createParts (options: ResolvedExecutorOptions, emit: (effect: ExecutorEffect) => void): ExecutorParts {
  const { clock, group, instance } = options
  const view = createGroupView(options)
  const keys = createKeyCheck(view, group)
  const requests = createRequestTable(clock, emit)
  const transactions = createTransactionTable({ instance, clock, createRandomName: options.createRandomName })
  const slots = createSlotAccounting(view, transactions.countAt)
  return {
    options,
    view,
    keys,
    requests,
    slots,
    queue: createQueueLanes(options.createQueue, view, { clock, weightOf: keys.weightOf }),
    runner: createOperationRunner({ clock, slots, maxOperationMs: options.maxOperationMs, emit }),
    pool: createConnectionPool({ group, clock, emit }),
    transactions,
    durability: createDurabilityWait({ clock, view, end: requests.end })
  }
}

export function createGroupExecutor (groupOptions: GroupExecutorOptions): GroupExecutor {
  const options = resolveExecutorOptions(groupOptions)
  let effects: ExecutorEffect[] = []
  const parts = createParts(options, (effect) => { effects.push(effect) })
  const { view, requests, pool, transactions, durability } = parts
  const placer = createRequestPlacer(parts)
  const queueDispatcher = createQueueDispatcher(parts, placer)
  const transactionOperations = createTransactionOperations(parts)
  const completion = createOperationCompletion(parts, transactionOperations)
  const connectionTargets = createConnectionTargets(parts, placer)
  const demandEstimator = createDemandEstimator(parts)

  function drainEffects (): ExecutorEffect[] {
    const taken = effects
    effects = []
    return taken
  }

  // New work would delay the shutdown of a draining instance, and another connection holder can run it.
  function shouldRefuseNewWork (): boolean {
    return view.isDraining() && view.hasOtherHolder()
  }

  function execute (from: RequesterName, request: Execute): void {
    const record = requests.add(from, request)
    if (record === null) return
    const { operation } = request
    if (operation.kind !== 'statement' && operation.kind !== 'begin') {
      transactionOperations.accept(record, operation)
      return
    }
    const refusal = queueDispatcher.findRefusal(request)
    if (refusal !== null) requests.end(record, refusal)
    else if (shouldRefuseNewWork()) requests.end(record, buildRefusal('shuttingDown', 'not-run', 'the instance is shutting down', 0))
    else queueDispatcher.enqueue(record)
  }

  function handleRequesterLoss (from: RequesterName): void {
    for (const record of requests.listByRequester(from)) completion.abandon(record, 'the connection to the requester was lost')
    const orphaned = transactions.all().filter((transaction) => transaction.requester === from)
    for (const transaction of orphaned) transactionOperations.abort(transaction, 'the connection to the requester was lost')
  }

  function cancel (message: Extract<ExecutorMessage, { kind: 'cancel' }>): void {
    const record = requests.find(message.from, message.requestId)
    if (record !== null) completion.abandon(record, 'the request was cancelled')
  }

  function applyMessage (message: ExecutorMessage): void {
    switch (message.kind) {
      case 'execute': execute(message.from, message.request); break
      case 'cancel': cancel(message); break
      case 'requester-lost': handleRequesterLoss(message.from); break
      case 'connection-opened': pool.markOpened(message.connection, message.incarnation); break
      case 'connection-failed': pool.markOpenFailed(message.connection); break
      case 'connection-closed': completion.handleConnectionLoss(message.connection); break
      case 'operation-result': completion.complete(message.connection, message.result); break
    }
  }

  /** Applies changes of the blackboard and the passing of time. Ends work first, so that new work finds the freed slots. */
  function reconcile (): void {
    durability.check()
    transactionOperations.sweep()
    completion.abandonOverdue()
    pool.closeDisallowed(connectionTargets.list())
    transactionOperations.runWaiting()
    queueDispatcher.dispatch()
    pool.openWanted(connectionTargets.list())
  }

  function handle (message: ExecutorMessage): ExecutorEffect[] {
    applyMessage(message)
    reconcile()
    return drainEffects()
  }

  function tick (): ExecutorEffect[] {
    queueDispatcher.expire()
    reconcile()
    demandEstimator.sample()
    return drainEffects()
  }

  return {
    handle,
    tick,
    demand: demandEstimator.demand,
    releasedTerms: () => findReleasedTerms(parts),
    countActive: () => requests.size() + transactions.size(),
    countUsedSlots: parts.slots.countUsed,
    countUsedConnections: pool.count
  }
}
