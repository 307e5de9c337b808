import type { DatabaseCore } from './database-core.js'
import type { ConnectionCut } from './faults.js'
import type { Wire } from './wire.js'

/** Traffic that a partition drops. `clients`: SQL connections and announcements; `replication`: links between databases. */
export type PartitionScope = 'all' | 'clients' | 'replication'

/** Faults that a test can switch on while the stand-in runs. The stand-in itself has `stop` and `start`. */
export interface FaultSwitches {
  /** Drops traffic in both directions. Connections stay open; those that lost bytes stay silent even after `heal`. */
  partition: (scope: PartitionScope) => void
  heal: () => void
  /** Holds all traffic until `thaw`, like a process that was stopped with SIGSTOP. */
  freeze: () => void
  thaw: () => void
  /** Adds a delay in ms to all traffic in each direction; 0 removes it. */
  slow: (addedMs: number) => void
  /**
   * Delays the next `count` answers by `delayMs`. Answers to functions of the schema `catkinrelay` alone are not counted.
   * @param skip - answers to send without delay first; default 0
   */
  delayAnswers: (count: number, delayMs: number, skip?: number) => void
  /** Drops all traffic of the connections that are open now. New connections work. */
  silenceConnections: () => void
  pauseReplication: () => void
  resumeReplication: () => void
  setReplicationLag: (lagMs: number) => void
  /** Closes the connection that runs the next matching statement. */
  cutConnectionOn: (cut: ConnectionCut) => void
}

/**
 * Creates the switches of one stand-in.
 * @param wires - its open connections
 */
export function createFaultSwitches (core: DatabaseCore, wires: ReadonlySet<Wire>): FaultSwitches {
  const { conditions, faults, options, receiver } = core

  function partition (scope: PartitionScope): void {
    if (scope !== 'replication') conditions.dropped.add('client')
    if (scope !== 'clients') conditions.dropped.add('replication')
  }

  return {
    partition,
    heal: () => conditions.dropped.clear(),
    freeze: conditions.freeze,
    thaw: conditions.thaw,
    slow: (addedMs) => { conditions.delayMs = options.networkDelayMs + addedMs },
    delayAnswers: faults.delayAnswers,
    silenceConnections: () => { for (const wire of wires) wire.silence() },
    pauseReplication: () => receiver.setPaused(true),
    resumeReplication: () => receiver.setPaused(false),
    setReplicationLag: receiver.setLagMs,
    cutConnectionOn: faults.cutConnectionOn
  }
}
