import { randomBytes } from 'node:crypto'
import type { Blackboard } from '../blackboard/blackboard.js'
import { createFairRequestQueue } from '../decisions/execution/create-fair-request-queue.js'
import type { GroupExecutor } from '../decisions/execution/group-executor.js'
import { createGroupExecutor } from '../decisions/execution/group-executor.js'
import type { Clock } from '../types/clock.js'
import type { ReleasedTerm } from '../types/control-message.js'
import type { OpenDatabaseConnection } from '../types/database-connection.js'
import type { ExecutorEffect, ExecutorMessage, RequesterName } from '../types/executor-message.js'
import type { DatabaseId, GroupId, InstanceId } from '../types/ids.js'
import type { Answer, Cancel, Execute } from '../types/peer-message.js'
import { buildRefusal } from '../types/result-code.js'
import type { ShareDemand } from '../types/share.js'
import type { Random } from '../utils/create-random.js'
import type { DatabaseConnections } from './database-connections.js'
import { createDatabaseConnections } from './database-connections.js'

const TRANSACTION_ID_BYTES = 12

export interface GroupExecutorsOptions {
  instance: InstanceId
  blackboard: Blackboard
  clock: Clock
  random: Random
  openConnection: OpenDatabaseConnection
  /** Sends an answer to the instance that requested the work, which may be this one. */
  sendAnswer: (to: RequesterName, answer: Answer) => void
  /** Called after the executor of a group was removed: this instance is no longer a connection holder of the group, and its last request for the group has ended. */
  onExecutorRemoved: () => void
}

/** The executors of all groups of which this instance is a connection holder, or still has requests in flight. */
export interface GroupExecutors {
  /** Sets the groups of which this instance is a connection holder. Executors of other groups are removed after their last request has ended. */
  setHeldGroups: (groups: ReadonlySet<GroupId>) => void
  /** Passes a request to the executor of its group, or refuses it when there is none. */
  execute: (from: RequesterName, request: Execute) => void
  /** Cancels a request of the requester, whichever group it belongs to. */
  cancel: (from: RequesterName, message: Cancel) => void
  /** Handles the end of a requester channel: its open transactions are rolled back. */
  handleRequesterLoss: (from: RequesterName) => void
  tick: () => void
  /** @returns demand of all executors for slots and connections */
  demand: () => ShareDemand[]
  /** @returns released terms of all groups, for heartbeats */
  releasedTerms: () => ReleasedTerm[]
  /** @returns requests and transactions that have not ended, over all groups */
  countActive: () => number
  /** @returns the groups that have an executor */
  groups: () => ReadonlySet<GroupId>
  countUsedSlots: (database: DatabaseId) => number
  countUsedConnections: (database: DatabaseId) => number
  /** Closes all database connections at once. Requests in flight get no answer. */
  close: () => void
}

interface RunningExecutor {
  executor: GroupExecutor
  connections: DatabaseConnections
}

/** Creates an empty set of executors. `setHeldGroups` starts them. */
export function createGroupExecutors (options: GroupExecutorsOptions): GroupExecutors {
  const { instance, blackboard, clock, random } = options
  const running = new Map<GroupId, RunningExecutor>()
  let heldGroups: ReadonlySet<GroupId> = new Set()

  function startExecutor (group: GroupId): RunningExecutor {
    const executor = createGroupExecutor({
      group,
      instance,
      blackboard,
      clock,
      createQueue: createFairRequestQueue,
      random,
      createRandomName: () => randomBytes(TRANSACTION_ID_BYTES).toString('base64url')
    })
    const connections = createDatabaseConnections(options.openConnection, (message) => { deliver(group, message) })
    const started = { executor, connections }
    running.set(group, started)
    return started
  }

  function carryOut (connections: DatabaseConnections, effects: ExecutorEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'answer') options.sendAnswer(effect.to, effect.answer)
      else connections.carryOut(effect)
    }
  }

  function deliver (group: GroupId, message: ExecutorMessage): void {
    const target = running.get(group)
    if (target !== undefined) carryOut(target.connections, target.executor.handle(message))
  }

  function tick (): void {
    for (const [group, { executor, connections }] of running) {
      carryOut(connections, executor.tick())
      if (heldGroups.has(group) || executor.countActive() > 0) continue
      connections.closeAll()
      running.delete(group)
      options.onExecutorRemoved()
    }
  }

  function sumOverExecutors (count: (executor: GroupExecutor) => number): number {
    let sum = 0
    for (const { executor } of running.values()) sum += count(executor)
    return sum
  }

  return {
    setHeldGroups: (groups) => {
      heldGroups = groups
      for (const group of groups) {
        if (!running.has(group)) startExecutor(group)
      }
      tick()
    },
    execute: (from, request) => {
      if (running.has(request.group)) {
        deliver(request.group, { kind: 'execute', from, request })
        return
      }
      const outcome = buildRefusal('noHolder', 'not-run', 'the instance is not a connection holder of the group', 0)
      options.sendAnswer(from, { version: 1, kind: 'answer', requestId: request.requestId, outcome })
    },
    cancel: (from, { requestId }) => {
      for (const group of running.keys()) deliver(group, { kind: 'cancel', from, requestId })
    },
    handleRequesterLoss: (from) => {
      for (const group of running.keys()) deliver(group, { kind: 'requester-lost', from })
    },
    tick,
    demand: () => [...running.values()].flatMap(({ executor }) => executor.demand()),
    releasedTerms: () => [...running.values()].flatMap(({ executor }) => executor.releasedTerms()),
    groups: () => new Set(running.keys()),
    countActive: () => sumOverExecutors((executor) => executor.countActive()),
    countUsedSlots: (database) => sumOverExecutors((executor) => executor.countUsedSlots(database)),
    countUsedConnections: (database) => sumOverExecutors((executor) => executor.countUsedConnections(database)),
    close: () => {
      for (const { connections } of running.values()) connections.closeAll()
      running.clear()
    }
  }
}
