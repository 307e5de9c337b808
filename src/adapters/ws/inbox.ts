import type { WebSocket } from 'ws'

/** Keeps messages of a socket until somebody takes them, so that none is lost between handshake and first listener. */
export interface Inbox {
  /**
   * Takes the next message.
   * @param limitMs - time to wait in milliseconds
   * @throws Error when the socket ends or the time is over
   */
  next: (limitMs: number) => Promise<Buffer>
  /** Delivers all kept and later messages to the listener. */
  deliverTo: (listener: (data: Buffer) => void) => void
}

export function createInbox (socket: WebSocket): Inbox {
  const kept: Buffer[] = []
  let deliver: ((data: Buffer) => void) | null = null
  let ended = false
  let wake: () => void = () => {}

  socket.on('message', (data: Buffer) => {
    if (deliver !== null) {
      deliver(data)
      return
    }
    kept.push(data)
    wake()
  })
  socket.on('close', () => {
    ended = true
    wake()
  })

  async function next (limitMs: number): Promise<Buffer> {
    const first = kept.shift()
    if (first !== undefined) return first
    if (ended) throw new Error('the connection ended during the handshake')
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, limitMs)
      wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    const data = kept.shift()
    if (data === undefined) throw new Error(ended ? 'the connection ended during the handshake' : 'the handshake timed out')
    return data
  }

  return {
    next,
    deliverTo: (listener) => {
      deliver = listener
      for (const data of kept.splice(0)) listener(data)
    }
  }
}
