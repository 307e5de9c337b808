import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'

/**
 * Ends a connection at once with a TCP reset. The operating system then discards what the peer has not confirmed. After an ordinary
 * close it keeps sending these bytes, and they reach the peer even long after, when a partition has healed.
 * TLS sockets and sockets that are still connecting or already ending are destroyed instead, since Node.js can't reset them.
 */
export function resetSocket (socket: Socket): void {
  const canReset = !socket.destroyed && !socket.connecting && !socket.writableEnded && !(socket instanceof TLSSocket)
  if (canReset) socket.resetAndDestroy()
  else socket.destroy()
}
