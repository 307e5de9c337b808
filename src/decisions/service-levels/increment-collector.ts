import type { Clock } from '../../types/clock.js'
import type { Controller } from '../../types/controller.js'
import type { IncarnationId } from '../../types/ids.js'
import type { ServiceLevelAcknowledgement, ServiceLevelCommand, ServiceLevelIncrement } from '../../types/service-level.js'

export interface IncrementCollectorOptions {
  clock: Clock
  /** @returns time of day in milliseconds since 1970 */
  timeOfDay: () => number
  /** Time between two commands in milliseconds. Default 5,000: at most 17,280 log entries a day at any fleet size. */
  batchMs?: number
}

export type CollectorMessage =
  | { kind: 'received', increment: ServiceLevelIncrement }
  /** The command that was proposed is committed, or it may not be. */
  | { kind: 'settled', committed: boolean }

export type CollectorEffect =
  | { kind: 'propose', command: ServiceLevelCommand }
  | { kind: 'acknowledge', message: ServiceLevelAcknowledgement }

/**
 * Collects increments at the control leader and proposes them to the replicated log in batches.
 *
 * An increment is acknowledged only once it is committed. After a command of unknown outcome nothing is acknowledged:
 * the senders repeat their increments, and the numbers keep what was committed from counting twice.
 */
export function createIncrementCollector (options: IncrementCollectorOptions): Controller<CollectorMessage, CollectorEffect> {
  const { clock } = options
  const batchMs = options.batchMs ?? 5000
  // A sender has one increment under way, so one for each incarnation is enough.
  let waiting = new Map<IncarnationId, ServiceLevelIncrement>()
  let proposed: ServiceLevelIncrement[] | null = null
  let batchedAt = clock.now()

  function settle (committed: boolean): CollectorEffect[] {
    const settled = proposed ?? []
    proposed = null
    if (!committed) return []
    return settled.map(({ incarnation, sequence }) => ({ kind: 'acknowledge', message: { version: 1, kind: 'service-level-acknowledgement', incarnation, sequence } }))
  }

  function take (increment: ServiceLevelIncrement): void {
    const known = waiting.get(increment.incarnation)
    if (known === undefined || known.sequence < increment.sequence) waiting.set(increment.incarnation, increment)
  }

  return {
    handle: (message) => {
      if (message.kind === 'settled') return settle(message.committed)
      take(message.increment)
      return []
    },
    tick: () => {
      const now = clock.now()
      if (proposed !== null || waiting.size === 0 || now - batchedAt < batchMs) return []
      batchedAt = now
      proposed = [...waiting.values()]
      waiting = new Map()
      return [{ kind: 'propose', command: { kind: 'count-requests', at: options.timeOfDay(), increments: proposed } }]
    }
  }
}
