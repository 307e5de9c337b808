/** `client`: SQL connections and announcements; `replication`: links between databases. */
export type TrafficKind = 'client' | 'replication'

/** State of the simulated network around one stand-in, shared by all of its connections. */
export interface NetworkConditions {
  /** Traffic that is dropped in both directions. */
  readonly dropped: Set<TrafficKind>
  /** One-way delay in ms. */
  delayMs: number
  readonly frozen: boolean
  freeze: () => void
  /** Delivers everything that was held back. */
  thaw: () => void
  /** Calls the listener at each thaw. @returns a function that removes it */
  onThaw: (listener: () => void) => () => void
}

/** @returns conditions without faults */
export function createNetworkConditions (delayMs: number): NetworkConditions {
  const listeners = new Set<() => void>()
  let frozen = false
  return {
    dropped: new Set(),
    delayMs,
    get frozen () { return frozen },
    freeze: () => { frozen = true },
    thaw: () => {
      frozen = false
      for (const listener of [...listeners]) listener()
    },
    onThaw: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
