// Stand-in for the databases of one service and for the authority that appoints their primary, as the users' pages describe them.
import { createServer as createHttpServer } from 'node:http'
import { createServer } from 'node:net'
import { createLineSplitter, splitWord } from './wire.mjs'
import { order } from './operator.mjs'

const SLOTS = 5
const QUEUE = 40

/**
 * Starts three databases.
 * @param options.workMs - function of the statement text that gives the time for which it occupies a slot
 * @param options.lagMs - time after which a replica has a commit
 */
export async function startService ({ name, hosts, port, zones, maxConnections, workMs, lagMs, promoteMs, now }) {
  const runs = []
  const databases = hosts.map((host, index) => ({ id: `i-${name}-${index + 1}`, host, address: `${host}:${port}`, zone: zones[index], log: [], connections: new Set(), busy: 0, waiting: [], sequence: 0, born: Date.now() + index, state: 'ready' }))
  let primary = databases[0]
  let term = 1
  let proofCount = 0
  const servers = []
  const proofs = new Map()

  const positionOf = (database) => database.log.length === 0 ? `${term}.0` : `${database.log.at(-1).term}.${database.log.at(-1).number}`
  const valueOf = (database, item) => database.log.findLast((commit) => commit.writes.has(item))?.writes.get(item) ?? `${item}-0`
  function holds (database, text) {
    const [wantedTerm, wantedNumber] = text.split('.').map(Number)
    const last = database.log.at(-1) ?? { term, number: 0 }
    return last.term > wantedTerm || (last.term === wantedTerm && last.number >= wantedNumber)
  }

  async function occupySlot (database, durationMs) {
    if (database.busy >= SLOTS) {
      if (database.waiting.length >= QUEUE) return false
      await new Promise((resolve) => database.waiting.push(resolve))
    }
    database.busy++
    await new Promise((resolve) => setTimeout(resolve, durationMs))
    database.busy--
    database.waiting.shift()?.()
    return true
  }

  function commit (database, connection, writes) {
    const last = database.log.at(-1)
    const entry = { term, number: (last?.number ?? 0) + 1, writes, at: now(), by: connection.lastWriteId }
    database.log.push(entry)
    for (const replica of databases) {
      if (replica !== database) setTimeout(() => { if (primary === database && replica.log.length === entry.number - 1) replica.log.push(entry) }, lagMs)
    }
  }

  function serve (database, socket) {
    const split = createLineSplitter()
    const connection = { tenant: null, state: 'I', writes: null, isReadOnly: false, values: new Map(), prepared: new Map(), lastWriteId: null, isClosed: false }
    const queue = []
    let isHandling = false
    const write = (text) => { if (!socket.destroyed) socket.write(text, 'latin1') }
    const ready = () => write(`READY ${connection.state} ${positionOf(database)}\r\n`)
    function fail (code) {
      write(`ERROR ${code} ${database.id}\r\n`)
      if (connection.state === 'T') connection.state = 'E'
      ready()
    }
    function done (id, text, rows = []) {
      const proof = id === '-' ? '-' : `p${++proofCount}.${database.id}`
      if (id !== '-') proofs.set(proof, { id, text, rows })
      write(rows.map((row) => `ROW ${row}\r\n`).join('') + `DONE ${proof}\r\n`)
      ready()
    }
    async function run (line) {
      const [id, whole] = splitWord(line)
      let text = whole
      if (text.startsWith('AFTER ')) {
        const [position, rest] = splitWord(text.slice('AFTER '.length))
        text = rest
        if (!holds(database, position)) return fail('LAGGING')
      }
      const [word, rest] = splitWord(text)
      const entry = { at: now(), database: database.id, id, text, tenant: connection.tenant, state: connection.state, outcome: 'begun' }
      if (id !== '-' || !['STATUS'].includes(word)) runs.push(entry)
      const end = (outcome) => { entry.outcome = outcome }
      switch (word) {
        case 'STATUS': return done('-', text, [`${database === primary ? 'primary' : 'replica'} ${term} ${positionOf(database)} 0 ${database === primary ? 0 : lagMs} ${database.busy} ${database.connections.size}`])
        case 'RESET':
          connection.values.clear()
          connection.prepared.clear()
          return done('-', text)
        case 'SET': {
          const [key, value] = splitWord(rest)
          connection.values.set(key, value)
          return done('-', text)
        }
        case 'PREPARE': {
          const [key, definition] = splitWord(rest)
          connection.prepared.set(key, definition)
          return done('-', text)
        }
        case 'ROLLBACK':
          connection.state = 'I'
          connection.writes = null
          return done('-', text)
      }
      if (connection.state === 'E') return fail('MALFORMED')
      if (word === 'BEGIN') {
        connection.isReadOnly = rest === 'READ'
        if (!connection.isReadOnly && database !== primary) return fail('READONLY')
        connection.state = 'T'
        connection.writes = new Map()
        return done('-', text)
      }
      if (!['READ', 'WRITE', 'EXECUTE', 'COMMIT'].includes(word)) return fail('MALFORMED')
      if (!await occupySlot(database, workMs(text))) return fail('BUSY')
      if (connection.isClosed) return end('rolled back: the connection was closed')
      let [action, item, data] = [word, ...splitWord(rest)]
      if (word === 'EXECUTE') {
        const definition = connection.prepared.get(item)
        if (definition === undefined) return fail('NOSTMT')
        const [access, shape] = splitWord(definition)
        ;[action, item, data] = [access, ...splitWord(data)]
        entry.shape = shape
      }
      const isPlain = connection.state === 'T' && !connection.isReadOnly
      if ((action === 'WRITE' || isPlain) && database !== primary && !(word === 'COMMIT' && connection.writes.size === 0)) {
        end('refused')
        return fail('READONLY')
      }
      if (action === 'READ') {
        end('read')
        return done(id, text, [connection.writes?.get(item) ?? valueOf(database, item)])
      }
      if (action === 'WRITE') {
        connection.lastWriteId = id
        if (connection.state === 'T') connection.writes.set(item, data)
        else commit(database, connection, new Map([[item, data]]))
        end(connection.state === 'T' ? 'written in transaction' : 'committed')
        return done(id, text)
      }
      if (connection.state !== 'T') return fail('MALFORMED')
      if (connection.writes.size > 0) commit(database, connection, connection.writes)
      connection.state = 'I'
      connection.writes = null
      end('committed')
      done(id, text)
    }
    async function handleLine (line) {
      const [word, rest] = splitWord(line)
      if (word === 'CLOSE') return socket.end()
      if (word === 'QUERY') return await run(rest)
      if (word !== 'START') return socket.destroy()
      const [service, tenant, id] = rest.split(' ')
      if (service !== name || (id !== undefined && id !== database.id)) return socket.end('ERROR MISROUTED another database\r\n')
      if (database.connections.size >= maxConnections) return socket.end('ERROR TOOMANY connections\r\n')
      database.connections.add(connection)
      connection.tenant = tenant
      ready()
    }
    socket.on('data', async (bytes) => {
      queue.push(...split(bytes))
      if (isHandling) return
      isHandling = true
      while (queue.length > 0) await handleLine(queue.shift())
      isHandling = false
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      connection.isClosed = true
      database.connections.delete(connection)
    })
  }

  for (const database of databases) {
    const server = createServer({ noDelay: true }, (socket) => serve(database, socket))
    await new Promise((resolve) => server.listen(port, database.host, resolve))
    servers.push(server)
  }

  const fence = { token: 0 }
  const promotions = []
  function promote (id) {
    const target = databases.find((database) => database.id === id)
    if (target === primary) return
    setTimeout(() => {
      primary = target
      term++
      for (const other of databases) if (other !== target) other.log = target.log.slice()
    }, promoteMs)
  }
  const authority = createHttpServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      const token = Number(request.headers['fencing-token'])
      const { id } = JSON.parse(Buffer.concat(chunks).toString())
      const isRefused = token < fence.token || !databases.some((database) => database.id === id)
      promotions.push({ at: now(), holder: request.headers['lease-holder'], token, id, status: isRefused ? 409 : 200 })
      fence.token = Math.max(fence.token, token)
      if (!isRefused) promote(id)
      response.writeHead(isRefused ? 409 : 200, { 'content-length': 0 }).end()
    })
  })

  let controls = []
  async function announce (database) {
    const body = { service: name, address: database.address, zone: database.zone, version: 'v1', slots: SLOTS, state: database.state, cold_remaining_ms: 0, db_role: database === primary ? 'primary' : 'replica', sequence: ++database.sequence, born: database.born }
    await order(controls, 'POST', `/api/instances/${database.id}/heartbeat`, body, 1000)
  }
  let timers = []

  return {
    name,
    databases,
    runs,
    proofs,
    promotions,
    primaryOf: () => primary,
    valueOf: (item) => valueOf(primary, item),
    /** Sets a value as if another path than the proxy had written it. */
    store: (item, data) => { for (const database of databases) database.log.push({ term, number: (database.log.at(-1)?.number ?? 0) + 1, writes: new Map([[item, data]]), at: now(), by: null }) },
    listenAuthority: (authorityHost, authorityPort) => new Promise((resolve) => authority.listen(authorityPort, authorityHost, resolve)),
    announceTo: (addresses) => {
      controls = addresses
      timers = databases.map((database) => setInterval(() => announce(database), 1200))
      for (const database of databases) announce(database)
    },
    close: () => {
      for (const timer of timers) clearInterval(timer)
      authority.close()
      for (const server of servers) server.close()
    }
  }
}
