import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** Faults of a stand-in database. */
export interface WireFaults {
  /** Error codes for the next data statements, in order. The database refuses each with one code and does not run it. */
  refusalCodes: string[]
  /** Number of following statements that the database runs without sending an answer. */
  answersToDrop: number
  /** Whether the database writes its answers one character at a time. */
  shouldSplitAnswers: boolean
  /** Error code with which the database refuses connections; null: it accepts them. */
  connectionRefusalCode: string | null
}

/** A data or transaction statement that a stand-in database ran. */
export interface RanStatement {
  id: string
  text: string
  /** Workspace of the session that sent the statement. */
  workspace: string
}

/** Stand-in for one database of the platform. It stores no values and does not replicate; a test sets its role, term and offset. */
export interface WireDatabase {
  readonly address: string
  readonly faults: WireFaults
  /** Statements that the database ran, in order of execution. */
  readonly ran: RanStatement[]
  /** Every line that the database received, so that a test can search for what must not reach it. */
  readonly received: string[]
  role: 'primary' | 'replica'
  term: number
  offset: number
  /** Term for which a PAUSE statement fenced the database; 0 while it accepts replication. */
  fencedTerm: number
  connectionCount: () => number
  close: () => Promise<void>
}

interface Session {
  workspace: string
  state: 'I' | 'T' | 'E'
  isReadWrite: boolean
  writeCount: number
  values: Map<string, string>
  prepared: Map<string, string>
}

/**
 * Starts a stand-in database that speaks the platform's wire protocol on loopback.
 * @param service - service that connections must name; others are refused with MISROUTED
 */
export async function startWireDatabase (service: string, id: string, role: 'primary' | 'replica' = 'primary'): Promise<WireDatabase> {
  const sockets = new Set<Socket>()
  const faults: WireFaults = { refusalCodes: [], answersToDrop: 0, shouldSplitAnswers: false, connectionRefusalCode: null }
  const server: Server = createServer((socket) => { serveSocket(socket) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const listening = server.address()
  const port = typeof listening === 'object' && listening !== null ? listening.port : 0
  const database: WireDatabase = {
    address: `127.0.0.1:${port}`,
    faults,
    ran: [],
    received: [],
    role,
    term: 3,
    offset: 100,
    fencedTerm: 0,
    connectionCount: () => sockets.size,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
    }
  }

  const formatPosition = (): string => `${database.term}.${database.offset}`

  function send (socket: Socket, text: string): void {
    const pieces = faults.shouldSplitAnswers ? [...text] : [text]
    for (const piece of pieces) socket.write(piece)
  }

  function serveSocket (socket: Socket): void {
    sockets.add(socket)
    socket.setNoDelay(true)
    // Lines are read as Latin-1, so this preserves every byte.
    socket.setDefaultEncoding('latin1')
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
    let session: Session | null = null
    let buffered = ''
    socket.on('data', (bytes) => {
      buffered += bytes.toString('latin1')
      const lines = buffered.split('\r\n')
      buffered = lines.pop() ?? ''
      for (const line of lines) {
        database.received.push(line)
        if (session === null) session = startSession(socket, line)
        else if (line === 'CLOSE') socket.end()
        else handleLine(socket, session, line)
      }
    })
  }

  function startSession (socket: Socket, line: string): Session | null {
    const [, requestedService, workspace = '', expectedDatabase] = line.split(' ')
    const refusal = faults.connectionRefusalCode ?? (requestedService === service && (expectedDatabase === undefined || expectedDatabase === id) ? null : 'MISROUTED')
    if (refusal !== null) {
      socket.end(`ERROR ${refusal} ${id}\r\n`)
      return null
    }
    send(socket, `READY I ${formatPosition()}\r\n`)
    return { workspace, state: 'I', isReadWrite: false, writeCount: 0, values: new Map(), prepared: new Map() }
  }

  function handleLine (socket: Socket, session: Session, line: string): void {
    const [, statementId = '', ...words] = line.split(' ')
    const answer = runStatement(session, statementId, words.join(' '))
    if (answer === null) return
    send(socket, `${answer}\r\nREADY ${session.state} ${formatPosition()}\r\n`)
  }

  /** @returns the answer, or null when a fault loses it */
  function runStatement (session: Session, statementId: string, receivedText: string): string | null {
    const afterMatch = /^AFTER (\d+)\.(\d+) (.*)$/s.exec(receivedText)
    const text = afterMatch?.[3] ?? receivedText
    const [verb = '', name = '', ...rest] = text.split(' ')
    const isData = verb === 'READ' || verb === 'WRITE' || verb === 'EXECUTE' || verb === 'COMMIT' || verb === 'BEGIN'
    const refusal = isData ? faults.refusalCodes.shift() : undefined
    if (refusal !== undefined) return refuseStatement(session, refusal)
    const isBehind = afterMatch !== null && (Number(afterMatch[1]) > database.term || (Number(afterMatch[1]) === database.term && Number(afterMatch[2]) > database.offset))
    if (isBehind) return refuseStatement(session, 'LAGGING')
    if (verb === 'PAUSE' && database.role === 'replica' && Number(name) > database.term) database.fencedTerm = Number(name)
    if (verb === 'RESUME') database.fencedTerm = 0
    if (verb === 'STATUS' || verb === 'PAUSE' || verb === 'RESUME') return `ROW ${database.role} ${database.term} ${formatPosition()} ${database.fencedTerm} 12 0 1\r\nDONE -`
    if (verb === 'SET') session.values.set(name, rest.join(' '))
    if (verb === 'PREPARE') session.prepared.set(name, rest.join(' '))
    if (verb === 'RESET') {
      session.values.clear()
      session.prepared.clear()
    }
    if (!isData && verb !== 'ROLLBACK') return 'DONE -'
    return runDataStatement(session, statementId, verb, name, text)
  }

  function runDataStatement (session: Session, statementId: string, verb: string, name: string, text: string): string | null {
    if (session.state === 'E' && verb !== 'ROLLBACK') return 'ERROR MALFORMED failed'
    const preparedText = verb === 'EXECUTE' ? session.prepared.get(name) : undefined
    if (verb === 'EXECUTE' && preparedText === undefined) return refuseStatement(session, 'NOSTMT')
    const isWrite = verb === 'WRITE' || preparedText?.startsWith('WRITE') === true
    const isReadWriteBegin = verb === 'BEGIN' && name !== 'READ'
    if (database.role === 'replica' && (isWrite || isReadWriteBegin || (session.state === 'T' && session.isReadWrite))) return refuseStatement(session, 'READONLY')
    database.ran.push({ id: statementId, text, workspace: session.workspace })
    if (verb === 'BEGIN') Object.assign(session, { state: 'T', isReadWrite: isReadWriteBegin, writeCount: 0 })
    if (verb === 'ROLLBACK') session.state = 'I'
    if (isWrite && session.state === 'T') session.writeCount++
    if (isWrite && session.state === 'I') database.offset++
    if (verb === 'COMMIT') {
      if (session.writeCount > 0) database.offset++
      session.state = 'I'
    }
    if (statementId !== '-' && faults.answersToDrop > 0) {
      faults.answersToDrop--
      return null
    }
    return verb === 'READ' || (verb === 'EXECUTE' && !isWrite) ? `ROW ${name}=v\r\nDONE proof.${statementId}` : `DONE proof.${statementId}`
  }

  function refuseStatement (session: Session, code: string): string {
    if (session.state === 'T') session.state = 'E'
    return `ERROR ${code} ${id}`
  }

  return database
}
