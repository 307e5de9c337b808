import type { Socket } from 'node:net'
import type { ClientLimitCause } from '../../types/client-limit-cause.js'
import { findTransport } from '../sockets/find-transport.js'

/** Bytes that a connection may send after its upgrade before it has proved to know the secret; a handshake has some hundreds. */
const MAX_HANDSHAKE_BYTES = 64 * 1024

export interface HandshakeLimits {
  /** Connections that may be without proof at once. The oldest of them gives way to a new one. */
  connections: number
  /** Time from the connection to the proof in milliseconds. */
  timeoutMs: number
  /** Called for each connection that a limit closes. */
  onLimited: (cause: ClientLimitCause, client: string) => void
}

/** Limits what connections that have not proved to know the secret can make a process hold. Later they are not limited. */
export interface HandshakeGuard {
  /** Begins to guard a new TCP connection. */
  add: (socket: Socket) => void
  /** Begins to count the bytes of a connection after its upgrade. */
  countBytes: (socket: Socket) => void
  /** Ends the guard of a connection that has proved to know the secret. */
  accept: (socket: Socket) => void
}

export function createHandshakeGuard ({ connections, timeoutMs, onLimited }: HandshakeLimits): HandshakeGuard {
  const endGuards = new Map<Socket, () => void>()

  function limit (socket: Socket, cause: ClientLimitCause): void {
    const client = socket.remoteAddress ?? ''
    endGuards.get(socket)?.()
    onLimited(cause, client)
    socket.destroy()
  }

  function add (socket: Socket): void {
    const [oldest] = endGuards.keys()
    if (endGuards.size >= connections && oldest !== undefined) limit(oldest, 'connections')
    const timer = setTimeout(() => { limit(socket, 'handshake') }, timeoutMs).unref()
    endGuards.set(socket, () => {
      clearTimeout(timer)
      endGuards.delete(socket)
    })
    socket.once('close', () => { endGuards.get(socket)?.() })
  }

  function countBytes (socket: Socket): void {
    let received = 0
    function count (bytes: Buffer): void {
      received += bytes.length
      if (!endGuards.has(findTransport(socket))) socket.off('data', count)
      else if (received > MAX_HANDSHAKE_BYTES) limit(findTransport(socket), 'handshake')
    }
    socket.on('data', count)
  }

  return { add, countBytes, accept: (socket) => { endGuards.get(findTransport(socket))?.() } }
}
