import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'

/**
 * How a proxy handles traffic.
 * - `forward`: forwards all bytes
 * - `slow`: forwards all bytes after a delay
 * - `silent`: drops all bytes and keeps connections open
 * - `deaf`: forwards bytes from clients and drops bytes from the server
 */
export type ProxyMode = 'forward' | 'slow' | 'silent' | 'deaf'

const SLOW_DELAY_MS = 120

/** A TCP proxy in front of one server that can delay, drop or reset its traffic. */
export interface LoopbackProxy {
  readonly address: string
  mode: ProxyMode
  /** Resets all open connections. */
  reset: () => void
  close: () => void
}

/** Starts a proxy on a free port of `host`. It opens a connection to the target for each connection that it accepts. */
export async function startLoopbackProxy (host: string, target: { host: string, port: number }): Promise<LoopbackProxy> {
  const pairs = new Set<[Socket, Socket]>()

  function relay (from: Socket, to: Socket, isAnswer: boolean): void {
    from.on('data', (bytes) => {
      const { mode } = proxy
      if (mode === 'silent' || (mode === 'deaf' && isAnswer)) return
      if (mode === 'slow') setTimeout(() => { to.write(bytes) }, SLOW_DELAY_MS)
      else to.write(bytes)
    })
  }

  const server = createServer({ noDelay: true }, (incoming) => {
    const outgoing = connect({ ...target, noDelay: true })
    const pair: [Socket, Socket] = [incoming, outgoing]
    pairs.add(pair)
    relay(incoming, outgoing, false)
    relay(outgoing, incoming, true)
    for (const [socket, other] of [pair, [outgoing, incoming] as const]) {
      socket.on('error', () => {})
      socket.on('close', () => {
        pairs.delete(pair)
        // While the proxy drops bytes, it also hides from each end that the other one has closed the connection.
        if (proxy.mode === 'forward' || proxy.mode === 'slow') other.destroy()
      })
    }
  })
  await new Promise<void>((resolve) => { server.listen(0, host, resolve) })
  const listening = server.address()

  function reset (): void {
    for (const [incoming, outgoing] of pairs) {
      incoming.resetAndDestroy()
      outgoing.resetAndDestroy()
    }
  }

  const proxy: LoopbackProxy = {
    address: `${host}:${typeof listening === 'object' && listening !== null ? listening.port : 0}`,
    mode: 'forward',
    reset,
    close: () => {
      server.close()
      reset()
    }
  }
  return proxy
}
