import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { compareLogPositions, isAtOrPast } from '../../src/types/log-position.js'
import type { LogPosition } from '../../src/types/log-position.js'

/** One write of a commit. */
export interface CommittedWrite {
  id: string
  item: string
  data: string
  who: string
}

/** A commit in the log of a database. */
export interface LogEntry extends LogPosition {
  writes: readonly CommittedWrite[]
}

/** A statement with a caller's id that a database ran, or a commit. */
export interface GroupRun {
  at: number
  id: string
  text: string
  who: string
  session: number
}

export interface GroupMember {
  readonly id: string
  readonly port: number
  /** What the database has received. */
  readonly log: LogEntry[]
  /** Entries of the log that reads see. */
  applied: number
  isUp: boolean
  heldTerm: number
  /** Replication reaches it after this time, in milliseconds. */
  lagMs: number
  /** A member that was cut off receives nothing. */
  isCut: boolean
}

export interface WireGroupOptions {
  service: string
  host: string
  size: number
  /** Replicas that must have received a commit before it is acknowledged: 0 or 1. */
  syncReplicas: 0 | 1
  /** Time that a statement takes, in milliseconds. */
  workMs: number
  /** Time that a promotion takes, in milliseconds. */
  promoteMs: number
}

/** A group of databases that replicate one log and speak the platform's wire protocol. */
export interface WireGroup {
  readonly service: string
  readonly members: readonly GroupMember[]
  readonly runs: readonly GroupRun[]
  /** Lines with which callers of the databases introduced themselves. */
  readonly starts: readonly string[]
  /** Violations that a database itself can see. */
  readonly violations: string[]
  term: () => number
  primary: () => GroupMember
  /** Carries out a promotion. @returns HTTP status of the authority */
  promote: (id: string, token: number) => Promise<number>
  crash: (member: GroupMember) => void
  restart: (member: GroupMember) => Promise<void>
  close: () => Promise<void>
}

interface Session {
  number: number
  who: string
  state: 'I' | 'T' | 'E'
  isPlain: boolean
  beganAsPrimary: boolean
  writes: CommittedWrite[]
  prepared: Map<string, string>
  socket: Socket
}

