/** `client`: SQL connections and announcements; `replication`: links between databases. */
export type TrafficKind = 'client' | 'replication'

/** State of the simulated network of one stand-in, shared by all of its connections. */
export interface NetworkConditions {
  /** Kinds of traffic that the network drops in both directions. */
  readonly dropped: Set<TrafficKind>
  /** One-way delay in ms. */
  delayMs: number
  readonly isFrozen: boolean
  freeze: () => void
  /** Calls the thaw listeners, so that queues deliver what they held. */
  thaw: () => void
  /** Calls the listener at each thaw. @returns a function that removes the listener */
  onThaw: (listener: () => void) => () => void
}

/** @returns conditions without faults */
export function createNetworkConditions (delayMs: number): NetworkConditions {
  const listeners = new Set<() => void>()
  let isFrozen = false
  return {
    dropped: new Set(),
    delayMs,
    get isFrozen () { return isFrozen },
    freeze: () => { isFrozen = true },
    thaw: () => {
      isFrozen = false
      for (const listener of [...listeners]) listener()
    },
    onThaw: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
