import { connect } from 'node:net'
import { createDelayedQueue } from './delayed-queue.js'
import type { LogState } from './log-state.js'
import type { NetworkConditions } from './network-conditions.js'
import { createLineReader, encodeLine, replicationStartup, type PrimaryMessage } from './replication-messages.js'
import { createWire, type Wire } from './wire.js'

const PING_INTERVAL_MS = 50
const RECONNECT_AFTER_MS = 100
/** A link on which nothing arrived for this time is replaced, in ms. */
const SILENCE_LIMIT_MS = 500
/** How long an order to follow waits for the alignment with the primary, in ms. */
const ALIGNMENT_WAIT_MS = 300
/** Age of a replica that never heard from its primary, in ms; the highest 32-bit integer. */
export const AGE_NEVER_FRESH_MS = 2_147_483_647

/** Keeps a replica connected to the primary that it follows. */
export interface ReplicationReceiver {
  /** Resolves when the log was aligned with that of the primary, or after a bounded wait. */
  follow: (term: number, primaryAddress: string) => Promise<void>
  /** Forgets the primary. */
  stop: () => void
  /** Ends the link; `resume` connects again to the same primary. */
  suspend: () => void
  resume: () => void
  setPaused: (paused: boolean) => void
  setLagMs: (lagMs: number) => void
  /** @returns time since the data were known to be those of the primary, in ms */
  ageMs: () => number
}

export interface ReplicationReceiverOptions {
  log: () => LogState
  conditions: NetworkConditions
  /** Delay before received messages are applied. */
  lagMs: number
}

interface Target {
  term: number
  host: string
  port: number
}

function parseTarget (term: number, address: string): Target {
  const separator = address.lastIndexOf(':')
  return { term, host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

const ping = (): Buffer => encodeLine({ kind: 'ping', sentAt: performance.now() })

/** @returns a receiver without a primary */
export function createReplicationReceiver ({ log, conditions, lagMs: firstLagMs }: ReplicationReceiverOptions): ReplicationReceiver {
  let target: Target | null = null
  let lagMs = firstLagMs
  let paused = false
  let freshAt: number | null = null
  let closeLink: () => void = () => {}
  let reconnect: NodeJS.Timeout | null = null
  let onAligned: () => void = () => {}

  const queue = createDelayedQueue<PrimaryMessage>(() => paused || conditions.frozen, apply)
  conditions.onThaw(queue.pump)

  function apply (message: PrimaryMessage): void {
    if (target?.term !== message.term) return
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

  function startPings (wire: Wire, heardAt: () => number): () => void {
    const timer = setInterval(() => {
      if (conditions.frozen) return
      if (performance.now() - heardAt() > SILENCE_LIMIT_MS) wire.destroy()
      else wire.send(ping())
    }, PING_INTERVAL_MS)
    return () => clearInterval(timer)
  }

  function open (): void {
    if (target === null) return
    const { term, host, port } = target
    const socket = connect({ host, port })
    const wire = createWire(socket, 'replication', conditions)
    let heardAt = performance.now()
    const read = createLineReader<PrimaryMessage>((message) => queue.push(message, lagMs))
    wire.onReceive((bytes) => {
      heardAt = performance.now()
      read(bytes)
    })
    socket.once('connect', () => {
      wire.send(Buffer.concat([replicationStartup(), encodeLine({ kind: 'join', term, termEnds: log().termEnds() }), ping()]))
    })
    const stopPings = startPings(wire, () => heardAt)
    let wanted = true
    closeLink = () => {
      wanted = false
      socket.destroy()
    }
    wire.onEnd(() => {
      stopPings()
      if (!wanted) return
      queue.clear()
      reconnect = setTimeout(open, RECONNECT_AFTER_MS)
    })
  }

  function suspend (): void {
    if (reconnect !== null) clearTimeout(reconnect)
    reconnect = null
    closeLink()
    closeLink = () => {}
    queue.clear()
  }

  function stop (): void {
    suspend()
    target = null
  }

  async function follow (term: number, primaryAddress: string): Promise<void> {
    stop()
    freshAt = null
    target = parseTarget(term, primaryAddress)
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ALIGNMENT_WAIT_MS)
      onAligned = () => {
        clearTimeout(timer)
        resolve()
      }
      open()
    })
  }

  return {
    follow,
    stop,
    suspend,
    resume: () => {
      suspend()
      freshAt = null
      open()
    },
    setPaused: (next) => {
      paused = next
      queue.pump()
    },
    setLagMs: (next) => { lagMs = next },
    ageMs: () => freshAt === null ? AGE_NEVER_FRESH_MS : Math.ceil(performance.now() - freshAt)
  }
}
