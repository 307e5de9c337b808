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
  /** `whole`: a whole answer arrived; `cut`: the other end closed the connection first; `left`: the caller gave up first. */
  end: 'whole' | 'cut' | 'left'
  /** Bytes of an answer that was cut. */
  partialBytes: number
  /** Error code of the connection, for example ECONNRESET; null if it ended without an error or is open. */
  connectionError: string | null
}

/** How a caller reads the answer to a statement. */
export interface QueryOptions {
  /** Time after which the caller begins to read, in milliseconds. Default: 0. */
  readAfterMs?: number
  /** Whether the caller closes its direction of the connection after the statement. */
  closesAfterSending?: boolean
}

const NOT_KEPT_CODES = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'])
/** A caller that waits longer for an answer closes its connection, unless it chooses another time. */
const DEFAULT_ANSWER_TIMEOUT_MS = 3000

/** One session of a caller over the platform's wire protocol. */
export interface CallerConnection {
  /** Address of the entry instance. */
  readonly host: string
  /** Sends a statement. @returns its answer; `unknown` if the connection closes first or no answer arrives in time */
  query: (id: string, text: string, options?: QueryOptions) => Promise<Answer>
  isOpen: () => boolean
  close: () => void
}

const UNKNOWN_ANSWER: Answer = { outcome: 'unknown', rows: [], code: null, end: 'left', partialBytes: 0, connectionError: null }

/**
 * Opens a session.
 * @param answerTimeoutMs - time after which the caller gives up on an answer and closes its connection
 * @returns null if the session is refused or no answer arrives
 */
export async function openCaller (host: string, port: number, database: string, key: string, answerTimeoutMs = DEFAULT_ANSWER_TIMEOUT_MS): Promise<CallerConnection | null> {
  const socket: Socket = connect({ host, port, noDelay: true })
  // Texts have one character a byte, in both directions.
  socket.setDefaultEncoding('latin1')
  let unparsed = ''
  let isOpen = true
  let rows: string[] = []
  let statusLine: string | null = null
  let receivedBytes = 0
  let connectionError: string | null = null
  /** Callbacks of the statements without an answer, in the order in which they were sent. */
  const pending: ((answer: Answer) => void)[] = []

  function finish (answer: Answer): void {
    rows = []
    statusLine = null
    receivedBytes = 0
    pending.shift()?.(answer)
  }

  function end (reason: 'cut' | 'left'): void {
    isOpen = false
    socket.destroy()
    while (pending.length > 0) finish({ ...UNKNOWN_ANSWER, end: reason, partialBytes: receivedBytes, connectionError })
  }

  function handleLine (line: string): void {
    receivedBytes += line.length + 2
    const [word, code = ''] = line.split(' ')
    if (word === 'ROW') rows.push(line.slice(4))
    if (word === 'DONE' || word === 'ERROR') statusLine = line
    if (word !== 'READY') return
    const isDone = statusLine?.startsWith('ERROR') !== true
    const errorCode = isDone ? null : (statusLine?.split(' ')[1] ?? code)
    finish({ outcome: isDone ? 'done' : NOT_KEPT_CODES.has(errorCode ?? '') ? 'not-kept' : 'unknown', rows, code: errorCode, end: 'whole', partialBytes: 0, connectionError: null })
  }

  async function waitForAnswer (): Promise<Answer> {
    return await new Promise((resolve) => {
      const timer = setTimeout(() => { end('left') }, answerTimeoutMs)
      pending.push((answer) => {
        clearTimeout(timer)
        resolve(answer)
      })
    })
  }

  socket.on('data', (bytes) => {
    unparsed += bytes.toString('latin1')
    const lines = unparsed.split('\r\n')
    unparsed = lines.pop() ?? ''
    for (const line of lines) handleLine(line)
  })
  socket.on('error', ({ code }: NodeJS.ErrnoException) => { connectionError = code ?? 'unknown' })
  socket.on('close', () => {
    receivedBytes += unparsed.length
    end('cut')
  })
  socket.write(`START ${database} ${key}\r\n`)
  const greeting = await waitForAnswer()
  if (greeting.outcome !== 'done' || !isOpen) {
    end('left')
    return null
  }
  return {
    host,
    query: async (id, text, { readAfterMs = 0, closesAfterSending = false } = {}) => {
      if (!isOpen) return UNKNOWN_ANSWER
      const answer = waitForAnswer()
      if (readAfterMs > 0) {
        socket.pause()
        setTimeout(() => { socket.resume() }, readAfterMs)
      }
      socket.write(`QUERY ${id} ${text}\r\n`)
      if (closesAfterSending) socket.end()
      return await answer
    },
    isOpen: () => isOpen,
    close: () => { end('left') }
  }
}
