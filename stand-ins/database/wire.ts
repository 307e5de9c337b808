import type { Socket } from 'node:net'
import { createDelayedQueue } from './delayed-queue.js'
import type { NetworkConditions, TrafficKind } from './network-conditions.js'

/** A socket whose traffic passes through the simulated network. */
export interface Wire {
  /** @param extraDelayMs - delay in addition to that of the network */
  send: (bytes: Buffer, extraDelayMs?: number) => void
  /** Sets the one listener for received bytes; replaces the previous one. */
  onReceive: (listener: (bytes: Buffer) => void) => void
  /** Calls the listener once when the connection has ended, whichever side ended it. */
  onEnd: (listener: () => void) => void
  /** Drops all further traffic but keeps the socket open. */
  silence: () => void
  /** Sends the queued bytes, then ends the connection. */
  end: () => void
  /** Closes the connection at once; queued bytes are lost. */
  destroy: () => void
}

/**
 * Puts a socket behind the simulated network. A connection that lost bytes to a partition stays silent for good, since its
 * byte stream has a gap.
 * @param kind - decides which partitions drop its traffic
 */
export function createWire (socket: Socket, kind: TrafficKind, conditions: NetworkConditions): Wire {
  let isSilent = false
  let hasEnded = false
  let receiveListener: (bytes: Buffer) => void = () => {}
  const endListeners: (() => void)[] = []

  const isHeld = (): boolean => conditions.isFrozen

  function shouldDrop (): boolean {
    if (conditions.dropped.has(kind)) isSilent = true
    return isSilent || hasEnded
  }

  const inbound = createDelayedQueue<Buffer>(isHeld, (bytes) => { if (!shouldDrop()) receiveListener(bytes) })
  const outbound = createDelayedQueue<Buffer | null>(isHeld, (bytes) => {
    if (shouldDrop()) return
    if (bytes === null) socket.end()
    else socket.write(bytes)
  })
  const removeThawListener = conditions.onThaw(() => {
    inbound.deliverDue()
    outbound.deliverDue()
  })

  socket.setNoDelay(true)
  socket.on('data', (bytes) => { if (!shouldDrop()) inbound.push(bytes, conditions.delayMs) })
  // A close event follows each error, and its listener cleans up.
  socket.on('error', () => {})
  socket.on('close', () => {
    hasEnded = true
    removeThawListener()
    inbound.clear()
    outbound.clear()
    for (const listener of endListeners) listener()
  })

  return {
    send: (bytes, extraDelayMs = 0) => { if (!shouldDrop()) outbound.push(bytes, conditions.delayMs + extraDelayMs) },
    onReceive: (listener) => { receiveListener = listener },
    onEnd: (listener) => { endListeners.push(listener) },
    silence: () => { isSilent = true },
    end: () => outbound.push(null, conditions.delayMs),
    destroy: () => socket.destroy()
  }
}
