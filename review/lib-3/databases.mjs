// Stand-in databases of one service, as the pages describe them: one log that replicas receive, statements over the wire, liveness reports over HTTP.
import { createServer } from 'node:net'
import { call, pause } from './fleet.mjs'

const comparePositions = (a, b) => a.term - b.term || a.number - b.number

/**
 * @param onRun - called with each data statement, begin or commit that a database ran
 */
export async function startGroup ({ service, network, block, size = 3, zones = ['zone-a', 'zone-b', 'zone-c'], syncReplicas = 0, promoteMs = 600, lagMs = 60, workMs = 5, heartbeatMs = 1200, control, onRun = () => {}, note = () => {} }) {
  const members = []
  let term = 1
  let primaryId = null
  let sessions = 0
  let transactions = 0
  let closed = false

  const end = (member) => member.log.at(-1) ?? { term: 1, number: 0 }
  const applied = (member) => member.log[member.applied - 1] ?? { term: 1, number: 0 }
  const text = ({ term, number }) => `${term}.${number}`
  const isPrimary = (member) => member.id === primaryId
  const primary = () => members.find(isPrimary)

  async function replicate (from, to, entry) {
    await pause(to.lagMs)
    while (to.up && from.up && isPrimary(from) && entry.term === term && to.fenced > 0) await pause(5)
    if (!to.up || !from.up || !isPrimary(from) || entry.term !== term || comparePositions(end(to), entry) >= 0) return
    to.log.push(...from.log.filter((known) => comparePositions(known, end(to)) > 0 && comparePositions(known, entry) <= 0))
    to.applied = to.log.length
  }

  /** Commits writes. @returns whether the commit may be acknowledged */
  async function commit (member, writes) {
    const entry = { term, number: end(member).number + 1, writes }
    member.log.push(entry)
    member.applied = member.log.length
    const others = members.filter((other) => other !== member)
    for (const other of others) replicate(member, other, entry)
    const isReceived = () => syncReplicas === 0 || others.some(({ log }) => log.includes(entry))
    while (!isReceived()) {
      if (!member.up || !isPrimary(member)) return false
      await pause(2)
    }
    return member.up && isPrimary(member)
  }

  function serve (member, socket) {
    member.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    let session = null
    let buffered = ''
    let queue = Promise.resolve()
    socket.on('close', () => { member.sockets.delete(socket) })
    socket.on('data', (bytes) => {
      buffered += bytes.toString('latin1')
      const lines = buffered.split('\r\n')
      buffered = lines.pop()
      for (const line of lines) {
        if (session === null) {
          const [, name, who, expected] = line.split(' ')
          if (who === '-' && member.hidden) return
          if (name !== service || (expected !== undefined && expected !== member.id)) { socket.end(`ERROR MISROUTED ${member.id}\r\n`); return }
          session = { number: ++sessions, who, state: 'I', plain: false, writes: [], values: new Map(), prepared: new Map(), ended: false }
          socket.on('close', () => { session.ended = true })
          socket.write(`READY I ${text(applied(member))}\r\n`)
        } else if (line === 'CLOSE') socket.end()
        else queue = queue.then(() => handle(member, session, socket, line))
      }
    })
  }

  async function handle (member, session, socket, line) {
    if (session.ended || !member.up) return
    const [, id = '', ...words] = line.split(' ')
    const answer = await run(member, session, id, words.join(' '))
    if (!member.up || session.ended) return
    const whole = `${answer}\r\nREADY ${session.state} ${text(applied(member))}\r\n`
    const fault = id === '-' ? null : member.pickFault?.() ?? null
    if (fault === 'lost') return
    socket.write(fault === 'cut' ? whole.slice(0, whole.length / 2) : whole, 'latin1')
    if (fault === 'cut') socket.destroySoon()
  }

  function refuse (session, code) {
    if (session.state === 'T') session.state = 'E'
    return `ERROR ${code} refused`
  }

  async function run (member, session, id, received) {
    const match = /^AFTER (\d+)\.(\d+) (.*)$/s.exec(received)
    const statement = match?.[3] ?? received
    const [verb = '', name = '', ...rest] = statement.split(' ')
    if (verb === 'STATUS' || verb === 'PAUSE' || verb === 'RESUME') {
      if (verb === 'PAUSE' && !isPrimary(member) && Number(name) > term) member.fenced = Number(name)
      if (verb === 'RESUME') member.fenced = 0
      return `ROW ${isPrimary(member) ? 'primary' : 'replica'} ${term} ${text(end(member))} ${member.fenced} 0 0 ${member.sockets.size}\r\nDONE -`
    }
    if (session.state === 'E' && verb !== 'ROLLBACK') return 'ERROR MALFORMED the transaction has failed'
    if (verb === 'SET') session.values.set(name, rest.join(' '))
    if (verb === 'PREPARE') session.prepared.set(name, rest.join(' '))
    if (verb === 'RESET') { session.values.clear(); session.prepared.clear() }
    if (verb === 'SET' || verb === 'PREPARE' || verb === 'RESET') return 'DONE -'
    if (verb === 'ROLLBACK') { session.state = 'I'; session.writes = []; return 'DONE -' }
    if (match !== null && comparePositions(applied(member), { term: Number(match[1]), number: Number(match[2]) }) < 0) return refuse(session, 'LAGGING')
    await pause(member.workMs ?? workMs)
    if (session.ended) return ''
    if (id !== '-' && member.pickFault?.() === 'busy') return `ERROR BUSY ${member.id}`
    const shape = verb === 'EXECUTE' ? session.prepared.get(name) : undefined
    if (verb === 'EXECUTE' && shape === undefined) return refuse(session, 'NOSTMT')
    const isWrite = verb === 'WRITE' || shape?.startsWith('WRITE') === true
    const isPlainBegin = verb === 'BEGIN' && name !== 'READ'
    const needsLead = isWrite || isPlainBegin || (session.state === 'T' && session.plain && !(verb === 'COMMIT' && session.writes.length === 0))
    if (needsLead && !isPrimary(member)) return refuse(session, 'READONLY')
    onRun({ at: Date.now(), database: member.id, id, statement, who: session.who, session: session.number, values: [...session.values].map(([name, value]) => `${name}=${value}`).sort().join(' '), shape, transaction: session.state === 'T' ? session.transaction : null, position: text(applied(member)) })
    if (verb === 'BEGIN') { session.transaction = ++transactions; session.state = 'T'; session.plain = isPlainBegin; session.writes = []; return 'DONE -' }
    if (verb === 'COMMIT') {
      const { writes } = session
      session.state = 'I'
      session.writes = []
      return writes.length === 0 || await commit(member, writes) ? `DONE proof.${id}` : 'ERROR TIMEOUT the commit was not received'
    }
    const [item, ...data] = verb === 'EXECUTE' ? rest : [name, ...rest]
    if (!isWrite) return `ROW ${session.writes.findLast((write) => write.item === item)?.data ?? read(member, item)}\r\nDONE proof.${id}`
    const write = { id, item, data: data.join(' ') }
    if (session.state === 'T') session.writes.push(write)
    else if (!await commit(member, [write])) return 'ERROR TIMEOUT the commit was not received'
    return `DONE proof.${id}`
  }

  function read (member, item) {
    for (let i = member.applied - 1; i >= 0; i--) {
      const found = member.log[i].writes.findLast((write) => write.item === item)
      if (found !== undefined) return found.data
    }
    return '-'
  }

  function listen (member) {
    return new Promise((resolve, reject) => {
      member.server = createServer((socket) => { serve(member, socket) })
      member.server.once('error', reject)
      member.server.listen(member.port, member.host, resolve)
    })
  }

  async function report (member) {
    if (!member.up || closed || member.isSilent) return
    const addresses = control()
    const body = { service, address: `${member.host}:${member.port}`, zone: member.zone, version: 'v1', slots: 5, state: member.state, cold_remaining_ms: 0, db_role: isPrimary(member) ? 'primary' : 'replica', sequence: ++member.sequence, born: member.born }
    for (let tries = 0; tries < addresses.length; tries++) {
      const answer = await call(addresses[(member.next + tries) % addresses.length], 'POST', `/api/instances/${member.id}/heartbeat`, body)
      if (answer.status >= 200 && answer.status < 300) { member.next = (member.next + tries) % addresses.length; return true }
    }
    return false
  }

  function startReports (member) {
    clearInterval(member.timer)
    member.timer = setInterval(() => { report(member) }, heartbeatMs)
    report(member)
  }

  const reportAll = () => Promise.all(members.map(report))

  /** Carries out a call of the provider's promotion. @returns false when the database is not running */
  function promote (id) {
    const next = members.find((member) => member.id === id)
    if (next === undefined || !next.up) return false
    if (isPrimary(next)) return true
    setTimeout(() => {
      if (!next.up || isPrimary(next)) return
      primaryId = next.id
      term++
      note(`${service}: ${next.id} leads term ${term} with ${text(end(next))}`)
      for (const member of members) {
        member.fenced = 0
        if (member === next) continue
        while (member.log.length > 0 && !next.log.includes(member.log.at(-1))) member.log.pop()
        if (member.up) member.log.push(...next.log.slice(member.log.length))
        member.applied = member.log.length
      }
      next.applied = next.log.length
      reportAll()
    }, promoteMs)
    return true
  }

  function crash (member) {
    member.up = false
    clearInterval(member.timer)
    member.server.close()
    for (const socket of member.sockets) socket.resetAndDestroy()
    note(`${service}: ${member.id} crashed`)
  }

  async function restart (member) {
    const lead = primary()
    if (member !== lead && lead.up) {
      while (member.log.length > 0 && !lead.log.includes(member.log.at(-1))) member.log.pop()
      member.log.push(...lead.log.slice(member.log.length))
    }
    member.applied = member.log.length
    member.fenced = 0
    member.born = Date.now()
    member.sequence = 0
    await listen(member)
    member.up = true
    note(`${service}: ${member.id} is back`)
    startReports(member)
  }

  async function add (id, number, log = []) {
    const member = { id, host: `127.${network}.${block}.${number}`, port: 8080, zone: zones[(number - 1) % zones.length], up: true, log: [...log], applied: log.length, fenced: 0, sockets: new Set(), born: Date.now(), sequence: 0, state: 'ready', next: number, timer: null, server: null, lagMs, isSilent: false }
    members.push(member)
    await listen(member)
    return member
  }

  for (let number = 1; number <= size; number++) await add(`i-${service}-${number}`, number)
  primaryId = members[0].id
  return {
    service,
    members,
    primary,
    promote,
    crash,
    restart,
    report,
    add,
    startReports,
    term: () => term,
    start: () => { for (const member of members) startReports(member) },
    close: () => { closed = true; for (const member of members) { clearInterval(member.timer); member.server.close(); for (const socket of member.sockets) socket.destroy() } }
  }
}
