import { createIncrementCollector } from '../decisions/service-levels/increment-collector.js'
import type { CollectorEffect } from '../decisions/service-levels/increment-collector.js'
import type { Clock } from '../types/clock.js'
import type { ControlLog } from '../types/control-log.js'
import type { IncarnationId } from '../types/ids.js'
import type { ServiceLevelAcknowledgement, ServiceLevelIncrement } from '../types/service-level.js'

export interface ServiceLevelCollectionOptions {
  clock: Clock
  log: ControlLog
  timeOfDay: () => Date
  acknowledge: (connection: string, message: ServiceLevelAcknowledgement) => void
}

/** Collects counts of finished requests from entry instances and commits them to the replicated log. */
export interface ServiceLevelCollection {
  handle: (connection: string, increment: ServiceLevelIncrement) => void
  /** Removes a connection that has ended. */
  detach: (connection: string) => void
  tick: () => void
}

export function createServiceLevelCollection (options: ServiceLevelCollectionOptions): ServiceLevelCollection {
  const { log } = options
  const collector = createIncrementCollector({ clock: options.clock, timeOfDay: () => options.timeOfDay().getTime() })
  const connections = new Map<IncarnationId, string>()

  async function propose (effect: Extract<CollectorEffect, { kind: 'propose' }>): Promise<void> {
    const result = await log.propose(effect.command)
    runEffects(collector.handle({ kind: 'settled', committed: result.isOk() }))
  }

  function runEffects (effects: CollectorEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'propose') propose(effect)
      else acknowledge(effect.message)
    }
  }

  function acknowledge (message: ServiceLevelAcknowledgement): void {
    const connection = connections.get(message.incarnation)
    if (connection !== undefined) options.acknowledge(connection, message)
  }

  return {
    handle: (connection, increment) => {
      // The sender retries increments that are not acknowledged, and by then it is attached to the leader.
      if (!log.isLeader()) return
      connections.set(increment.incarnation, connection)
      runEffects(collector.handle({ kind: 'received', increment }))
    },
    detach: (connection) => {
      for (const [incarnation, name] of connections) {
        if (name === connection) connections.delete(incarnation)
      }
    },
    tick: () => { runEffects(collector.tick()) }
  }
}
