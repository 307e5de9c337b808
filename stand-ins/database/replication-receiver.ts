import { connect } from 'node:net'
import { createDelayedQueue } from './delayed-queue.js'
import type { LogState } from './log-state.js'
import type { NetworkConditions } from './network-conditions.js'
import { createLineReader, encodeLine, encodeReplicationStartup, type PrimaryMessage } from './replication-messages.js'
import { createWire, type Wire } from './wire.js'

const PING_INTERVAL_MS = 50
const RECONNECT_DELAY_MS = 100
/** The replica closes a link on which it received nothing for this time, and opens a new one. */
const LINK_TIMEOUT_MS = 500
/** Longest time for which an order to follow waits until the log is aligned with that of the primary. */
const ALIGNMENT_TIMEOUT_MS = 300
/** Age that a replica reports before its primary has confirmed any data; the highest signed 32-bit integer. */
export const NEVER_FRESH_AGE_MS = 2_147_483_647

/** Keeps a replica connected to the primary that it follows. */
export interface ReplicationReceiver {
  /** Resolves when the log is aligned with that of the primary, or after a bounded wait. */
  follow: (term: number, primaryAddress: string) => Promise<void>
  /** Closes the link and follows no primary any more. */
  stop: () => void
  /** Closes the link; `resume` connects to the same primary again. */
  suspend: () => void
  resume: () => void
  /** While paused, the replica keeps received messages and applies none of them. */
  setPaused: (paused: boolean) => void
  setLagMs: (lagMs: number) => void
  /** @returns the time in ms since the primary last confirmed that the replica held all of its data */
  ageMs: () => number
}

export interface ReplicationReceiverOptions {
  log: () => LogState
  conditions: NetworkConditions
  /** Delay in ms before the replica applies a received message. */
  lagMs: number
}

interface FollowedPrimary {
  term: number
  host: string
  port: number
}

function parseFollowedPrimary (term: number, address: string): FollowedPrimary {
  const separator = address.lastIndexOf(':')
  return { term, host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

const encodePing = (): Buffer => encodeLine({ kind: 'ping', sentAt: performance.now() })

/** @returns a receiver that follows no primary yet */
export function createReplicationReceiver ({ log, conditions, lagMs: initialLagMs }: ReplicationReceiverOptions): ReplicationReceiver {
  let followedPrimary: FollowedPrimary | null = null
  let lagMs = initialLagMs
  let isPaused = false
  /** Time on this replica's clock at which it sent the last ping whose pong it has applied; null before the first one. */
  let freshAt: number | null = null
  let closeLink: () => void = () => {}
  let reconnectTimer: NodeJS.Timeout | null = null
  let onAligned: () => void = () => {}

  const queue = createDelayedQueue<PrimaryMessage>(() => isPaused || conditions.isFrozen, apply)
  conditions.onThaw(queue.deliverDue)

  function apply (message: PrimaryMessage): void {
    if (followedPrimary?.term !== message.term) return
    if (!applyToLog(message)) {
      stop()
      return
    }
    if (message.kind === 'pong') freshAt = message.sentAt
    if (message.kind === 'aligned') onAligned()
  }

  function applyToLog (message: PrimaryMessage): boolean {
    if (message.kind === 'aligned') return log().align(message.term, message.offset)
    return log().receive(message.term, message.kind === 'entries' ? message.entries : [])
  }

  function startPings (wire: Wire, getLastReceivedAt: () => number): () => void {
    const timer = setInterval(() => {
      if (conditions.isFrozen) return
      if (performance.now() - getLastReceivedAt() > LINK_TIMEOUT_MS) wire.destroy()
      else wire.send(encodePing())
    }, PING_INTERVAL_MS)
    return () => clearInterval(timer)
  }

  function openLink (): void {
    if (followedPrimary === null) return
    const { term, host, port } = followedPrimary
    const socket = connect({ host, port })
    const wire = createWire(socket, 'replication', conditions)
    let lastReceivedAt = performance.now()
    const readMessages = createLineReader<PrimaryMessage>((message) => queue.push(message, lagMs))
    wire.onReceive((bytes) => {
      lastReceivedAt = performance.now()
      readMessages(bytes)
    })
    socket.once('connect', () => {
      wire.send(Buffer.concat([encodeReplicationStartup(), encodeLine({ kind: 'join', term, termEnds: log().termEnds() }), encodePing()]))
    })
    const stopPings = startPings(wire, () => lastReceivedAt)
    let shouldReconnect = true
    closeLink = () => {
      shouldReconnect = false
      socket.destroy()
    }
    wire.onEnd(() => {
      stopPings()
      if (!shouldReconnect) return
      queue.clear()
      reconnectTimer = setTimeout(openLink, RECONNECT_DELAY_MS)
    })
  }

  function suspend (): void {
    if (reconnectTimer !== null) clearTimeout(reconnectTimer)
    reconnectTimer = null
    closeLink()
    closeLink = () => {}
    queue.clear()
  }

  function stop (): void {
    suspend()
    followedPrimary = null
  }

  async function follow (term: number, primaryAddress: string): Promise<void> {
    stop()
    freshAt = null
    followedPrimary = parseFollowedPrimary(term, primaryAddress)
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ALIGNMENT_TIMEOUT_MS)
      onAligned = () => {
        clearTimeout(timer)
        resolve()
      }
      openLink()
    })
  }

  return {
    follow,
    stop,
    suspend,
    resume: () => {
      suspend()
      freshAt = null
      openLink()
    },
    setPaused: (next) => {
      isPaused = next
      queue.deliverDue()
    },
    setLagMs: (next) => { lagMs = next },
    ageMs: () => freshAt === null ? NEVER_FRESH_AGE_MS : Math.ceil(performance.now() - freshAt)
  }
}
