import { createBlackboard } from '../../../src/blackboard/blackboard.js'
import { directoryEntry, freshnessEntry } from '../../../src/blackboard/entry-instance-entries.js'
import type { DispatcherEffect, DispatcherMessage } from '../../../src/decisions/routing/dispatcher-message.js'
import { createRequestDispatcher } from '../../../src/decisions/routing/request-dispatcher.js'
import { addTime, milliseconds } from '../../../src/types/clock.js'
import { address, databaseId, failureDomainId, groupId, incarnationId, instanceId, keyId, requestId, workspaceId, type InstanceId } from '../../../src/types/ids.js'
import type { Outcome } from '../../../src/types/outcome.js'
import type { Execute, Operation } from '../../../src/types/peer-message.js'

export const GROUP = groupId('orders')
export const [SELF, FIRST_HOLDER, SECOND_HOLDER] = ['self', 'holder-1', 'holder-2'].map(instanceId) as [InstanceId, InstanceId, InstanceId]
export const HOLDERS = [FIRST_HOLDER, SECOND_HOLDER]

/** An attempt that was sent to a connection holder. */
export interface SentExecute {
  to: InstanceId
  message: Execute
}

/** Creates a dispatcher with a fake clock, two remote connection holders and a retry budget that the test sets. */
export function createDispatcherHarness () {
  const blackboard = createBlackboard()
  const freshness = blackboard.claim(freshnessEntry, 'test')
  const directory = blackboard.claim(directoryEntry, 'test')
  let now = milliseconds(1000)
  const connected = new Set<InstanceId>(HOLDERS)
  const budget = { retries: 100 }
  const dispatcher = createRequestDispatcher({
    instance: SELF,
    failureDomain: failureDomainId('a'),
    blackboard,
    clock: { now: () => now },
    isConnected: (instance) => connected.has(instance),
    takeRetry: () => budget.retries-- > 0
  })
  const sent: SentExecute[] = []
  const cancelled: string[] = []
  const outcomes = new Map<string, Outcome[]>()
  let nextRequest = 1
  let onSend: (sent: SentExecute) => void = () => {}

  function collect (effects: DispatcherEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'outcome') {
        outcomes.set(effect.requestId, [...(outcomes.get(effect.requestId) ?? []), effect.outcome])
      } else if (effect.message.kind === 'cancel') {
        cancelled.push(effect.message.requestId)
      } else {
        const entry = { to: effect.to, message: effect.message }
        sent.push(entry)
        onSend(entry)
      }
    }
  }

  const send = (message: DispatcherMessage): void => collect(dispatcher.handle(message))

  function setHolders (holders: readonly InstanceId[]): void {
    const instances = [SELF, FIRST_HOLDER, SECOND_HOLDER].map((instance) => ({ instance, incarnation: incarnationId('run'), peerAddress: address('127.0.0.1:1'), failureDomain: failureDomainId('b'), draining: false }))
    directory.write({ version: { leaderTerm: 1, counter: 1 }, instances, groups: [{ group: GROUP, term: 1, primary: databaseId('db'), phase: 'serving', holders: [...holders] }], databases: [] })
  }

  function request (operation: Operation, change: Partial<Execute> = {}): string {
    const id = requestId(`r${nextRequest++}`)
    const message: Execute = { version: 1, kind: 'execute', requestId: id, workspace: workspaceId('shop'), keyId: keyId('k'), group: GROUP, operation, required: null, primaryOnly: false, oldestAgeMs: null, remainingMs: 1000, idempotencyKey: null, nonIdempotent: false, ...change }
    send({ kind: 'request', request: message })
    return id
  }

  function answer ({ to, message }: SentExecute, outcome: Outcome, from = to): void {
    send({ kind: 'answer', from, answer: { version: 1, kind: 'answer', requestId: message.requestId, outcome } })
  }

  function lastSent (): SentExecute {
    const last = sent.at(-1)
    if (last === undefined) throw new Error('nothing was sent')
    return last
  }

  function losePeer (instance: InstanceId): void {
    connected.delete(instance)
    send({ kind: 'peer-lost', instance })
  }

  function advance (durationMs: number): void {
    const end = now + durationMs
    while (now < end) {
      now = addTime(now, Math.min(50, end - now))
      collect(dispatcher.tick())
    }
  }

  freshness.write({ confirmedAt: now, validUntil: milliseconds(1e9), leaderTerm: 1 })
  setHolders(HOLDERS)

  return { dispatcher, freshness, connected, budget, sent, cancelled, outcomes, send, setHolders, request, answer, lastSent, losePeer, advance, onSend: (listener: typeof onSend) => { onSend = listener } }
}

export type DispatcherHarness = ReturnType<typeof createDispatcherHarness>
