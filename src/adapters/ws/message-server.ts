import { createServer as createPlainServer } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { Server as TlsServer } from 'node:https'
import type { Socket } from 'node:net'
import { WebSocketServer } from 'ws'
import type { WebSocket } from 'ws'
import type { Clock } from '../../types/clock.js'
import type { LogEvent } from '../../types/log-event.js'
import { resetSocket } from '../sockets/reset-socket.js'
import type { HandshakeLimits } from './guard-handshakes.js'
import { createHandshakeGuard } from './guard-handshakes.js'
import { acceptHandshake } from './handshake.js'
import { createInbox } from './inbox.js'
import type { PingMode, Hello, MessageChannel } from './message-channel.js'
import { createMessageChannel } from './message-channel.js'
import type { TlsFiles } from './tls-files.js'
import { readTlsFiles } from './tls-files.js'

/** Maximum size of a message between processes in bytes; the manifest of a large deployment fits. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024

/** Limits of connections that have not proved to know the secret. The connections are several times the processes of the largest deployment. */
const DEFAULT_LIMITS = { connections: 512, timeoutMs: 5000 }

export interface MessageServerOptions {
  host: string
  port: number
  clusterSecret: string
  tls: TlsFiles | null
  /** @returns when a channel pings its peer; default: `always` */
  pings?: (hello: Hello) => PingMode
  /** Clock whose reading is sent to each client in the handshake. Default: none is sent. */
  clock?: Clock
  logEvent: LogEvent
  /** Limits of connections that have not proved to know the secret; default: 512 connections, 5 s. */
  handshakes?: HandshakeLimits | undefined
  /** Called for each connection that passed the handshake. */
  onChannel: (channel: MessageChannel) => void
}

export interface MessageServer {
  /** Port in use; differs from the option when that was 0. */
  readonly port: number
  /** Reloads the TLS key files; open connections stay open. */
  reloadTls: () => void
  /** Stops listening and ends all connections. */
  close: () => Promise<void>
}

/**
 * Starts a server for channels from other processes of the deployment.
 * @throws Error when the server can't listen on the address
 */
export async function listenForMessages (options: MessageServerOptions): Promise<MessageServer> {
  const { tls } = options
  const server = tls === null ? createPlainServer() : createTlsServer({ ...readTlsFiles(tls), requestCert: true, rejectUnauthorized: true })
  const sockets = new Set<Socket>()
  const guard = createHandshakeGuard(options.handshakes ?? { ...DEFAULT_LIMITS, onLimited: (cause, client) => { options.logEvent('clientLimited', { cause, client }) } })
  const webSockets = new WebSocketServer({ server, perMessageDeflate: false, maxPayload: MAX_MESSAGE_BYTES })

  async function accept (socket: WebSocket, rawSocket: Socket): Promise<void> {
    socket.on('error', () => { socket.terminate() })
    guard.countBytes(rawSocket)
    const inbox = createInbox(socket)
    try {
      const { hello, isCompressed } = await acceptHandshake(socket, inbox, options.clusterSecret, options.clock ?? null)
      guard.accept(rawSocket)
      options.onChannel(createMessageChannel(socket, inbox, hello, { logEvent: options.logEvent, pings: options.pings?.(hello), isCompressed, reset: () => { resetSocket(rawSocket) } }))
    } catch {
      socket.terminate()
    }
  }

  webSockets.on('connection', (socket, { socket: rawSocket }) => { accept(socket, rawSocket) })
  server.on('connection', (socket: Socket) => {
    socket.setNoDelay(true)
    guard.add(socket)
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    webSockets.on('error', reject)
    server.listen(options.port, options.host, resolve)
  })
  const address = server.address()

  return {
    port: typeof address === 'object' && address !== null ? address.port : options.port,
    reloadTls: () => {
      if (tls !== null) (server as TlsServer).setSecureContext(readTlsFiles(tls))
    },
    close: async () => {
      for (const socket of webSockets.clients) socket.terminate()
      await new Promise<void>((resolve) => {
        server.close(() => { resolve() })
        for (const socket of sockets) socket.destroy()
      })
    }
  }
}
