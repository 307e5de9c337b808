// Stand-ins for the databases of the users' platform and for the authority that promotes them. They follow PROTOCOL.md.
import { createServer as createHttpServer } from 'node:http'
import { createServer } from 'node:net'
import { callControl, pause, ports } from './fleet.mjs'

const formatPosition = ({ term, number }) => `${term}.${number}`
/** Timers have a resolution of one millisecond. */
const afterDelay = (durationMs, callback) => durationMs < 0.5 ? setImmediate(callback) : setTimeout(callback, durationMs)
const isBefore = (left, right) => left.term < right.term || (left.term === right.term && left.number < right.number)

/**
 * Starts a service of replicated databases.
 * @param delayMs - one-way delay of replication between two zones
 * @param record - writes one line of what was sent, answered and run
 */
export async function startService ({ fleet, name, syncReplicas, members: plans, workMs = 11, slots = 5, promoteMs = 600, applyMs = 60, delayMs, record }) {
  const members = []
  let term = 1
  let primary = null
  let highestToken = 0
  const state = { hasStopped: false }
  let proofs = 0

  const lastPosition = (log) => log.length === 0 ? { term: 1, number: 0 } : log[log.length - 1]
  const isPrimary = (member) => member === primary

  function receive (member, entry) {
    if (!member.isUp || member.pausedTerm > 0 || member.isDeaf || entry.term !== term || !isBefore(lastPosition(member.log), entry)) return false
    const source = primary.log
    const from = member.log.length
    // A replica that missed entries receives them together with the next one.
    for (let index = from; index < source.length && !isBefore(entry, source[index]); index++) member.log.push(source[index])
    setTimeout(() => { member.applied = Math.max(member.applied, Math.min(member.log.length, from + 1)) }, applyMs)
    return member.log.includes(entry)
  }

  /** Resolves with whether enough replicas have received the commit. */
  function commit (member, writes) {
    const entry = { term, number: lastPosition(member.log).number + 1, writes }
    member.log.push(entry)
    member.applied = member.log.length
    if (syncReplicas === 0) {
      for (const replica of members) if (replica !== member) afterDelay(delayMs(member.zone, replica.zone), () => { receive(replica, entry) })
      return Promise.resolve(true)
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => { resolve(false) }, 2000)
      for (const replica of members) {
        if (replica === member) continue
        afterDelay(delayMs(member.zone, replica.zone), () => {
          if (!isPrimary(member) || !receive(replica, entry)) return
          clearTimeout(timer)
          resolve(true)
        })
      }
    })
  }

  async function occupySlot (member) {
    while (member.busy >= slots) await new Promise((resolve) => { member.waiting.push(resolve) })
    member.busy++
    await pause(workMs)
    member.busy--
    member.waiting.shift()?.()
  }

  function refuse (session, code, member) {
    if (session.state === 'T') session.state = 'E'
    return `ERROR ${code} ${member.id}`
  }

  async function runStatement (member, session, id, received) {
    const after = /^AFTER (\d+)\.(\d+) (.*)$/s.exec(received)
    const text = after === null ? received : after[3]
    const [verb = '', item = '', ...rest] = text.split(' ')
    if (verb === 'STATUS' || verb === 'PAUSE' || verb === 'RESUME') {
      if (verb === 'PAUSE' && !isPrimary(member) && Number(item) > term) member.pausedTerm = Number(item)
      if (verb === 'RESUME') member.pausedTerm = 0
      return `ROW ${isPrimary(member) ? 'primary' : 'replica'} ${term} ${formatPosition(lastPosition(member.log))} ${member.pausedTerm} 0 ${member.busy} ${member.sockets.size}\r\nDONE -`
    }
    if (verb === 'SET') session.values.set(item, rest.join(' '))
    if (verb === 'PREPARE') session.prepared.set(item, rest)
    if (verb === 'DEALLOC') session.prepared.delete(item)
    if (verb === 'RESET') {
      session.values.clear()
      session.prepared.clear()
    }
    if (verb === 'SET' || verb === 'PREPARE' || verb === 'DEALLOC' || verb === 'RESET') return 'DONE -'
    if (verb === 'ROLLBACK') {
      Object.assign(session, { state: 'I', writes: [] })
      return 'DONE -'
    }
    if (session.state === 'E') return 'ERROR MALFORMED the transaction failed'
    if (after !== null && isBefore(lastPosition(member.log.slice(0, member.applied)), { term: Number(after[1]), number: Number(after[2]) })) return refuse(session, 'LAGGING', member)
    if (verb !== 'BEGIN') await occupySlot(member)
    const prepared = verb === 'EXECUTE' ? session.prepared.get(item) : undefined
    if (verb === 'EXECUTE' && prepared === undefined) return refuse(session, 'NOSTMT', member)
    const isWrite = verb === 'WRITE' || prepared?.[0] === 'WRITE'
    const isPlainBegin = verb === 'BEGIN' && item !== 'READ'
    const needsPrimary = isWrite || isPlainBegin || (session.state === 'T' && session.isPlain && !(verb === 'COMMIT' && session.writes.length === 0))
    if (needsPrimary && !isPrimary(member)) return refuse(session, 'READONLY', member)
    if (verb === 'BEGIN') {
      Object.assign(session, { state: 'T', isPlain: isPlainBegin, writes: [] })
      return 'DONE -'
    }
    const proof = `p${++proofs}.${id}`
    if (verb === 'COMMIT') {
      const { writes } = session
      Object.assign(session, { state: 'I', writes: [] })
      return writes.length === 0 || await commit(member, writes) ? `DONE ${proof}` : 'ERROR TIMEOUT no replica has received the commit'
    }
    if (!isWrite) return `ROW ${findValue(member, session, item)}\r\nDONE ${proof}`
    const write = { id, item: verb === 'EXECUTE' ? rest[0] : item, data: verb === 'EXECUTE' ? rest.slice(1).join(' ') : rest.join(' '), workspace: session.workspace }
    if (session.state === 'T') session.writes.push(write)
    else if (!await commit(member, [write])) return 'ERROR TIMEOUT no replica has received the commit'
    return `DONE ${proof}`
  }

  function findValue (member, session, item) {
    const own = session.writes.findLast((write) => write.item === item)
    if (own !== undefined) return own.data
    for (let index = member.applied - 1; index >= 0; index--) {
      const found = member.log[index].writes.findLast((write) => write.item === item)
      if (found !== undefined) return found.data
    }
    return '-'
  }

  function serve (member, socket) {
    member.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => { member.sockets.delete(socket) })
    let buffered = ''
    let session = null
    let queue = Promise.resolve()
    socket.on('data', (bytes) => {
      buffered += bytes.toString('latin1')
      const lines = buffered.split('\r\n')
      buffered = lines.pop()
      for (const line of lines) {
        if (line === 'CLOSE') return socket.end()
        if (session === null) {
          const [, service, workspace, expected] = line.split(' ')
          if (service !== name || (expected !== undefined && expected !== member.id)) return socket.end(`ERROR MISROUTED ${member.id}\r\n`)
          session = { workspace, state: 'I', isPlain: false, writes: [], values: new Map(), prepared: new Map() }
          socket.write(`READY I ${formatPosition(lastPosition(member.log))}\r\n`)
          continue
        }
        const [, id = '', ...words] = line.split(' ')
        const current = session
        queue = queue.then(async () => {
          const answer = await runStatement(member, current, id, words.join(' '))
          if (id !== '-') record('run', { database: member.id, workspace: current.workspace, id, text: words.join(' '), answer: answer.split('\r\n').at(-1) })
          if (member.isUp && !socket.destroyed) socket.write(`${answer}\r\nREADY ${current.state} ${formatPosition(lastPosition(member.log.slice(0, member.applied)))}\r\n`, 'latin1')
        })
      }
    })
  }

  async function listen (member) {
    member.server = createServer((socket) => { serve(member, socket) })
    await new Promise((resolve, reject) => {
      member.server.once('error', reject)
      member.server.listen(ports.database, member.host, resolve)
    })
    member.isUp = true
  }

  async function announceOnce (member) {
    if (!member.isUp) return
    await callControl(fleet, 'POST', `/api/instances/${member.id}/heartbeat`, {
      service: name, address: `${member.host}:${ports.database}`, zone: member.zone, version: 'v1', slots, state: member.isDraining ? 'draining' : 'ready', cold_remaining_ms: 0, db_role: isPrimary(member) ? 'primary' : 'replica', sequence: ++member.sequence, born: member.born
    }, 2500)
  }

  async function announce (member) {
    await pause(Math.random() * 300)
    while (!state.hasStopped) {
      await announceOnce(member)
      await pause(1200)
    }
  }

  /** Answers an order of promotion as the authority does. The database leads some hundred milliseconds later. */
  function promote (id, token) {
    if (token < highestToken) return 409
    highestToken = token
    const next = members.find((member) => member.id === id)
    if (next === undefined || !next.isUp) return 409
    if (!isPrimary(next)) setTimeout(() => { lead(next) }, promoteMs)
    return 200
  }

  function lead (next) {
    if (!next.isUp || isPrimary(next)) return
    const former = primary
    term++
    primary = next
    const dropped = former.log.filter((entry) => !next.log.includes(entry))
    record('lead', { service: name, database: next.id, term, received: formatPosition(lastPosition(next.log)), former: former.id, formerPosition: formatPosition(lastPosition(former.log)), dropped: dropped.flatMap(({ writes }) => writes.map(({ id }) => id)) })
    for (const member of members) {
      member.pausedTerm = 0
      if (member !== next) member.log = [...next.log]
      member.applied = member.log.length
      announceOnce(member)
    }
  }

  for (const { id, host, zone } of plans) {
    members.push({ id, host, zone, log: [], applied: 0, isUp: false, isDraining: false, isDeaf: false, pausedTerm: 0, busy: 0, waiting: [], sockets: new Set(), sequence: 0, born: Date.now(), server: null })
  }
  primary = members[0]
  for (const member of members) {
    await listen(member)
    announce(member)
  }

  return {
    name,
    members,
    primary: () => primary,
    promote,
    announceOnce,
    /** A planned shutdown: the database reports `draining` and serves on. */
    drain: async (member) => {
      member.isDraining = true
      await announceOnce(member)
    },
    stop: () => {
      state.hasStopped = true
      for (const member of members) {
        member.isUp = false
        member.server?.close()
        for (const socket of member.sockets) socket.destroy()
      }
    }
  }
}

/** Starts the authority of the platform. @param services - by name */
export async function startAuthority ({ network, services, record }) {
  const server = createHttpServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => {
      const { service, id } = JSON.parse(Buffer.concat(chunks).toString('utf8'))
      const token = Number(request.headers['fencing-token'])
      const status = services.get(service)?.promote(id, token) ?? 409
      record('promote', { service, id, token, holder: request.headers['lease-holder'], status })
      response.writeHead(status, { 'content-length': 0 }).end()
    })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(ports.authority, `127.${network}.4.1`, resolve)
  })
  return { stop: () => { server.close() } }
}
