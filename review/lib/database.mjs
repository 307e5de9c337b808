// Stand-in for one database that speaks the users' wire protocol.
import { createServer } from 'node:net'
import { createLineSplitter, splitWord } from './wire.mjs'

const SLOTS = 5
const QUEUE = 40

/**
 * Starts a database at an address.
 * @param member - its entry in the group, with `id`, `host` and `zone`
 * @param options.workMs - function of the statement text that gives the time for which it occupies a slot
 * @param options.runs - list to which each statement that reaches the database is added
 */
export async function startDatabase (member, { group, service, port, maxConnections, workMs, runs, now }) {
  const connections = new Set()
  const waiting = []
  let busy = 0
  let proofCount = 0

  async function occupySlot (durationMs) {
    if (busy >= SLOTS) {
      if (waiting.length >= QUEUE) return false
      await new Promise((resolve) => waiting.push(resolve))
    }
    busy++
    await new Promise((resolve) => setTimeout(resolve, durationMs))
    busy--
    waiting.shift()?.()
    return true
  }

  function serve (socket) {
    const split = createLineSplitter()
    const connection = { socket, tenant: null, state: 'I', writes: null, isReadOnly: false, prepared: new Map(), isClosed: false }
    const write = (text) => { if (!socket.destroyed) socket.write(text, 'latin1') }
    const ready = () => write(`READY ${connection.state} ${group.positionOf(member)}\r\n`)

    function fail (code) {
      write(`ERROR ${code} ${member.id}\r\n`)
      if (connection.state === 'T') connection.state = 'E'
      ready()
    }

    function done (id, rows = []) {
      write(rows.map((row) => `ROW ${row}\r\n`).join('') + `DONE ${id === '-' ? '-' : `p${++proofCount}.${member.id}`}\r\n`)
      ready()
    }

    function describe () {
      const role = group.isPrimary(member) ? 'primary' : 'replica'
      done('-', [`${role} ${member.term} ${group.positionOf(member)} ${member.fencedTerm} 0 ${busy} ${connections.size}`])
    }

    /** Handles the statements that occupy no slot. @returns whether the statement was one */
    function runAtOnce (word, rest) {
      const [name, definition] = splitWord(rest)
      if (word === 'PAUSE') group.pause(member, Number(rest))
      if (word === 'RESUME') group.resume(member)
      if (word === 'PREPARE') connection.prepared.set(name, definition)
      if (word === 'RESET') connection.prepared.clear()
      if (word === 'ROLLBACK') Object.assign(connection, { state: 'I', writes: null })
      if (['PAUSE', 'RESUME', 'STATUS'].includes(word)) describe()
      else if (['PREPARE', 'RESET', 'ROLLBACK', 'SET', 'DEALLOC'].includes(word)) done('-')
      else return false
      return true
    }

    function begin (mode) {
      connection.isReadOnly = mode === 'READ'
      if (!connection.isReadOnly && !group.isPrimary(member)) return fail('READONLY')
      Object.assign(connection, { state: 'T', writes: new Map() })
      done('-')
    }

    async function runInSlot (id, word, rest, entry) {
      const end = (outcome) => { entry.outcome = outcome }
      if (!await occupySlot(workMs(entry.text))) return fail('BUSY')
      if (connection.isClosed) return end('rolled back: the connection was closed')
      let [action, item, data] = [word, ...splitWord(rest)]
      if (word === 'EXECUTE') {
        const definition = connection.prepared.get(item)
        if (definition === undefined) return fail('NOSTMT')
        ;[action, item, data] = [splitWord(definition)[0], ...splitWord(data)]
      }
      const isTransaction = connection.state === 'T'
      const isEmptyCommit = action === 'COMMIT' && connection.writes?.size === 0
      const needsLead = action === 'WRITE' || (isTransaction && !connection.isReadOnly)
      if (needsLead && !group.isPrimary(member) && !isEmptyCommit) {
        end('refused')
        return fail('READONLY')
      }
      if (action === 'READ') {
        end('read')
        return done(id, [connection.writes?.get(item) ?? group.valueOf(member, item)])
      }
      if (action === 'WRITE' && isTransaction) {
        connection.writes.set(item, data)
        end('written in transaction')
        return done(id)
      }
      if (action === 'COMMIT' && !isTransaction) return fail('MALFORMED')
      const writes = action === 'WRITE' ? new Map([[item, data]]) : connection.writes
      Object.assign(connection, { state: 'I', writes: null })
      end('committed')
      if (writes.size > 0 && !await group.commit(member, writes, id)) return socket.destroy()
      done(id)
    }

    async function run (line) {
      const [id, whole] = splitWord(line)
      const [position, afterText] = whole.startsWith('AFTER ') ? splitWord(whole.slice('AFTER '.length)) : [null, whole]
      const [word, rest] = splitWord(afterText)
      const entry = { at: now(), database: member.id, id, text: afterText, tenant: connection.tenant, outcome: 'begun' }
      if (id !== '-') runs.push(entry)
      if (position !== null && !group.holds(member, position)) return fail('LAGGING')
      if (runAtOnce(word, rest)) return
      if (connection.state === 'E') return fail('MALFORMED')
      if (word === 'BEGIN') return begin(rest)
      if (!['READ', 'WRITE', 'EXECUTE', 'COMMIT'].includes(word)) return fail('MALFORMED')
      await runInSlot(id, word, rest, entry)
    }

    async function handleLine (line) {
      const [word, rest] = splitWord(line)
      if (word === 'CLOSE') return socket.end()
      if (word === 'QUERY') return await run(rest)
      if (word !== 'START') return socket.destroy()
      const [name, tenant, id] = rest.split(' ')
      if (name !== service || (id !== undefined && id !== member.id)) return socket.end('ERROR MISROUTED another database\r\n')
      if (connections.size >= maxConnections) return socket.end('ERROR TOOMANY connections\r\n')
      connections.add(connection)
      connection.tenant = tenant
      ready()
    }

    const queue = []
    let isHandling = false
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
      connections.delete(connection)
    })
  }

  const sockets = new Set()
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    serve(socket)
  })
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, member.host, resolve))
  return {
    /** Ends the process of the database: its address refuses connections from now on. */
    end: () => {
      member.isDown = true
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    }
  }
}
