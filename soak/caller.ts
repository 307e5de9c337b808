import { connect } from 'node:net'
import type { Socket } from 'node:net'

/**
 * Outcome of a statement as its caller received it.
 * - `done`: success
 * - `not-kept`: an error code that promises that nothing of the operation is kept
 * - `unknown`: any other error, or no answer
 */
export type StatementOutcome = 'done' | 'not-kept' | 'unknown'

/** Answer to one statement. `code` is the error code, or null if there is none. */
export interface Answer {
  outcome: StatementOutcome
  rows: string[]
  code: string | null
}

const NOT_KEPT_CODES = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'])
/** A caller that waits longer for an answer closes its connection. */
const DEFAULT_ANSWER_TIMEOUT_MS = 3000

/** One session of a caller over the platform's wire protocol. */
export interface CallerConnection {
  /** Sends a statement. @returns its answer; `unknown` if the connection closes first or no answer arrives in time */
  query: (id: string, text: string) => Promise<Answer>
  isOpen: () => boolean
  close: () => void
}

const UNKNOWN_ANSWER: Answer = { outcome: 'unknown', rows: [], code: null }

/**
 * Opens a session.
 * @param answerTimeoutMs - time after which the caller closes its connection when an answer is missing
 * @returns null if the session is refused or no answer arrives
 */
export async function openCaller (host: string, port: number, database: string, key: string, answerTimeoutMs = DEFAULT_ANSWER_TIMEOUT_MS): Promise<CallerConnection | null> {
  const socket: Socket = connect({ host, port, noDelay: true })
  let unparsed = ''
  let isOpen = true
  let rows: string[] = []
  let statusLine: string | null = null
  let settleAnswer: ((answer: Answer) => void) | null = null

  function finish (answer: Answer): void {
    const current = settleAnswer
    settleAnswer = null
    rows = []
    statusLine = null
    current?.(answer)
  }

  function end (): void {
    isOpen = false
    socket.destroy()
    finish(UNKNOWN_ANSWER)
  }

  function handleLine (line: string): void {
    const [word, code = ''] = line.split(' ')
    if (word === 'ROW') rows.push(line.slice(4))
    if (word === 'DONE' || word === 'ERROR') statusLine = line
    if (word !== 'READY') return
    const isDone = statusLine?.startsWith('ERROR') !== true
    const errorCode = isDone ? null : (statusLine?.split(' ')[1] ?? code)
    finish({ outcome: isDone ? 'done' : NOT_KEPT_CODES.has(errorCode ?? '') ? 'not-kept' : 'unknown', rows, code: errorCode })
  }

  async function waitForAnswer (): Promise<Answer> {
    return await new Promise((resolve) => {
      const timer = setTimeout(end, answerTimeoutMs)
      settleAnswer = (answer) => {
        clearTimeout(timer)
        resolve(answer)
      }
    })
  }

  socket.on('data', (bytes) => {
    unparsed += bytes.toString('latin1')
    const lines = unparsed.split('\r\n')
    unparsed = lines.pop() ?? ''
    for (const line of lines) handleLine(line)
  })
  socket.on('error', end)
  socket.on('close', end)
  socket.write(`START ${database} ${key}\r\n`)
  const greeting = await waitForAnswer()
  if (greeting.outcome !== 'done' || !isOpen) {
    end()
    return null
  }
  return {
    query: async (id, text) => {
      if (!isOpen) return UNKNOWN_ANSWER
      const pending = waitForAnswer()
      socket.write(`QUERY ${id} ${text}\r\n`)
      return await pending
    },
    isOpen: () => isOpen,
    close: end
  }
}
