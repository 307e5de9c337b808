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
import { refuse } from '../types/result-code.js'
import type { ShareDemand } from '../types/share.js'
import type { Random } from '../utils/create-random.js'
import type { DatabaseConnections } from './database-connections.js'
import { createDatabaseConnections } from './database-connections.js'

const TRANSACTION_NAME_BYTES = 12

export interface GroupExecutorsOptions {
  instance: InstanceId
  blackboard: Blackboard
  clock: Clock
  random: Random
  openConnection: OpenDatabaseConnection
  sendAnswer: (to: RequesterName, answer: Answer) => void
  /** The executor of a group that is not held any more ended. */
  onEnded: () => void
}

/** The executors of all groups that this instance holds or still finishes work of. */
export interface GroupExecutors {
  /** Keeps executors of these groups; others end once their last request has ended. */
  setGroups: (groups: ReadonlySet<GroupId>) => void
  execute: (from: RequesterName, request: Execute) => void
  cancel: (from: RequesterName, message: Cancel) => void
  loseRequester: (from: RequesterName) => void
  tick: () => void
  demand: () => ShareDemand[]
  releasedTerms: () => ReleasedTerm[]
  activeCount: () => number
  /** @returns groups with an executor: those held, and those with work that has not ended */
  groups: () => ReadonlySet<GroupId>
  usedSlots: (database: DatabaseId) => number
  usedConnections: (database: DatabaseId) => number
  close: () => void
}

interface RunningExecutor {
  executor: GroupExecutor
  connections: DatabaseConnections
}

export function createGroupExecutors (options: GroupExecutorsOptions): GroupExecutors {
  const { instance, blackboard, clock, random } = options
  const running = new Map<GroupId, RunningExecutor>()
  let held: ReadonlySet<GroupId> = new Set()

  function start (group: GroupId): RunningExecutor {
    const executor = createGroupExecutor({
      group,
      instance,
      blackboard,
      clock,
      createQueue: createFairRequestQueue,
      random,
      createRandomName: () => randomBytes(TRANSACTION_NAME_BYTES).toString('base64url')
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
    const known = running.get(group)
    if (known !== undefined) carryOut(known.connections, known.executor.handle(message))
  }

  function tick (): void {
    for (const [group, { executor, connections }] of running) {
      carryOut(connections, executor.tick())
      if (held.has(group) || executor.countActive() > 0) continue
      connections.closeAll()
      running.delete(group)
      options.onEnded()
    }
  }

  function sumOf (count: (executor: GroupExecutor) => number): number {
    let sum = 0
    for (const { executor } of running.values()) sum += count(executor)
    return sum
  }

  return {
    setGroups: (groups) => {
      held = groups
      for (const group of groups) {
        if (!running.has(group)) start(group)
      }
      tick()
    },
    execute: (from, request) => {
      if (running.has(request.group)) {
        deliver(request.group, { kind: 'execute', from, request })
        return
      }
      const outcome = refuse('noHolder', 'not-run', 'the instance is not a holder of the group', 0)
      options.sendAnswer(from, { version: 1, kind: 'answer', requestId: request.requestId, outcome })
    },
    cancel: (from, { requestId }) => {
      for (const group of running.keys()) deliver(group, { kind: 'cancel', from, requestId })
    },
    loseRequester: (from) => {
      for (const group of running.keys()) deliver(group, { kind: 'requester-lost', from })
    },
    tick,
    demand: () => [...running.values()].flatMap(({ executor }) => executor.demand()),
    releasedTerms: () => [...running.values()].flatMap(({ executor }) => executor.releasedTerms()),
    groups: () => new Set(running.keys()),
    activeCount: () => sumOf((executor) => executor.countActive()),
    usedSlots: (database) => sumOf((executor) => executor.countUsedSlots(database)),
    usedConnections: (database) => sumOf((executor) => executor.countUsedConnections(database)),
    close: () => {
      for (const { connections } of running.values()) connections.closeAll()
      running.clear()
    }
  }
}
