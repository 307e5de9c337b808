import { FLOAT32_OPTIONS, Packr } from 'msgpackr'
import type { WebSocket } from 'ws'
import type { Inbox } from './inbox.js'

/** Time between pings in milliseconds. */
const PING_INTERVAL_MS = 250
/** A peer that answered nothing for this long is taken to be unreachable, in milliseconds. */
const SILENCE_LIMIT_MS = 1000

/** Codec of all messages between our processes. */
export const messageCodec = new Packr({ useRecords: false, useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT, int64AsType: 'number' })

/** What a process tells of itself when it connects. */
export interface Hello {
  /** What the connection is for: consensus, control messages, or requests between entry instances. */
  purpose: 'member' | 'control' | 'peer'
  /** Name of the connecting instance. */
  name: string
  /** Listening address of the connecting process. */
  address: string
}

/** An authenticated connection that carries whole messages in order. */
export interface MessageChannel {
  readonly hello: Hello
  /** Sends a message; it is dropped when the channel has ended. */
  send: (message: unknown) => void
  /** Ends the channel at once. */
  close: () => void
  /** Sets the only listener; messages that came earlier are delivered at once. */
  onMessage: (listener: (message: unknown) => void) => void
  /** Calls the listener once when the channel has ended, for whatever reason. */
  onEnd: (listener: () => void) => void
  /** @returns bytes sent and received so far, without framing of lower layers */
  byteCounts: () => { sent: number, received: number }
}

/**
 * Wraps an authenticated socket. Pings the peer and ends the socket when nothing comes back,
 * since a connection can go silent for good without being closed.
 */
export function createMessageChannel (socket: WebSocket, inbox: Inbox, hello: Hello): MessageChannel {
  const endListeners: (() => void)[] = []
  let ended = false
  let lastHeardAt = performance.now()
  let sent = 0
  let received = 0

  const pings = setInterval(() => {
    if (performance.now() - lastHeardAt > SILENCE_LIMIT_MS) {
      end()
      return
    }
    socket.ping()
  }, PING_INTERVAL_MS)

  function end (): void {
    if (ended) return
    ended = true
    clearInterval(pings)
    socket.terminate()
    for (const listener of endListeners) listener()
  }

  socket.on('pong', () => { lastHeardAt = performance.now() })
  socket.on('close', end)
  socket.on('error', end)
  function receive (data: Buffer, listener: (message: unknown) => void): void {
    if (ended) return
    lastHeardAt = performance.now()
    received += data.length
    let message: unknown
    try {
      message = messageCodec.unpack(data)
    } catch {
      end()
      return
    }
    listener(message)
  }

  return {
    hello,
    send: (message) => {
      if (ended) return
      const data = messageCodec.pack(message)
      sent += data.length
      socket.send(data)
    },
    close: end,
    onMessage: (listener) => { inbox.deliverTo((data) => { receive(data, listener) }) },
    onEnd: (listener) => {
      if (ended) {
        listener()
        return
      }
      endListeners.push(listener)
    },
    byteCounts: () => ({ sent, received })
  }
}
