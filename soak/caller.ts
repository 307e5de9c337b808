import { connect } from 'node:net'
import type { Socket } from 'node:net'

/**
 * What a caller was told of a statement.
 * - `not-kept`: the promise that nothing of the operation is kept
 * - `unknown`: everything else that is no success
 */
export type Told = 'done' | 'not-kept' | 'unknown'

export interface Answer {
  told: Told
  rows: string[]
  code: string | null
}

const PROMISES = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'])
/** A caller gives a statement up after this time, in milliseconds. */
const ANSWER_LIMIT_MS = 3000

/** One session of a caller over the wire. */
export interface CallerConnection {
  /** @returns the answer; a connection that ends, or is silent for too long, tells nothing */
  query: (id: string, text: string) => Promise<Answer>
  isOpen: () => boolean
  close: () => void
}

const nothing: Answer = { told: 'unknown', rows: [], code: null }

/** Opens a session; null when it is refused or nobody answers. */
export async function openCaller (host: string, port: number, database: string, key: string): Promise<CallerConnection | null> {
  const socket: Socket = connect({ host, port, noDelay: true })
  let held = ''
  let isOpen = true
  let rows: string[] = []
  let outcome: string | null = null
  let settle: ((answer: Answer) => void) | null = null

  function finish (answer: Answer): void {
    const current = settle
    settle = null
    rows = []
    outcome = null
    current?.(answer)
  }

  function end (): void {
    isOpen = false
    socket.destroy()
    finish(nothing)
  }

  function take (line: string): void {
    const [word, code = ''] = line.split(' ')
    if (word === 'ROW') rows.push(line.slice(4))
    if (word === 'DONE' || word === 'ERROR') outcome = line
    if (word !== 'READY') return
    const isDone = outcome?.startsWith('ERROR') !== true
    const given = isDone ? null : (outcome?.split(' ')[1] ?? code)
    finish({ told: isDone ? 'done' : PROMISES.has(given ?? '') ? 'not-kept' : 'unknown', rows, code: given })
  }

  async function answer (): Promise<Answer> {
    return await new Promise((resolve) => {
      const timer = setTimeout(end, ANSWER_LIMIT_MS)
      settle = (given) => {
        clearTimeout(timer)
        resolve(given)
      }
    })
  }

  socket.on('data', (bytes) => {
    held += bytes.toString('latin1')
    const lines = held.split('\r\n')
    held = lines.pop() ?? ''
    for (const line of lines) take(line)
  })
  socket.on('error', end)
  socket.on('close', end)
  socket.write(`START ${database} ${key}\r\n`)
  const greeting = await answer()
  if (greeting.told !== 'done' || !isOpen) {
    end()
    return null
  }
  return {
    query: async (id, text) => {
      if (!isOpen) return nothing
      const pending = answer()
      socket.write(`QUERY ${id} ${text}\r\n`)
      return await pending
    },
    isOpen: () => isOpen,
    close: end
  }
}
