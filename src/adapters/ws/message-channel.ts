import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { FLOAT32_OPTIONS, Packr } from 'msgpackr'
import type { WebSocket } from 'ws'
import type { Inbox } from './inbox.js'

/** Time between pings in milliseconds. */
const PING_INTERVAL_MS = 250
/** Time between pings while an answer is awaited, in milliseconds: a request behind it can be sent elsewhere only once the peer is given up. */
const WAITING_PING_INTERVAL_MS = 100
/** A peer that let this many pings in a row pass without a sign of life is taken to be unreachable. Counting pings and not time spares a process that stood still itself. */
const MAX_MISSED_PINGS = 4

/** Codec of all messages between our processes. */
export const messageCodec = new Packr({ useRecords: false, useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT, int64AsType: 'number' })

/** First byte of a compressed message; no message of the codec begins with it. */
const COMPRESSED = 0xc1
/** Messages from this size on are compressed when they go over several channels, in bytes: below, it saves less than a packet. */
const COMPRESS_FROM_BYTES = 2048
/** Largest message after decompression in bytes, as for plain ones. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024

/** Encodes a message that goes over several channels. Large ones are compressed, as a slow link would hold up what comes after them. */
export function packMessage (message: unknown): Buffer {
  const data = messageCodec.pack(message)
  return data.length < COMPRESS_FROM_BYTES ? data : Buffer.concat([Buffer.of(COMPRESSED), deflateRawSync(data)])
}

/**
 * Decodes a message.
 * @throws Error when it can't be decoded
 */
export function unpackMessage (data: Buffer): unknown {
  return messageCodec.unpack(data[0] === COMPRESSED ? inflateRawSync(data.subarray(1), { maxOutputLength: MAX_MESSAGE_BYTES }) : data)
}

/** What a process tells of itself when it connects. */
export interface Hello {
  /** What the connection is for: consensus, control messages, or requests between entry instances. */
  purpose: 'member' | 'control' | 'peer'
  /** Name of the connecting instance. */
  name: string
  /** Listening address of the connecting process. */
  address: string
}

/**
 * When a channel asks its peer for signs of life.
 * - `always`: all the time
 * - `while-waiting`: while its owner waits for something; a channel at rest costs nothing
 */
export type ChannelPings = 'always' | 'while-waiting'

export interface ChannelOptions {
  /** Default: `always`. */
  pings?: ChannelPings | undefined
  /** @returns bytes that have arrived on the socket. Default: 0, for channels on which nobody asks. */
  arrivedBytes?: () => number
}

/** An authenticated connection that carries whole messages in order. */
export interface MessageChannel {
  readonly hello: Hello
  /** Sends a message; it is dropped when the channel has ended. */
  send: (message: unknown) => void
  /** Sends a message that `packMessage` has encoded. */
  sendPacked: (data: Buffer) => void
  /** Tells whether something is awaited from the peer; matters only with pings `while-waiting`. */
  setWaiting: (isWaiting: boolean) => void
  /** Ends the channel at once. */
  close: () => void
  /** Sets the only listener; messages that came earlier are delivered at once. */
  onMessage: (listener: (message: unknown) => void) => void
  /** Calls the listener once when the channel has ended, for whatever reason. */
  onEnd: (listener: () => void) => void
  /** @returns bytes that have arrived on the socket, those of an incomplete message too */
  arrivedBytes: () => number
  /** @returns bytes sent and received so far, without framing of lower layers */
  byteCounts: () => { sent: number, received: number }
}

/**
 * Wraps an authenticated socket. Pings the peer and ends the socket when nothing comes back,
 * since a connection can go silent for good without being closed.
 */
export function createMessageChannel (socket: WebSocket, inbox: Inbox, hello: Hello, { pings: when = 'always', arrivedBytes = () => 0 }: ChannelOptions = {}): MessageChannel {
  const endListeners: (() => void)[] = []
  let ended = false
  let missedPings = 0
  let sent = 0
  let received = 0

  let pings = when === 'always' ? startPings(PING_INTERVAL_MS) : null

  function startPings (intervalMs: number): NodeJS.Timeout {
    return setInterval(() => {
      if (missedPings >= MAX_MISSED_PINGS) return end()
      missedPings++
      socket.ping()
    }, intervalMs)
  }

  function setWaiting (isWaiting: boolean): void {
    if (when === 'always' || ended || isWaiting === (pings !== null)) return
    if (pings !== null) clearInterval(pings)
    missedPings = 0
    pings = isWaiting ? startPings(WAITING_PING_INTERVAL_MS) : null
  }

  function end (): void {
    if (ended) return
    ended = true
    if (pings !== null) clearInterval(pings)
    socket.terminate()
    for (const listener of endListeners) listener()
  }

  socket.on('pong', () => { missedPings = 0 })
  socket.on('close', end)
  socket.on('error', end)
  function receive (data: Buffer, listener: (message: unknown) => void): void {
    if (ended) return
    missedPings = 0
    received += data.length
    let message: unknown
    try {
      message = unpackMessage(data)
    } catch {
      end()
      return
    }
    listener(message)
  }

  function sendPacked (data: Buffer): void {
    if (ended) return
    sent += data.length
    socket.send(data)
  }

  return {
    hello,
    send: (message) => {
      if (!ended) sendPacked(messageCodec.pack(message))
    },
    sendPacked,
    setWaiting,
    close: end,
    onMessage: (listener) => { inbox.deliverTo((data) => { receive(data, listener) }) },
    onEnd: (listener) => {
      if (ended) {
        listener()
        return
      }
      endListeners.push(listener)
    },
    arrivedBytes,
    byteCounts: () => ({ sent, received })
  }
}
