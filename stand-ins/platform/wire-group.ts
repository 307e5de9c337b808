import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { compareLogPositions, isAtOrPast } from '../../src/types/log-position.js'
import type { LogPosition } from '../../src/types/log-position.js'
import { reservePorts } from '../network/reserve-ports.js'
import type { GroupMember } from './group-member.js'
import type { CommittedWrite, GroupStatement, LogEntry, StatementReceipt } from './group-record.js'

export interface WireGroupOptions {
  /** Service that the group serves. A connection that names another service is refused. */
  service: string
  host: string
  /** Number of databases. */
  size: number
  /** Number of replicas that must have received a commit before the primary acknowledges it: 0 or 1. */
  syncReplicas: 0 | 1
  /** @returns time that a data statement takes, in ms */
  statementMs: () => number
  /** Time that a promotion takes, in ms. */
  promotionMs: number
}

/** Databases that replicate one log and speak the platform's wire protocol. */
export interface WireGroup {
  readonly service: string
  readonly members: readonly GroupMember[]
  /** Statements that the databases ran, in order of execution. */
  readonly statements: readonly GroupStatement[]
  /** Times of all statements that the databases received, by id, except those with the id `-`. */
  readonly receipts: ReadonlyMap<string, StatementReceipt>
  /** First line of each connection to a database. */
  readonly startLines: readonly string[]
  /** Violations of the protocol that a database detected, one line each. */
  readonly violations: string[]
  term: () => number
  primary: () => GroupMember
  /**
   * Promotes a database, as the platform's authority does on a request.
   * @param token - fencing token; a token below the highest one seen so far is refused
   * @returns HTTP status of the authority's response: 200, or 409 when it refuses
   */
  promote: (id: string, token: number) => Promise<number>
  /** Stops a database and resets its connections. It keeps its log. */
  crash: (member: GroupMember) => void
  /** Starts a stopped database on its port. A replica first makes its log equal to that of the primary, if that one is up. */
  restart: (member: GroupMember) => Promise<void>
  /** Starts a database of another name on the port and with the log of one that has ended as planned. */
  succeed: (ended: GroupMember, id: string) => Promise<GroupMember>
  close: () => Promise<void>
}

interface Session {
  number: number
  workspace: string
  state: 'I' | 'T' | 'E'
  isReadWrite: boolean
  hasBegunAsPrimary: boolean
  writes: CommittedWrite[]
  values: Map<string, string>
  prepared: Map<string, string>
  socket: Socket
}

interface ReceivedRequest {
  id: string
  /** Wall-clock time in ms. */
  receivedAt: number
}