const APPLY_MS = 15
const SYNC_LIMIT_MS = 2000
const pause = (durationMs: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Starts the databases; the first one is the primary. */
export async function startWireGroup (options: WireGroupOptions): Promise<WireGroup> {
  const { service } = options
  const runs: GroupRun[] = []
  const starts: string[] = []
  const violations: string[] = []
  const servers = new Map<GroupMember, Server>()
  const sockets = new Map<GroupMember, Set<Socket>>()
  const members: GroupMember[] = []
  let term = 1
  let leader = ''
  let newestToken = 0
  let sessionCount = 0

  const position = (member: GroupMember): LogPosition => lastOf(member.log.slice(0, member.applied))
  const received = (member: GroupMember): LogPosition => lastOf(member.log)
  const text = ({ term: inTerm, offset }: LogPosition): string => `${inTerm}.${offset}`
  const isLeader = (member: GroupMember): boolean => member.id === leader
  const primary = (): GroupMember => members.find(isLeader) as GroupMember

  function lastOf (log: readonly LogEntry[]): LogPosition {
    const last = log[log.length - 1]
    return last === undefined ? { term: 1, offset: 0 } : { term: last.term, offset: last.offset }
  }

  /** Sends an entry to a replica; it takes entries in order only, and none that its leader did not have when it was promoted. */
  async function replicate (from: GroupMember, to: GroupMember, entry: LogEntry): Promise<void> {
    await pause(to.lagMs)
    while (to.isUp && isLeader(from) && (to.heldTerm > 0 || to.isCut)) await pause(APPLY_MS)
    if (!to.isUp || !from.isUp || !isLeader(from) || entry.term !== term || isAtOrPast(received(to), entry)) return
    to.log.push(...from.log.filter((known) => compareLogPositions(known, received(to)) > 0 && compareLogPositions(known, entry) <= 0))
    setTimeout(() => { to.applied = Math.max(to.applied, Math.min(to.log.length, to.log.indexOf(entry) + 1)) }, APPLY_MS)
  }

  async function commit (member: GroupMember, writes: readonly CommittedWrite[]): Promise<boolean> {
    const entry: LogEntry = { term, offset: received(member).offset + 1, writes }
    member.log.push(entry)
    member.applied = member.log.length
    const replicas = members.filter((other) => other !== member)
    for (const replica of replicas) replicate(member, replica, entry).catch(() => {})
    const until = Date.now() + SYNC_LIMIT_MS
    while (options.syncReplicas > 0 && !replicas.some(({ log }) => log.includes(entry))) {
      if (!member.isUp || !isLeader(member) || Date.now() > until) return false
      await pause(2)
    }
    return member.isUp && isLeader(member)
  }

  async function listen (member: GroupMember, port: number): Promise<number> {
    const server = createServer((socket) => { serve(member, socket) })
    servers.set(member, server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, options.host, resolve)
    })
    const address = server.address()
    return typeof address === 'object' && address !== null ? address.port : 0
  }

  function serve (member: GroupMember, socket: Socket): void {
    const all = sockets.get(member) ?? new Set()
    sockets.set(member, all)
    all.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => { all.delete(socket) })
    let held = ''
    let session: Session | null = null
    let turn = Promise.resolve()
    socket.on('data', (bytes) => {
      held += bytes.toString('latin1')
      const lines = held.split('\r\n')
      held = lines.pop() ?? ''
      for (const line of lines) {
        if (line === 'CLOSE') return socket.end()
        if (session === null) session = start(member, socket, line)
        else {
          const current = session
          turn = turn.then(() => query(member, current, line))
        }
      }
    })
  }

  function start (member: GroupMember, socket: Socket, line: string): Session | null {
    starts.push(line)
    const [, group, who = '', expected] = line.split(' ')
    if (group !== service || (expected !== undefined && expected !== member.id)) {
      socket.end(`ERROR MISROUTED ${member.id}\r\n`)
      return null
    }
    socket.write(`READY I ${text(position(member))}\r\n`)
    return { number: ++sessionCount, who, state: 'I', isPlain: false, beganAsPrimary: false, writes: [], prepared: new Map(), socket }
  }

  async function query (member: GroupMember, session: Session, line: string): Promise<void> {
    const [, id = '', ...words] = line.split(' ')
    const answer = await run(member, session, id, words.join(' '))
    if (member.isUp && !session.socket.destroyed) session.socket.write(`${answer}\r\nREADY ${session.state} ${text(position(member))}\r\n`)
  }

  function fail (session: Session, code: string): string {
    if (session.state === 'T') session.state = 'E'
    return `ERROR ${code} refused`
  }

  async function run (member: GroupMember, session: Session, id: string, given: string): Promise<string> {
    const after = /^AFTER (\d+)\.(\d+) (.*)$/.exec(given)
    const statement = after?.[3] ?? given
    const [verb = '', name = '', ...rest] = statement.split(' ')
    if (verb === 'STATUS' || verb === 'PAUSE' || verb === 'RESUME') return control(member, verb, Number(name))
    if (verb === 'SET') return 'DONE -'
    if (verb === 'RESET') session.prepared.clear()
    if (verb === 'PREPARE') session.prepared.set(name, rest.join(' '))
    if (verb === 'RESET' || verb === 'PREPARE') return 'DONE -'
    if (session.state === 'E' && verb !== 'ROLLBACK') return 'ERROR MALFORMED failed'
    if (verb === 'ROLLBACK') {
      session.state = 'I'
      session.writes = []
      return 'DONE -'
    }
    if (after !== null && !isAtOrPast(position(member), { term: Number(after[1]), offset: Number(after[2]) })) return fail(session, 'LAGGING')
    await pause(options.workMs)
    return await runData(member, session, id, statement, verb, name, rest)
  }

  function control (member: GroupMember, verb: string, aboveTerm: number): string {
    if (verb === 'PAUSE' && !isLeader(member) && aboveTerm > term) member.heldTerm = aboveTerm
    if (verb === 'RESUME') member.heldTerm = 0
    return `ROW ${isLeader(member) ? 'primary' : 'replica'} ${term} ${text(received(member))} ${member.heldTerm} 0 0 1\r\nDONE -`
  }

  async function runData (member: GroupMember, session: Session, id: string, statement: string, verb: string, name: string, rest: string[]): Promise<string> {
    const shape = verb === 'EXECUTE' ? session.prepared.get(name) : undefined
    if (verb === 'EXECUTE' && shape === undefined) return fail(session, 'NOSTMT')
    const isWrite = verb === 'WRITE' || shape?.startsWith('WRITE') === true
    const isPlainBegin = verb === 'BEGIN' && name !== 'READ'
    const needsLead = isWrite || isPlainBegin || (session.state === 'T' && session.isPlain && !(verb === 'COMMIT' && session.writes.length === 0))
    if (needsLead && !isLeader(member)) return fail(session, 'READONLY')
    if (id !== '-') runs.push({ at: Date.now(), id, text: statement, who: session.who, session: session.number })
    if (verb === 'BEGIN') {
      if (session.state !== 'I') violations.push(`BEGIN inside a transaction of ${session.who}`)
      Object.assign(session, { state: 'T', isPlain: isPlainBegin, writes: [] })
      return 'DONE -'
    }
    if (verb === 'COMMIT') {
      const { writes } = session
      Object.assign(session, { state: 'I', writes: [] })
      return writes.length === 0 || await commit(member, writes) ? `DONE proof.${id}` : 'ERROR TIMEOUT not replicated'
    }
    const [item = '', data = ''] = verb === 'EXECUTE' ? rest : [name, rest.join(' ')]
    if (!isWrite) return `ROW ${valueOf(member, session, item)}\r\nDONE proof.${id}`
    const write = { id, item, data, who: session.who }
    if (session.state === 'T') session.writes.push(write)
    else if (!await commit(member, [write])) return 'ERROR TIMEOUT not replicated'
    return `DONE proof.${id}`
  }

  function valueOf (member: GroupMember, session: Session, item: string): string {
    const own = session.writes.filter((write) => write.item === item).pop()
    if (own !== undefined) return own.data
    for (let index = member.applied - 1; index >= 0; index--) {
      const found = member.log[index]?.writes.filter((write) => write.item === item).pop()
      if (found !== undefined) return found.data
    }
    return '-'
  }

  async function promote (id: string, token: number): Promise<number> {
    await pause(options.promoteMs)
    if (token < newestToken) return 409
    newestToken = token
    const next = members.find((member) => member.id === id)
    if (next === undefined || !next.isUp) return 409
    if (isLeader(next)) return 200
    leader = next.id
    term++
    for (const member of members) {
      member.heldTerm = 0
      if (member === next) continue
      // Whoever received more than the new primary is rolled back to what both have.
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
    if (member !== current) {
      while (member.log.length > 0 && !current.log.includes(member.log[member.log.length - 1] as LogEntry)) member.log.pop()
      member.log.push(...current.log.slice(member.log.length))
    }
    member.applied = member.log.length
    member.heldTerm = 0
    await listen(member, member.port)
    member.isUp = true
  }

  for (let index = 0; index < options.size; index++) {
    const member: GroupMember = { id: `${service}-${index + 1}`, port: 0, log: [], applied: 0, isUp: true, heldTerm: 0, lagMs: 5, isCut: false }
    members.push(member)
    Object.assign(member, { port: await listen(member, 0) })
  }
  leader = members[0]?.id ?? ''

  return {
    service,
    members,
    runs,
    starts,
    violations,
    term: () => term,
    primary,
    promote,
    crash,
    restart,
    close: async () => {
      for (const member of members) if (member.isUp) crash(member)
      await pause(0)
    }
  }
}
