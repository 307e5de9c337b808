import type { Socket } from 'node:net'

/** @returns the TCP connection that carries a connection, which is another object where the connection is encrypted */
export function findTransport (socket: Socket): Socket {
  return (socket as Socket & { _parent?: Socket })._parent ?? socket
}
