import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { WebSocket } from 'ws'
import type { Milliseconds } from '../../types/clock.js'
import type { LogEvent } from '../../types/log-event.js'
import type { Inbox } from './inbox.js'
import { COMPRESSED_MARKER, messageCodec } from './message-codec.js'
import { compressMessage, decompressMessage } from './message-compression.js'

/** Time between pings in milliseconds. */
const PING_INTERVAL_MS = 250
/**
 * Time between pings while the owner waits for an answer, in milliseconds.
 * It is shorter because a request can be retried elsewhere only after the channel to an unresponsive peer has ended.
 */
const WAITING_PING_INTERVAL_MS = 100
/**
 * Pings in a row without a pong or message after which the channel ends, since the peer is unresponsive.
 * Counting pings instead of time keeps a process that was itself suspended from ending its channels.
 */
const MAX_MISSED_PINGS = 4

/** Size in bytes from which messages for several channels are compressed; for smaller ones, compression saves less than a packet. */
const COMPRESSION_THRESHOLD_BYTES = 2048
/** Maximum size of a message after decompression in bytes; the same as for uncompressed messages. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024

/** Encodes a message for several channels. Compresses a large one, since on a slow link it would delay the messages behind it. */
export function packMessage (message: unknown): Buffer {
  const data = messageCodec.pack(message)
  return data.length < COMPRESSION_THRESHOLD_BYTES ? data : Buffer.concat([Buffer.of(COMPRESSED_MARKER), deflateRawSync(data)])
}

/**
 * Decodes a message, compressed or not.
 * @throws Error when it can't be decoded
 */
export function unpackMessage (data: Buffer): unknown {
  return messageCodec.unpack(data[0] === COMPRESSED_MARKER ? inflateRawSync(data.subarray(1), { maxOutputLength: MAX_MESSAGE_BYTES }) : data)
}

/** Description of itself that a process sends when it connects. */
export interface Hello {
  /** Use of the connection: consensus, control messages, or requests between entry instances. */
  purpose: 'member' | 'control' | 'peer'
  /** Name of the connecting instance. */
  name: string
  /** Listening address of the connecting process. */
  address: string
}

/**
 * When a channel pings its peer.
 * - `always`: as long as the channel is open
 * - `while-waiting`: only while its owner waits for the peer, so that an idle channel costs nothing
 */
export type PingMode = 'always' | 'while-waiting'

export interface ChannelOptions {
  /** Logs a message that the listener could not handle. */
  logEvent: LogEvent
  /** When the channel pings its peer. Default: `always`. */
  pings?: PingMode | undefined
  /** The peer's clock reading from the handshake. Default: null, when the peer sent none. */
  peerTime?: Milliseconds | null
  /** Resets the connection to a silent peer. Default: the socket is only closed, and messages that the peer has not received may still reach it. */
  reset?: () => void
  /** Whether both ends compress single messages with the shared dictionary. Default: false. */
  isCompressed?: boolean
  /** @returns bytes received on the socket. Default: 0, for channels whose owner does not read this number. */
  countSocketBytes?: () => number
}

/** An authenticated connection that carries whole messages in order. */
export interface MessageChannel {
  readonly hello: Hello
  /** The peer's clock reading from the handshake; null when the peer sent none. */
  readonly peerTime: Milliseconds | null
  /** @returns whether the channel can still carry messages; false as soon as the end of the connection was read, before the `onEnd` listeners are called */
  isOpen: () => boolean
  /** Sends a message; drops it when the channel has ended. */
  send: (message: unknown) => void
  /** Sends a message that `packMessage` has encoded. Only for channels that don't compress single messages. */
  sendPacked: (data: Buffer) => void
  /** Sets whether the owner waits for the peer; has an effect only with pings `while-waiting`. */
  setWaiting: (isWaiting: boolean) => void
  /** @returns time in milliseconds for which the channel stays open even if the peer is silent from now on; call it while the owner waits for the peer */
  minSilenceMs: () => number
  /** Ends the channel at once. */
  close: () => void
  /** Ends the channel at once, and discards what the peer has not received. */
  reset: () => void
  /** Sets the only listener and delivers to it at once the messages received so far. A listener that throws ends the channel. */
  onMessage: (listener: (message: unknown) => void) => void
  /** Calls the listener once when the channel has ended for any reason. */
  onEnd: (listener: () => void) => void
  /** @returns bytes received on the socket, including those of an incomplete message */
  countSocketBytes: () => number
  /** @returns bytes of messages sent and received so far, without the framing of lower layers */
  countMessageBytes: () => { sent: number, received: number }
}

