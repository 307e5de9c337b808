import type { Clock } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { IncarnationId } from '../../types/ids.js'
import type { ServiceLevelAcknowledgement, ServiceLevelCommand, ServiceLevelIncrement } from '../../types/service-level.js'

export interface IncrementCollectorOptions {
  clock: Clock
  /** @returns time of day in milliseconds since 1970 */
  timeOfDay: () => number
  /** Shortest time between two commands, in milliseconds. Default: 5,000, which causes at most 17,280 log entries a day at any fleet size. */
  batchMs?: number
}

export type CollectorMessage =
  | { kind: 'received', increment: ServiceLevelIncrement }
  /** The proposal of the command has ended: the command is committed, or its outcome is unknown. */
  | { kind: 'settled', committed: boolean }

export type CollectorEffect =
  | { kind: 'propose', command: ServiceLevelCommand }
  | { kind: 'acknowledge', message: ServiceLevelAcknowledgement }

/**
 * Collects increments at the control leader and proposes them to the replicated log in batches.
 *
 * The collector acknowledges an increment only once it is committed. After a command of unknown outcome it acknowledges nothing.
 * The senders then repeat their increments, and the sequence numbers prevent committed ones from counting twice.
 */
export function createIncrementCollector (options: IncrementCollectorOptions): Controller<CollectorMessage, CollectorEffect> {
  const { clock } = options
  const batchMs = options.batchMs ?? 5000
  // A sender has at most one increment in flight, so one per incarnation is enough.
  let pending = new Map<IncarnationId, ServiceLevelIncrement>()
  let proposed: ServiceLevelIncrement[] | null = null
  let batchedAt = clock.now()

  function settleCommand (committed: boolean): CollectorEffect[] {
    const settled = proposed ?? []
    proposed = null
    if (!committed) return []
    return settled.map(({ incarnation, sequence }) => ({ kind: 'acknowledge', message: { version: 1, kind: 'service-level-acknowledgement', incarnation, sequence } }))
  }

  function recordIncrement (increment: ServiceLevelIncrement): void {
    const known = pending.get(increment.incarnation)
    if (known === undefined || known.sequence < increment.sequence) pending.set(increment.incarnation, increment)
  }

  return {
    handle: (message) => {
      if (message.kind === 'settled') return settleCommand(message.committed)
      recordIncrement(message.increment)
      return []
    },
    tick: () => {
      const now = clock.now()
      if (proposed !== null || pending.size === 0 || now - batchedAt < batchMs) return []
      batchedAt = now
      proposed = [...pending.values()]
      pending = new Map()
      return [{ kind: 'propose', command: { kind: 'count-requests', at: options.timeOfDay(), increments: proposed } }]
    }
  }
}
