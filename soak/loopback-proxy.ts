import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'

/**
 * - `forward`: passes everything on
 * - `slow`: passes it on later
 * - `silent`: passes nothing on and closes nothing
 * - `deaf`: passes on what clients send, and none of the answers
 */
export type ProxyMode = 'forward' | 'slow' | 'silent' | 'deaf'

const SLOW_MS = 120

/** Stands between our processes and one server, and disturbs what passes. */
export interface LoopbackProxy {
  readonly address: string
  mode: ProxyMode
  /** Resets all connections that are open. */
  reset: () => void
  close: () => void
}

/** Listens on a port of its own and connects each connection to the target. */
export async function startLoopbackProxy (host: string, target: { host: string, port: number }): Promise<LoopbackProxy> {
  const pairs = new Set<[Socket, Socket]>()

  function pass (from: Socket, to: Socket, isAnswer: boolean): void {
    from.on('data', (bytes) => {
      const { mode } = proxy
      if (mode === 'silent' || (mode === 'deaf' && isAnswer)) return
      if (mode === 'slow') setTimeout(() => { to.write(bytes) }, SLOW_MS)
      else to.write(bytes)
    })
  }

  const server = createServer({ noDelay: true }, (incoming) => {
    const outgoing = connect({ ...target, noDelay: true })
    const pair: [Socket, Socket] = [incoming, outgoing]
    pairs.add(pair)
    pass(incoming, outgoing, false)
    pass(outgoing, incoming, true)
    for (const [socket, other] of [pair, [outgoing, incoming] as const]) {
      socket.on('error', () => {})
      socket.on('close', () => {
        pairs.delete(pair)
        // A connection through a silent path does not learn that the other end is gone.
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
