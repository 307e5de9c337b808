// A client of the users' wire protocol. It sends one message at a time and waits for the whole answer.
import { connect } from 'node:net'
import { createLineSplitter, splitWord } from './wire.mjs'

/**
 * Opens a session.
 * @returns the session, or null when it was refused or did not open within two seconds
 */
export function openSession ({ host, port, database, key }) {
  return new Promise((resolve) => {
    const socket = connect({ host, port, noDelay: true })
    const split = createLineSplitter()
    const session = { socket, state: 'I', position: null, isClosed: false, stray: [], query, close }
    let pending = null
    let isOpen = false
    const timer = setTimeout(() => giveUp('no READY within two seconds'), 2000)

    function giveUp (reason) {
      clearTimeout(timer)
      socket.destroy()
      if (!isOpen) resolve({ refused: reason })
    }

    function finish (answer) {
      const current = pending
      pending = null
      current?.({ ...answer, closed: session.isClosed })
    }

    let rows = []
    let outcome = null
    function handleLine (line) {
      const [word, rest] = splitWord(line)
      if (!isOpen) {
        if (word !== 'READY') return giveUp(line)
        isOpen = true
        clearTimeout(timer)
        return resolve(session)
      }
      if (pending === null) session.stray.push(line)
      else if (word === 'ROW') rows.push(rest)
      else if (word === 'DONE') outcome = { kind: 'done', proof: rest }
      else if (word === 'ERROR') outcome = { kind: 'error', code: splitWord(rest)[0], text: rest }
      else if (word === 'READY') {
        const [state, position] = splitWord(rest)
        session.state = state
        session.position = position
        const answer = { ...outcome, rows, state, position }
        rows = []
        outcome = null
        finish(answer)
      }
    }

    /** @returns the whole answer, or `{ kind: 'lost' }` when the connection ends or `limitMs` passes before it */
    function query (id, text, limitMs = 4000) {
      if (session.isClosed || socket.writableEnded) return Promise.resolve({ kind: 'unsent', rows: [] })
      return new Promise((resolve) => {
        const limit = setTimeout(() => {
          finish({ kind: 'lost', reason: 'no answer in time', rows })
          socket.destroy()
        }, limitMs)
        pending = (answer) => {
          clearTimeout(limit)
          resolve(answer)
        }
        socket.write(`QUERY ${id} ${text}\r\n`, 'latin1')
      })
    }

    function close () {
      if (!session.isClosed) socket.end('CLOSE\r\n')
    }

    socket.on('connect', () => { socket.write(`START ${database} ${key}\r\n`, 'latin1') })
    socket.on('data', (bytes) => { for (const line of split(bytes)) handleLine(line) })
    socket.on('error', () => {})
    socket.on('end', () => { socket.end() })
    socket.on('close', () => {
      session.isClosed = true
      giveUp('closed')
      finish({ kind: 'lost', reason: 'the connection ended', rows, partial: outcome })
    })
  })
}