/** Time from the receipt of a log entry by a replica until reads return its writes. Also the poll interval of replication that is blocked. */
const APPLY_DELAY_MS = 15
/** Longest time for which a commit waits for a replica to receive its entry. */
const SYNC_TIMEOUT_MS = 2000
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Starts the databases of a group. The first one is the primary. */
export async function startWireGroup (options: WireGroupOptions): Promise<WireGroup> {
  const { service } = options
  const statements: GroupStatement[] = []
  const receipts = new Map<string, StatementReceipt>()
  const startLines: string[] = []
  const violations: string[] = []
  const servers = new Map<GroupMember, Server>()
  const sockets = new Map<GroupMember, Set<Socket>>()
  const members: GroupMember[] = []
  const { ports, release } = await reservePorts(options.size, options.host)
  let term = 1
  let primaryId = ''
  let highestToken = 0
  let sessionCount = 0

  const appliedPosition = (member: GroupMember): LogPosition => findLastPosition(member.log.slice(0, member.applied))
  const receivedPosition = (member: GroupMember): LogPosition => findLastPosition(member.log)
  const formatPosition = ({ term: inTerm, offset }: LogPosition): string => `${inTerm}.${offset}`
  const isPrimary = (member: GroupMember): boolean => member.id === primaryId
  const primary = (): GroupMember => members.find(isPrimary) as GroupMember

  function findLastPosition (log: readonly LogEntry[]): LogPosition {
    const last = log[log.length - 1]
    return last === undefined ? { term: 1, offset: 0 } : { term: last.term, offset: last.offset }
  }

  /**
   * Sends a log entry to a replica, together with the earlier entries that the replica lacks. Waits while the replica is fenced or
   * cut off. The entry is dropped when one of the two databases is down, when `from` is no longer primary or when the term has changed.
   */
  async function replicate (from: GroupMember, to: GroupMember, entry: LogEntry): Promise<void> {
    await pause(to.lagMs)
    while (to.isUp && isPrimary(from) && (to.fencedTerm > 0 || to.isCutOff)) await pause(APPLY_DELAY_MS)
    if (!to.isUp || !from.isUp || !isPrimary(from) || entry.term !== term || isAtOrPast(receivedPosition(to), entry)) return
    to.log.push(...from.log.filter((known) => compareLogPositions(known, receivedPosition(to)) > 0 && compareLogPositions(known, entry) <= 0))
    setTimeout(() => { to.applied = Math.max(to.applied, Math.min(to.log.length, to.log.indexOf(entry) + 1)) }, APPLY_DELAY_MS)
  }

  /** @returns whether enough replicas received the entry. After false the entry stays in the log, so the outcome is unknown to the caller. */
  async function commit (member: GroupMember, writes: readonly CommittedWrite[]): Promise<boolean> {
    const entry: LogEntry = { term, offset: receivedPosition(member).offset + 1, writes }
    member.log.push(entry)
    member.applied = member.log.length
    const replicas = members.filter((other) => other !== member)
    for (const replica of replicas) replicate(member, replica, entry).catch(() => {})
    const deadline = Date.now() + SYNC_TIMEOUT_MS
    while (options.syncReplicas > 0 && !replicas.some(({ log }) => log.includes(entry))) {
      if (!member.isUp || !isPrimary(member) || Date.now() > deadline) return false
      await pause(2)
    }
    return member.isUp && isPrimary(member)
  }

  async function listen (member: GroupMember): Promise<void> {
    const server = createServer((socket) => { serveSocket(member, socket) })
    servers.set(member, server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(member.port, options.host, resolve)
    })
  }

  function serveSocket (member: GroupMember, socket: Socket): void {
    const memberSockets = sockets.get(member) ?? new Set()
    sockets.set(member, memberSockets)
    memberSockets.add(socket)
    socket.setNoDelay(true)
    // Lines are read as Latin-1, so this preserves every byte.
    socket.setDefaultEncoding('latin1')
    socket.on('error', () => {})
    socket.on('close', () => { memberSockets.delete(socket) })
    let buffered = ''
    let session: Session | null = null
    let previousStatement = Promise.resolve()
    socket.on('data', (bytes) => {
      buffered += bytes.toString('latin1')
      const lines = buffered.split('\r\n')
      buffered = lines.pop() ?? ''
      for (const line of lines) {
        if (line === 'CLOSE') return socket.end()
        if (session === null) session = startSession(member, socket, line)
        else {
          const current = session
          const receivedAt = Date.now()
          previousStatement = previousStatement.then(() => handleLine(member, current, line, receivedAt))
        }
      }
    })
  }

  function startSession (member: GroupMember, socket: Socket, line: string): Session | null {
    startLines.push(line)
    // Names are UTF-8, and lines are read as Latin-1.
    const [, requestedService, workspace = '', expectedDatabase] = Buffer.from(line, 'latin1').toString('utf8').split(' ')
    if (requestedService !== service || (expectedDatabase !== undefined && expectedDatabase !== member.id)) {
      socket.end(`ERROR MISROUTED ${member.id}\r\n`)
      return null
    }
    socket.write(`READY I ${formatPosition(appliedPosition(member))}\r\n`)
    return { number: ++sessionCount, workspace, state: 'I', isReadWrite: false, hasBegunAsPrimary: false, writes: [], values: new Map(), prepared: new Map(), socket }
  }

  async function handleLine (member: GroupMember, session: Session, line: string, receivedAt: number): Promise<void> {
    const [, id = '', ...words] = line.split(' ')
    const receipt: StatementReceipt = { receivedAt, finishedAt: null }
    if (id !== '-') receipts.set(id, receipt)
    const answer = await runStatement(member, session, { id, receivedAt }, words.join(' '))
    receipt.finishedAt = Date.now()
    if (member.isUp && !session.socket.destroyed) session.socket.write(`${answer}\r\nREADY ${session.state} ${formatPosition(appliedPosition(member))}\r\n`)
  }

  function formatValues ({ values }: Session): string {
    return [...values].map(([name, value]) => `${name}=${value}`).sort().join(' ')
  }

  function refuseStatement (session: Session, code: string): string {
    if (session.state === 'T') session.state = 'E'
    return `ERROR ${code} refused`
  }

  async function runStatement (member: GroupMember, session: Session, request: ReceivedRequest, receivedText: string): Promise<string> {
    const afterMatch = /^AFTER (\d+)\.(\d+) (.*)$/s.exec(receivedText)
    const statement = afterMatch?.[3] ?? receivedText
    const [verb = '', name = '', ...rest] = statement.split(' ')
    if (verb === 'STATUS' || verb === 'PAUSE' || verb === 'RESUME') return runControlStatement(member, verb, Number(name))
    if (verb === 'SET') session.values.set(name, rest.join(' '))
    if (verb === 'RESET') {
      session.prepared.clear()
      session.values.clear()
    }
    if (verb === 'PREPARE') session.prepared.set(name, rest.join(' '))
    if (verb === 'RESET' || verb === 'PREPARE' || verb === 'SET') return 'DONE -'
    if (session.state === 'E' && verb !== 'ROLLBACK') return 'ERROR MALFORMED failed'
    if (verb === 'ROLLBACK') {
      session.state = 'I'
      session.writes = []
      return 'DONE -'
    }
    if (afterMatch !== null && !isAtOrPast(appliedPosition(member), { term: Number(afterMatch[1]), offset: Number(afterMatch[2]) })) return refuseStatement(session, 'LAGGING')
    await pause(options.statementMs())
    return await runDataStatement(member, session, request, statement, verb, name, rest)
  }

  function runControlStatement (member: GroupMember, verb: string, fenceTerm: number): string {
    if (verb === 'PAUSE' && !isPrimary(member) && fenceTerm > term) member.fencedTerm = fenceTerm
    if (verb === 'RESUME') member.fencedTerm = 0
    return `ROW ${isPrimary(member) ? 'primary' : 'replica'} ${term} ${formatPosition(receivedPosition(member))} ${member.fencedTerm} 0 0 1\r\nDONE -`
  }

  async function runDataStatement (member: GroupMember, session: Session, { id, receivedAt }: ReceivedRequest, statement: string, verb: string, name: string, rest: string[]): Promise<string> {
    const preparedText = verb === 'EXECUTE' ? session.prepared.get(name) : undefined
    if (verb === 'EXECUTE' && preparedText === undefined) return refuseStatement(session, 'NOSTMT')
    const isWrite = verb === 'WRITE' || preparedText?.startsWith('WRITE') === true
    const isReadWriteBegin = verb === 'BEGIN' && name !== 'READ'
    const requiresPrimary = isWrite || isReadWriteBegin || (session.state === 'T' && session.isReadWrite && !(verb === 'COMMIT' && session.writes.length === 0))
    if (requiresPrimary && !isPrimary(member)) return refuseStatement(session, 'READONLY')
    if (id !== '-') statements.push({ at: Date.now(), receivedAt, id, text: preparedText === undefined ? statement : ['EXECUTE', preparedText, ...rest].join(' '), workspace: session.workspace, session: session.number, values: formatValues(session) })
    if (verb === 'BEGIN') {
      if (session.state !== 'I') violations.push(`BEGIN inside a transaction of ${session.workspace}`)
      Object.assign(session, { state: 'T', isReadWrite: isReadWriteBegin, writes: [] })
      return 'DONE -'
    }
    if (verb === 'COMMIT') {
      const { writes } = session
      Object.assign(session, { state: 'I', writes: [] })
      return writes.length === 0 || await commit(member, writes) ? `DONE proof.${id}` : 'ERROR TIMEOUT not replicated'
    }
    const [item = '', data = ''] = verb === 'EXECUTE' ? rest : [name, rest.join(' ')]
    if (!isWrite) return `ROW ${findValue(member, session, item)}\r\nDONE proof.${id}`
    const write = { id, item, data, workspace: session.workspace }
    if (session.state === 'T') session.writes.push(write)
    else if (!await commit(member, [write])) return 'ERROR TIMEOUT not replicated'
    return `DONE proof.${id}`
  }

  function findValue (member: GroupMember, session: Session, item: string): string {
    const ownWrite = session.writes.filter((write) => write.item === item).pop()
    if (ownWrite !== undefined) return ownWrite.data
    for (let index = member.applied - 1; index >= 0; index--) {
      const found = member.log[index]?.writes.filter((write) => write.item === item).pop()
      if (found !== undefined) return found.data
    }
    return '-'
  }

  async function promote (id: string, token: number): Promise<number> {
    await pause(options.promotionMs)
    if (token < highestToken) return 409
    highestToken = token
    const next = members.find((member) => member.id === id)
    if (next === undefined || !next.isUp) return 409
    if (isPrimary(next)) return 200
    primaryId = next.id
    term++
    for (const member of members) {
      member.fencedTerm = 0
      if (member === next) continue
      // A database that received more than the new primary discards the entries that the new primary lacks.
      while (member.log.length > 0 && !next.log.includes(member.log[member.log.length - 1] as LogEntry)) member.log.pop()
      member.applied = Math.min(member.applied, member.log.length)
      if (!member.isUp) continue
      member.log.push(...next.log.slice(member.log.length))
      member.applied = member.log.length
    }
    next.applied = next.log.length
    return 200
  }

  function crash (member: GroupMember): void {
    member.isUp = false
    servers.get(member)?.close()
    for (const socket of sockets.get(member) ?? []) socket.resetAndDestroy()
  }

  async function restart (member: GroupMember): Promise<void> {
    const current = primary()
    if (member !== current && current.isUp) {
      while (member.log.length > 0 && !current.log.includes(member.log[member.log.length - 1] as LogEntry)) member.log.pop()
      member.log.push(...current.log.slice(member.log.length))
    }
    member.applied = member.log.length
    member.fencedTerm = 0
    await listen(member)
    member.isUp = true
  }

  async function succeed (ended: GroupMember, id: string): Promise<GroupMember> {
    ended.hasEnded = true
    const member = { ...ended, id, bornAt: Date.now(), log: [...ended.log], hasEnded: false }
    members.push(member)
    await restart(member)
    return member
  }

  for (const [index, port] of ports.entries()) {
    const member: GroupMember = { id: `${service}-${index + 1}`, port, log: [], applied: 0, isUp: true, hasEnded: false, bornAt: 1, fencedTerm: 0, lagMs: 5, isCutOff: false }
    members.push(member)
    await listen(member)
  }
  primaryId = members[0]?.id ?? ''

  return {
    service,
    members,
    statements,
    receipts,
    startLines,
    violations,
    term: () => term,
    primary,
    promote,
    crash,
    restart,
    succeed,
    close: async () => {
      for (const member of members) if (member.isUp) crash(member)
      await pause(0)
      release()
    }
  }
}
