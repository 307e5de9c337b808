import type { DatabaseCore } from './database-core.js'
import type { ConnectionCut } from './faults.js'
import type { Wire } from './wire.js'

/** `all`: everyone; `clients`: only SQL connections and announcements; `replication`: only links between databases. */
export type PartitionScope = 'all' | 'clients' | 'replication'

/** Faults that can be switched on while the stand-in runs. Stop and start are on the stand-in itself. */
export interface FaultSwitches {
  /** Drops traffic in both directions; connections stay open, and those that lost bytes stay silent after `heal`. */
  partition: (scope: PartitionScope) => void
  heal: () => void
  /** Holds back all traffic until `thaw`, as a stopped process does. */
  freeze: () => void
  thaw: () => void
  /** Adds a delay in ms to all traffic in each direction; 0 ends it. */
  slow: (addedMs: number) => void
  /** Delays the next `count` answers by `delayMs`, after `skip` (default 0) that are not delayed; status calls are not counted. */
  delayAnswers: (count: number, delayMs: number, skip?: number) => void
  /** Established connections get and take nothing any more; new ones work. */
  silenceConnections: () => void
  pauseReplication: () => void
  resumeReplication: () => void
  setReplicationLag: (lagMs: number) => void
  /** Cuts the connection of the next matching statement. */
  cutConnectionOn: (cut: ConnectionCut) => void
}

/** @param wires - the open connections of the stand-in */
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
    silenceConnections: () => { for (const wire of wires) wire.goSilent() },
    pauseReplication: () => receiver.setPaused(true),
    resumeReplication: () => receiver.setPaused(false),
    setReplicationLag: receiver.setLagMs,
    cutConnectionOn: faults.cutConnectionOn
  }
}
