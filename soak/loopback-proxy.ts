import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { reservePort } from '../stand-ins/network/reserve-ports.js'

/**
 * How a proxy handles traffic.
 * - `forward`: forwards all bytes
 * - `slow`: forwards all bytes after a delay
 * - `silent`: drops all bytes and keeps connections open
 * - `deaf`: forwards bytes from clients and drops bytes from the server
 * - `partition`: keeps all bytes and the ends of connections, and forwards them in order after the next change of the mode, except what
 *   the sender has discarded meanwhile by a reset
 * - `hold`: like `partition`, but a reset discards nothing, as if the bytes were already in the inbox of a receiver that stands still
 */
export type ProxyMode = 'forward' | 'slow' | 'silent' | 'deaf' | 'partition' | 'hold'

const SLOW_DELAY_MS = 120

/** A TCP proxy in front of one server that can delay, drop or reset its traffic. */
export interface LoopbackProxy {
  readonly address: string
  mode: ProxyMode
  /** @returns number of connections of which neither end is closed */
  countOpen: () => number
  /** @returns number of connections that one of their ends has reset */
  countResets: () => number
  /** Resets all open connections. */
  reset: () => void
  /** Stops listening, so that new connections are refused. */
  refuse: () => void
  /** Listens again. */
  accept: () => Promise<void>
  close: () => void
}

/** Starts a proxy on a free port of `host`. It opens a connection to the target for each connection that it accepts. */
export async function startLoopbackProxy (host: string, target: { host: string, port: number }): Promise<LoopbackProxy> {
  const pairs = new Set<[Socket, Socket]>()
  let currentMode: ProxyMode = 'forward'
  let held: { from: Socket, forward: () => void }[] = []
  let resetCount = 0

  function relay (from: Socket, to: Socket, isAnswer: boolean): void {
    from.on('data', (bytes) => {
      const { mode } = proxy
      if (mode === 'hold' || mode === 'partition') {
        held.push({ from, forward: () => { to.write(bytes) } })
        return
      }
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
      socket.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code !== 'ECONNRESET') return
        resetCount++
        if (proxy.mode === 'partition') held = held.filter(({ from }) => from !== socket)
      })
      socket.on('close', () => {
        pairs.delete(pair)
        if (proxy.mode === 'hold' || proxy.mode === 'partition') held.push({ from: socket, forward: () => { other.destroySoon() } })
        // While the proxy drops bytes, it also hides from each end that the other one has closed the connection.
        if (proxy.mode === 'forward' || proxy.mode === 'slow') other.destroy()
      })
    }
  })
  const listen = (port: number): Promise<void> => new Promise((resolve) => { server.listen(port, host, resolve) })
  const { port, release } = await reservePort(host)
  await listen(port)

  function reset (): void {
    for (const [incoming, outgoing] of pairs) {
      incoming.resetAndDestroy()
      outgoing.resetAndDestroy()
    }
  }

  const proxy: LoopbackProxy = {
    address: `${host}:${port}`,
    get mode () { return currentMode },
    set mode (next) {
      currentMode = next
      if (next === 'hold' || next === 'partition') return
      const released = held
      held = []
      for (const { forward } of released) forward()
    },
    countOpen: () => pairs.size,
    countResets: () => resetCount,
    reset,
    refuse: () => { server.close() },
    accept: () => listen(port),
    close: () => {
      server.close()
      reset()
      release()
    }
  }
  return proxy
}
