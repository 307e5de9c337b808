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

/** Takes counts of finished requests from entry instances into the replicated log. */
export interface ServiceLevelCollection {
  take: (connection: string, increment: ServiceLevelIncrement) => void
  /** The connection ended. */
  forget: (connection: string) => void
  tick: () => void
}

export function createServiceLevelCollection (options: ServiceLevelCollectionOptions): ServiceLevelCollection {
  const { log } = options
  const collector = createIncrementCollector({ clock: options.clock, timeOfDay: () => options.timeOfDay().getTime() })
  const connections = new Map<IncarnationId, string>()

  async function propose (effect: Extract<CollectorEffect, { kind: 'propose' }>): Promise<void> {
    const result = await log.propose(effect.command)
    carryOut(collector.handle({ kind: 'settled', committed: result.isOk() }))
  }

  function carryOut (effects: CollectorEffect[]): void {
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
    take: (connection, increment) => {
      // The sender repeats what is not acknowledged, and by then it is attached to the leader.
      if (!log.isLeader()) return
      connections.set(increment.incarnation, connection)
      carryOut(collector.handle({ kind: 'received', increment }))
    },
    forget: (connection) => {
      for (const [incarnation, name] of connections) {
        if (name === connection) connections.delete(incarnation)
      }
    },
    tick: () => { carryOut(collector.tick()) }
  }
}
