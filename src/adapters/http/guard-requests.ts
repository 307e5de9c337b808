import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Server, Socket } from 'node:net'
import { findTransport } from '../sockets/find-transport.js'
import { monotonicClock } from '../timers/monotonic-clock.js'
import { chooseConnectionToClose } from '../../decisions/overload/choose-connection-to-close.js'
import type { ConnectionLoad } from '../../decisions/overload/choose-connection-to-close.js'
import { createMemoryReservations } from '../../decisions/overload/memory-reservations.js'
import type { ClientLimitCause } from '../../types/client-limit-cause.js'
import type { Milliseconds } from '../../types/clock.js'

/** Requests of one connection that may be in progress; a client that sends more does not read the answers. */
const MAX_OPEN_REQUESTS = 64
/** Size of a body in bytes up to which a request reserves no memory. */
const FREE_BODY_BYTES = 16 * 1024

export interface RequestGuardOptions {
  /** Connections that the server accepts. */
  connections: number
  /** Memory for the bodies of all requests in bytes. */
  bodyMemoryBytes: number
  /** Largest body of one request in bytes. */
  bodyBytes: number
  /** Time within which a connection that answers nothing has to send a whole request or to take an answer, in milliseconds. */
  idleMs: number
  /** Called for each connection that a limit closes. */
  onLimited: (cause: ClientLimitCause, client: string) => void
}

/** Limits what HTTP clients can make a process hold. */
export interface RequestGuard {
  /** Wraps the listener of requests: a request with a large body waits, unread, until there is memory for it. */
  wrap: (listener: RequestListener) => RequestListener
  /** Applies the limits to the connections of a server. */
  watch: (server: Server) => void
}

interface GuardedConnection extends ConnectionLoad {
  socket: Socket
  openRequests: number
  lastUsedAt: Milliseconds
  hasSession: boolean
  isBusy: boolean
}

export function createRequestGuard (options: RequestGuardOptions): RequestGuard {
  const memory = createMemoryReservations(options.bodyMemoryBytes)
  const connections = new Map<Socket, GuardedConnection>()

  function limit ({ socket, client }: GuardedConnection, cause: ClientLimitCause): void {
    options.onLimited(cause, client)
    connections.delete(socket)
    socket.destroy()
  }

  function addConnection (socket: Socket): void {
    if (connections.size >= options.connections) {
      const closed = chooseConnectionToClose([...connections.values()])
      if (closed === null) {
        options.onLimited('connections', socket.remoteAddress ?? '')
        socket.destroy()
        return
      }
      limit(closed, 'connections')
    }
    const connection: GuardedConnection = { socket, client: socket.remoteAddress ?? '', openRequests: 0, hasSession: false, isBusy: false, lastUsedAt: monotonicClock.now() }
    connections.set(socket, connection)
    socket.once('close', () => { connections.delete(socket) })
  }

  /** Closes connections that neither send a whole request nor take their answers, also after the server has ended its side. */
  function closeIdle (): void {
    const now = monotonicClock.now()
    for (const connection of [...connections.values()]) {
      const { socket, lastUsedAt, isBusy } = connection
      const hasUnreadAnswer = socket.writableLength > 0
      if ((isBusy && !hasUnreadAnswer) || now - lastUsedAt <= options.idleMs) continue
      limit(connection, hasUnreadAnswer ? 'answer-stalled' : socket.writableEnded ? 'not-closed' : 'message-stalled')
    }
  }

  function reserveBytes ({ headers }: IncomingMessage): number {
    if (headers['transfer-encoding'] !== undefined) return options.bodyBytes
    const announced = Number(headers['content-length'] ?? 0)
    // A longer body is refused by the listener without being kept.
    return announced > options.bodyBytes ? 0 : announced
  }

  function wrap (listener: RequestListener): RequestListener {
    return (request: IncomingMessage, response: ServerResponse) => {
      const connection = connections.get(findTransport(request.socket))
      if (connection === undefined || connection.openRequests >= MAX_OPEN_REQUESTS) {
        // The parser still reads the rest of the chunk, so the connection ends afterwards.
        if (connection !== undefined) setImmediate(() => { if (!connection.socket.destroyed) limit(connection, 'pipelining') })
        return
      }
      connection.openRequests++
      connection.hasSession = true
      // A request counts as busy only once it is whole, since a client may never send the rest.
      request.once('end', () => { connection.isBusy = true })
      connection.lastUsedAt = monotonicClock.now()
      const bytes = reserveBytes(request)
      const begin = (): void => { listener(request, response) }
      const reservation = bytes > FREE_BODY_BYTES ? memory.reserve(bytes, begin) : null
      response.once('close', () => {
        reservation?.release()
        connection.openRequests--
        connection.isBusy = connection.openRequests > 0
        connection.lastUsedAt = monotonicClock.now()
      })
      if (reservation === null || reservation.isGranted()) begin()
    }
  }

  function watch (server: Server): void {
    server.on('connection', addConnection)
    const timer = setInterval(closeIdle, Math.min(options.idleMs / 2, 1000)).unref()
    server.once('close', () => { clearInterval(timer) })
  }

  return { wrap, watch }
}
