import type { Socket } from 'node:net'
import { createDelayedQueue } from './delayed-queue.js'
import type { NetworkConditions, TrafficKind } from './network-conditions.js'

/** A socket behind the simulated network. */
export interface Wire {
  /** @param extraDelayMs - added to the delay of the network */
  send: (bytes: Buffer, extraDelayMs?: number) => void
  /** Replaces the receiver of bytes. */
  onReceive: (listener: (bytes: Buffer) => void) => void
  /** Calls the listener once when the connection has ended, by whichever side. */
  onEnd: (listener: () => void) => void
  /** Drops all traffic from now on but keeps the socket open. */
  goSilent: () => void
  /** Sends what is queued, then ends. */
  end: () => void
  destroy: () => void
}

/** @returns the wire; a connection that lost bytes to a partition stays silent for good, as its byte stream has a gap */
export function createWire (socket: Socket, kind: TrafficKind, conditions: NetworkConditions): Wire {
  let silent = false
  let ended = false
  let receive: (bytes: Buffer) => void = () => {}
  const endListeners: (() => void)[] = []

  const isHeld = (): boolean => conditions.frozen

  function isLost (): boolean {
    if (conditions.dropped.has(kind)) silent = true
    return silent || ended
  }

  const inbound = createDelayedQueue<Buffer>(isHeld, (bytes) => { if (!isLost()) receive(bytes) })
  const outbound = createDelayedQueue<Buffer | null>(isHeld, (bytes) => {
    if (isLost()) return
    if (bytes === null) socket.end()
    else socket.write(bytes)
  })
  const stopWatching = conditions.onThaw(() => {
    inbound.pump()
    outbound.pump()
  })

  socket.setNoDelay(true)
  socket.on('data', (bytes) => { if (!isLost()) inbound.push(bytes, conditions.delayMs) })
  // A close event follows each error.
  socket.on('error', () => {})
  socket.on('close', () => {
    ended = true
    stopWatching()
    inbound.clear()
    outbound.clear()
    for (const listener of endListeners) listener()
  })

  return {
    send: (bytes, extraDelayMs = 0) => { if (!isLost()) outbound.push(bytes, conditions.delayMs + extraDelayMs) },
    onReceive: (listener) => { receive = listener },
    onEnd: (listener) => { endListeners.push(listener) },
    goSilent: () => { silent = true },
    end: () => outbound.push(null, conditions.delayMs),
    destroy: () => socket.destroy()
  }
}
