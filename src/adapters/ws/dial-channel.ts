import type { Socket } from 'node:net'
import { WebSocket } from 'ws'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { offerHandshake } from './handshake.js'
import { createInbox } from './inbox.js'
import type { ChannelPings, Hello, MessageChannel } from './message-channel.js'
import { createMessageChannel } from './message-channel.js'
import type { TlsFiles } from './tls-files.js'
import { readTlsFiles } from './tls-files.js'

/** Time to open the socket in milliseconds. */
const DIAL_LIMIT_MS = 1000

export interface DialOptions {
  /** `host:port` of the other process. */
  address: string
  hello: Hello
  clusterSecret: string
  tls: TlsFiles | null
  /** Default: `always`. */
  pings?: ChannelPings
}

/** Connects to another of our processes and authenticates both ways. */
export async function dialChannel (options: DialOptions): Promise<Result<MessageChannel, Error>> {
  const { address, hello, clusterSecret, tls } = options
  const scheme = tls === null ? 'ws' : 'wss'
  const socket = new WebSocket(`${scheme}://${address}`, {
    perMessageDeflate: false,
    handshakeTimeout: DIAL_LIMIT_MS,
    maxPayload: 64 * 1024 * 1024,
    ...(tls === null ? {} : readTlsFiles(tls))
  })
  let raw: Socket | null = null
  socket.on('upgrade', ({ socket: upgraded }) => { raw = upgraded })
  socket.on('error', () => {})
  const inbox = createInbox(socket)
  try {
    await offerHandshake(socket, inbox, clusterSecret, hello)
  } catch (error) {
    socket.terminate()
    return err(error as Error)
  }
  return ok(createMessageChannel(socket, inbox, hello, { pings: options.pings, arrivedBytes: () => raw?.bytesRead ?? 0 }))
}