/**
 * Creates a channel on an authenticated socket. Pings the peer and ends the socket when neither a pong nor a message arrives,
 * since a connection can become silent for good without being closed.
 */
export function createMessageChannel (socket: WebSocket, inbox: Inbox, hello: Hello, { logEvent, pings: pingMode = 'always', peerTime = null, reset = () => {}, isCompressed = false, countSocketBytes = () => 0 }: ChannelOptions): MessageChannel {
  const endListeners: (() => void)[] = []
  let hasEnded = false
  let missedPings = 0
  let sent = 0
  let received = 0

  const pingIntervalMs = pingMode === 'always' ? PING_INTERVAL_MS : WAITING_PING_INTERVAL_MS
  let pingTimer = pingMode === 'always' ? startPings() : null

  function startPings (): NodeJS.Timeout {
    return setInterval(() => {
      if (missedPings >= MAX_MISSED_PINGS) return endWithReset()
      missedPings++
      socket.ping()
    }, pingIntervalMs)
  }

  function setWaiting (isWaiting: boolean): void {
    if (pingMode === 'always' || hasEnded || isWaiting === (pingTimer !== null)) return
    if (pingTimer !== null) clearInterval(pingTimer)
    missedPings = 0
    pingTimer = isWaiting ? startPings() : null
  }

  function endWithReset (): void {
    reset()
    end()
  }

  function end (): void {
    if (hasEnded) return
    hasEnded = true
    if (pingTimer !== null) clearInterval(pingTimer)
    socket.terminate()
    for (const listener of endListeners) listener()
  }

  socket.on('pong', () => { missedPings = 0 })
  socket.on('close', end)
  socket.on('error', end)
  function receive (data: Buffer, listener: (message: unknown) => void): void {
    if (hasEnded) return
    missedPings = 0
    received += data.length
    try {
      listener(isCompressed ? messageCodec.unpack(decompressMessage(data)) : unpackMessage(data))
    } catch (error) {
      // The sender may be of another version or damaged. Only its channel ends; the process goes on serving the others.
      logEvent('messageRejected', { peer: hello.name, purpose: hello.purpose, message: String(error) })
      endWithReset()
    }
  }

  function sendPacked (data: Buffer): void {
    if (hasEnded) return
    sent += data.length
    socket.send(data)
  }

  return {
    hello,
    peerTime,
    isOpen: () => !hasEnded && socket.readyState === socket.OPEN,
    send: (message) => {
      if (hasEnded) return
      const data = messageCodec.pack(message)
      sendPacked(isCompressed ? compressMessage(data) : data)
    },
    sendPacked,
    setWaiting,
    // The next ping may be due at once, so the interval before it does not count.
    minSilenceMs: () => hasEnded ? 0 : (MAX_MISSED_PINGS - missedPings) * pingIntervalMs,
    close: end,
    reset: endWithReset,
    onMessage: (listener) => { inbox.deliverTo((data) => { receive(data, listener) }) },
    onEnd: (listener) => {
      if (hasEnded) {
        listener()
        return
      }
      endListeners.push(listener)
    },
    countSocketBytes,
    countMessageBytes: () => ({ sent, received })
  }
}
