import type { Socket } from 'node:net'
import { WebSocket } from 'ws'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { LogEvent } from '../../types/log-event.js'
import { resetSocket } from '../sockets/reset-socket.js'
import { offerHandshake } from './handshake.js'
import { createInbox } from './inbox.js'
import type { PingMode, Hello, MessageChannel } from './message-channel.js'
import { createMessageChannel } from './message-channel.js'
import type { TlsFiles } from './tls-files.js'
import { readTlsFiles } from './tls-files.js'

/** Time to open the socket in milliseconds. */
const DIAL_TIMEOUT_MS = 1000

export interface DialOptions {
  /** `host:port` of the other process. */
  address: string
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
  logEvent: LogEvent
  /** When the channel pings its peer. Default: `always`. */
  pings?: PingMode
  /** Whether to compress single messages, if the other process supports it. Default: false. */
  compresses?: boolean
}

/**
 * Opens a channel to another process of the deployment, with mutual authentication.
 * @returns the channel, or the error that ended the attempt
 */
export async function dialChannel (options: DialOptions): Promise<Result<MessageChannel, Error>> {
  const { address, hello, clusterSecret, tls } = options
  const scheme = tls === null ? 'ws' : 'wss'
  const socket = new WebSocket(`${scheme}://${address}`, {
    perMessageDeflate: false,
    handshakeTimeout: DIAL_TIMEOUT_MS,
    maxPayload: 64 * 1024 * 1024,
    ...(tls === null ? {} : readTlsFiles(tls))
  })
  let rawSocket: Socket | null = null
  socket.on('upgrade', ({ socket: upgraded }) => { rawSocket = upgraded })
  socket.on('error', () => {})
  const inbox = createInbox(socket)
  try {
    const { peerTime, isCompressed } = await offerHandshake(socket, inbox, clusterSecret, hello, options.compresses === true)
    return ok(createMessageChannel(socket, inbox, hello, { logEvent: options.logEvent, pings: options.pings, peerTime, isCompressed, reset: () => { if (rawSocket !== null) resetSocket(rawSocket) }, countSocketBytes: () => rawSocket?.bytesRead ?? 0 }))
  } catch (error) {
    socket.terminate()
    return err(error as Error)
  }
}
