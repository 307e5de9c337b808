import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** What the next statements of a stand-in database meet. */
export interface WireFaults {
  /** Codes with which the next statements are refused, in order; they do not run. */
  refusals: string[]
  /** The next answers are lost after the statement ran. */
  lostAnswers: number
  /** Answers are sent one byte at a time. */
  splitsAnswers: boolean
  /** Code with which connections are refused; null: they are taken. */
  refusesConnections: string | null
}

/** A statement that ran, in order of execution. */
export interface RanStatement {
  id: string
  text: string
  who: string
}

export interface WireDatabase {
  readonly address: string
  readonly faults: WireFaults
  readonly ran: RanStatement[]
  /** Every line that callers of the database sent, for a search of what it was told. */
  readonly received: string[]
  role: 'primary' | 'replica'
  term: number
  offset: number
  /** Term up to which the database was told to receive nothing; 0 while it receives. */
  heldTerm: number
  connectionCount: () => number
  close: () => Promise<void>
}

interface Session {
  who: string
  state: 'I' | 'T' | 'E'
  isPlain: boolean
  written: number
  values: Map<string, string>
  prepared: Map<string, string>
}

/** Starts a stand-in database that speaks the platform's wire protocol on loopback. */
export async function startWireDatabase (service: string, id: string, role: 'primary' | 'replica' = 'primary'): Promise<WireDatabase> {
  const sockets = new Set<Socket>()
  const faults: WireFaults = { refusals: [], lostAnswers: 0, splitsAnswers: false, refusesConnections: null }
  const server: Server = createServer((socket) => { serve(socket) })
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
    heldTerm: 0,
    connectionCount: () => sockets.size,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
    }
  }

  const position = (): string => `${database.term}.${database.offset}`

  function send (socket: Socket, text: string): void {
    const pieces = faults.splitsAnswers ? [...text] : [text]
    for (const piece of pieces) socket.write(piece)
  }

  function serve (socket: Socket): void {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
    let session: Session | null = null
    let held = ''
    socket.on('data', (bytes) => {
      held += bytes.toString('latin1')
      const lines = held.split('\r\n')
      held = lines.pop() ?? ''
      for (const line of lines) {
        database.received.push(line)
        if (session === null) session = start(socket, line)
        else if (line === 'CLOSE') socket.end()
        else query(socket, session, line)
      }
    })
  }

  function start (socket: Socket, line: string): Session | null {
    const [, group, who = '', expected] = line.split(' ')
    const refusal = faults.refusesConnections ?? (group === service && (expected === undefined || expected === id) ? null : 'MISROUTED')
    if (refusal !== null) {
      socket.end(`ERROR ${refusal} ${id}\r\n`)
      return null
    }
    send(socket, `READY I ${position()}\r\n`)
    return { who, state: 'I', isPlain: false, written: 0, values: new Map(), prepared: new Map() }
  }

  function query (socket: Socket, session: Session, line: string): void {
    const [, statementId = '', ...words] = line.split(' ')
    const answer = run(session, statementId, words.join(' '))
    if (answer === null) return
    send(socket, `${answer}\r\nREADY ${session.state} ${position()}\r\n`)
  }

  /** @returns the answer, or null when it is lost */
  function run (session: Session, statementId: string, given: string): string | null {
    const match = /^AFTER (\d+)\.(\d+) (.*)$/.exec(given)
    const text = match?.[3] ?? given
    const [verb = '', name = '', ...rest] = text.split(' ')
    const isData = verb === 'READ' || verb === 'WRITE' || verb === 'EXECUTE' || verb === 'COMMIT' || verb === 'BEGIN'
    const refusal = isData ? faults.refusals.shift() : undefined
    if (refusal !== undefined) return fail(session, refusal)
    const lacks = match !== null && (Number(match[1]) > database.term || (Number(match[1]) === database.term && Number(match[2]) > database.offset))
    if (lacks) return fail(session, 'LAGGING')
    if (verb === 'PAUSE' && database.role === 'replica' && Number(name) > database.term) database.heldTerm = Number(name)
    if (verb === 'RESUME') database.heldTerm = 0
    if (verb === 'STATUS' || verb === 'PAUSE' || verb === 'RESUME') return `ROW ${database.role} ${database.term} ${position()} ${database.heldTerm} 12 0 1\r\nDONE -`
    if (verb === 'SET') session.values.set(name, rest.join(' '))
    if (verb === 'PREPARE') session.prepared.set(name, rest.join(' '))
    if (verb === 'RESET') {
      session.values.clear()
      session.prepared.clear()
    }
    if (!isData && verb !== 'ROLLBACK') return 'DONE -'
    return runData(session, statementId, verb, name, text)
  }

  function runData (session: Session, statementId: string, verb: string, name: string, text: string): string | null {
    if (session.state === 'E' && verb !== 'ROLLBACK') return 'ERROR MALFORMED failed'
    const shape = verb === 'EXECUTE' ? session.prepared.get(name) : undefined
    if (verb === 'EXECUTE' && shape === undefined) return fail(session, 'NOSTMT')
    const isWrite = verb === 'WRITE' || shape?.startsWith('WRITE') === true
    const isPlainBegin = verb === 'BEGIN' && name !== 'READ'
    if (database.role === 'replica' && (isWrite || isPlainBegin || (session.state === 'T' && session.isPlain))) return fail(session, 'READONLY')
    database.ran.push({ id: statementId, text, who: session.who })
    if (verb === 'BEGIN') Object.assign(session, { state: 'T', isPlain: isPlainBegin, written: 0 })
    if (verb === 'ROLLBACK') session.state = 'I'
    if (isWrite && session.state === 'T') session.written++
    if (isWrite && session.state === 'I') database.offset++
    if (verb === 'COMMIT') {
      if (session.written > 0) database.offset++
      session.state = 'I'
    }
    if (statementId !== '-' && faults.lostAnswers > 0) {
      faults.lostAnswers--
      return null
    }
    return verb === 'READ' || (verb === 'EXECUTE' && !isWrite) ? `ROW ${name}=v\r\nDONE proof.${statementId}` : `DONE proof.${statementId}`
  }

  function fail (session: Session, code: string): string {
    if (session.state === 'T') session.state = 'E'
    return `ERROR ${code} ${id}`
  }

  return database
}
