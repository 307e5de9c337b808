// Callers of the users' platform: one session is one connection.
import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { ports } from './fleet.mjs'

/** Opens a session. Its `query` resolves with the lines of the answer, or with null once the connection has ended. */
export async function openSession (host, database, key, timeoutMs = 2000) {
  const socket = connect({ host, port: ports.callers, noDelay: true })
  let buffered = ''
  let lines = []
  let pending = null
  let hasEnded = false

  function settle (answer) {
    const waiting = pending
    pending = null
    lines = []
    waiting?.(answer)
  }

  socket.on('data', (bytes) => {
    buffered += bytes.toString('latin1')
    const complete = buffered.split('\r\n')
    buffered = complete.pop()
    for (const line of complete) {
      lines.push(line)
      if (line.startsWith('READY ')) settle(lines)
    }
  })
  socket.on('error', () => {})
  socket.on('close', () => {
    hasEnded = true
    settle(null)
  })
  const send = (line, limitMs) => hasEnded
    ? Promise.resolve(null)
    : new Promise((resolve) => {
      const timer = setTimeout(() => { socket.destroy() }, limitMs)
      pending = (answer) => {
        clearTimeout(timer)
        resolve(answer)
      }
      socket.write(`${line}\r\n`, 'latin1')
    })
  if (await send(`START ${database} ${key}`, timeoutMs) === null) return null
  return {
    hasEnded: () => hasEnded,
    query: (id, text, limitMs = 4000) => send(`QUERY ${id} ${text}`, limitMs),
    close: () => { socket.destroy() }
  }
}

export const newId = () => randomBytes(8).toString('hex')

/** @returns the result of an answer: `DONE`, an error code, or `LOST` without an answer */
export function resultOf (answer) {
  const last = answer?.at(-2) ?? ''
  if (last.startsWith('DONE')) return 'DONE'
  return last.startsWith('ERROR') ? last.split(' ')[1] : 'LOST'
}
