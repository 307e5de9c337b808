import type { WebSocket } from 'ws'

/** Queue for the messages of a socket, so that none is lost between the handshake and the registration of a listener. */
export interface Inbox {
  /**
   * Waits for the next message and removes it from the queue.
   * @param timeoutMs - time to wait in milliseconds
   * @throws Error when the socket closes or the time expires
   */
  next: (timeoutMs: number) => Promise<Buffer>
  /** Delivers all queued and all later messages to the listener. */
  deliverTo: (listener: (data: Buffer) => void) => void
}

export function createInbox (socket: WebSocket): Inbox {
  const queued: Buffer[] = []
  let deliver: ((data: Buffer) => void) | null = null
  let hasEnded = false
  let wake: () => void = () => {}

  socket.on('message', (data: Buffer) => {
    if (deliver !== null) {
      deliver(data)
      return
    }
    queued.push(data)
    wake()
  })
  socket.on('close', () => {
    hasEnded = true
    wake()
  })

  async function next (timeoutMs: number): Promise<Buffer> {
    const first = queued.shift()
    if (first !== undefined) return first
    if (hasEnded) throw new Error('the connection ended during the handshake')
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs)
      wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    const data = queued.shift()
    if (data === undefined) throw new Error(hasEnded ? 'the connection ended during the handshake' : 'the handshake timed out')
    return data
  }

  return {
    next,
    deliverTo: (listener) => {
      deliver = listener
      for (const data of queued.splice(0)) listener(data)
    }
  }
}
